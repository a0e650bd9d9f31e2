/** Program of an entry on the platform: serves until it is told to stop. */
import { readFileSync } from 'node:fs';
import { SETTINGS_VARIABLE } from '@masticbend/platform/settings';
import { LogEvent } from '@masticbend/kernel/log';
import { createGateway } from './gateway.js';
import { parseSettings, readSettings } from './settings.js';

/** Exit codes. */
const EXIT_FAILED = 1;
const EXIT_USAGE = 2;
/** Longest wait for the last log lines to be taken, in milliseconds. */
const FLUSH_LIMIT_MS = 200;

const [, , ...words] = process.argv;
const path = words.find((word) => !word.startsWith('--')) ?? process.env[SETTINGS_VARIABLE];

function checkSettings(file: string): number {
  const result = parseSettings(readFileSync(file, 'utf8'));
  if (result.ok) {
    process.stdout.write(`${file}: ok\n`);
    return 0;
  }
  for (const fault of result.faults) process.stderr.write(`${file}: ${fault}\n`);
  return EXIT_FAILED;
}

function runGateway(file: string): void {
  const gateway = createGateway(readSettings(file));
  const { log } = gateway;

  async function stop(): Promise<void> {
    await gateway.stop();
    await log.flush(FLUSH_LIMIT_MS);
    process.exit(0);
  }

  process.on('SIGTERM', () => {
    stop().catch((error: Error) => {
      log.error(LogEvent.ProcessFailed, { error: error.message });
      process.exit(EXIT_FAILED);
    });
  });
  process.on('SIGHUP', () => {
    const result = parseSettings(readFileSync(file, 'utf8'));
    if (result.ok) log.info(LogEvent.SettingsReloaded, { file });
    else log.error(LogEvent.SettingsReloaded, { file, fault: result.faults[0] });
  });
  gateway.start().catch((error: Error) => {
    log.error(LogEvent.ProcessFailed, { error: error.message });
    process.exit(EXIT_FAILED);
  });
}

if (path === undefined) {
  process.stderr.write('usage: masticbend-entry [--check] SETTINGS\n');
  process.exitCode = EXIT_USAGE;
} else if (words.includes('--check')) process.exitCode = checkSettings(path);
else runGateway(path);
