/** The program around a process: signals. */
import { expect } from 'chai';
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { spawn, type ChildProcess } from 'node:child_process';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { waitFor, waitUntil } from './harness.js';

const PROGRAM = fileURLToPath(new URL('../src/program.ts', import.meta.url));
/** Time in which a process that fails would have ended. */
const EXIT_TIME_MS = 500;

/** A process that logs to a file and otherwise does nothing. */
const SCRIPT = `
import { appendFileSync } from 'node:fs';
import { runProgram } from '${PROGRAM}';
const write = (event, fields) => appendFileSync(process.argv[3], event + JSON.stringify(fields) + '\\n');
const log = { debug: write, info: write, warn: write, error: write, flush: async () => undefined };
runProgram({
  name: 'test',
  parseSettings: () => ({ ok: true, settings: {} }),
  create: () => ({
    start: async () => { setInterval(() => undefined, 1000); write('started', {}); },
    stop: async () => undefined,
    log,
  }),
});
`;

describe('program', () => {
  let child: ChildProcess;

  afterEach(() => child.kill('SIGKILL'));

  // SIGHUP while the settings file was missing ended the process, and all its requests with it.
  it('goes on when its settings file is missing at SIGHUP', async () => {
    const folder = mkdtempSync(join(tmpdir(), 'masticbend-program-'));
    const [script, settings, logFile] = ['run.ts', 'settings.toml', 'log'].map((name) =>
      join(folder, name),
    ) as [string, string, string];
    writeFileSync(script, SCRIPT);
    writeFileSync(settings, '');
    const args = ['--import=tsx', '--conditions=source', script, settings, logFile];
    child = spawn(process.execPath, args, { stdio: 'ignore' });
    await waitUntil(() => existsSync(logFile));
    rmSync(settings);
    child.kill('SIGHUP');
    await waitFor(EXIT_TIME_MS);
    expect(child.exitCode).to.equal(null);
    expect(readFileSync(logFile, 'utf8')).to.include('settings-reloaded').and.include('ENOENT');
  });
});
