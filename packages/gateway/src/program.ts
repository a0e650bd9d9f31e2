/** Common parts of the programs: command line, signals and process exit. */
import { readFileSync } from 'node:fs';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import { SETTINGS_VARIABLE } from '@masticbend/platform/settings';
import { EXIT_FAILED, EXIT_USAGE } from './exit-codes.js';
import { printExplanation } from './explain.js';
import { readSettings, type ParseSettings } from './settings.js';

/** Longest wait at exit until the last log lines are written. */
const FLUSH_TIMEOUT_MS = 200;

/** A process with its lifecycle. */
export interface Runnable {
  start: () => Promise<void>;
  /** Finishes accepted work. */
  stop: () => Promise<void>;
  log: Logger;
}

/** A program: its name, its settings and how its process is created. */
export interface Program<Settings> {
  name: string;
  parseSettings: ParseSettings<Settings>;
  create: (settings: Settings) => Runnable;
}

const COMMAND_EXPLAIN = 'explain';
const COMMAND_CHECK_CONFIGURATION = 'check-configuration';

/** Runs a program by its command line: `[--check] [SETTINGS]`, or a command with its arguments. */
export function runProgram<Settings>(program: Program<Settings>): void {
  const args = process.argv.slice(2);
  const [command, id, ...files] = args;
  if (command === COMMAND_EXPLAIN && id !== undefined && files.length > 0) {
    process.exitCode = printExplanation(id, files);
    return;
  }
  if (command === COMMAND_CHECK_CONFIGURATION) {
    runConfigurationCheck(args.slice(1));
    return;
  }
  const path = args.find((arg) => !arg.startsWith('--')) ?? process.env[SETTINGS_VARIABLE];
  const unknown = args.find((arg) => arg.startsWith('--') && arg !== '--check');
  if (path === undefined || unknown !== undefined || command === COMMAND_EXPLAIN) {
    process.stderr.write(`usage: ${program.name} [--check] [SETTINGS]\n`);
    process.stderr.write(`       ${program.name} explain REQUEST-ID LOG-FILE...\n`);
    process.stderr.write(`       ${program.name} check-configuration --help\n`);
    process.stderr.write(`SETTINGS defaults to the path in ${SETTINGS_VARIABLE}\n`);
    process.exitCode = EXIT_USAGE;
  } else if (args.includes('--check')) {
    process.exitCode = checkSettings(path, program.parseSettings);
  } else {
    runProcess(path, program);
  }
}

/** Loads the command only when it is used: its modules would lengthen the start of each process. */
async function runConfigurationCheck(args: readonly string[]): Promise<void> {
  const { printConfigurationCheck } = await import('./check-configuration.js');
  process.exitCode = await printConfigurationCheck(args);
}

function checkSettings<Settings>(path: string, parseSettings: ParseSettings<Settings>): number {
  const result = parseSettings(readFileSync(path, 'utf8'));
  if (result.ok) {
    process.stdout.write(`${path}: ok\n`);
    return 0;
  }
  for (const fault of result.faults) process.stderr.write(`${path}: ${fault}\n`);
  return EXIT_FAILED;
}

function runProcess<Settings>(path: string, { parseSettings, create }: Program<Settings>): void {
  const runnable = create(readSettings(path, parseSettings));
  const { log } = runnable;

  async function finish(exitCode: number): Promise<void> {
    await log.flush(FLUSH_TIMEOUT_MS);
    process.exit(exitCode);
  }

  function fail(error: Error): void {
    log.error(LogEvent.ProcessFailed, { error: error.message, stack: error.stack });
    finish(EXIT_FAILED);
  }

  process.on('uncaughtException', fail);
  process.on('SIGTERM', () => {
    runnable.stop().then(() => finish(0), fail);
  });
  process.on('SIGHUP', () => reportSettings(path, parseSettings, log));
  runnable.start().catch(fail);
}

/** Checks the settings file again; the process goes on with the settings of its start. */
function reportSettings<Settings>(
  path: string,
  parseSettings: ParseSettings<Settings>,
  log: Logger,
): void {
  try {
    const result = parseSettings(readFileSync(path, 'utf8'));
    if (result.ok) log.info(LogEvent.SettingsReloaded, { path });
    else log.error(LogEvent.SettingsReloaded, { path, fault: result.faults[0] });
  } catch (error) {
    // The file may be missing for a moment while it is replaced.
    log.error(LogEvent.SettingsReloaded, { path, fault: (error as Error).message });
  }
}
