/* global performance, setTimeout, process */
/** Frame of a script: the record, the time limit, and the exit code. */
import { writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

const TIME_LIMIT_MS = 110_000;

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..');
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

export function wait(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/**
 * Runs a case. `run` gets `record(who, what)` and a list of cleanups, and returns the breaches of
 * the rule as texts; it throws where the case could not run.
 */
export async function runScript(folder, run) {
  const lines = [];
  const startedAt = performance.now();
  const record = (who, what) => {
    lines.push(
      `${((performance.now() - startedAt) / 1_000).toFixed(3).padStart(8)} ${who}: ${what}`,
    );
  };
  const cleanups = [];
  let isOver = false;
  async function finish(code, text) {
    if (isOver) return;
    isOver = true;
    for (const cleanup of cleanups.reverse()) await cleanup();
    record('result', text);
    writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    process.stdout.write(`${text}\n`);
    process.exit(code);
  }
  setTimeout(() => finish(2, 'could not run: time limit'), TIME_LIMIT_MS).unref();
  process.on('SIGTERM', () => finish(2, 'could not run: stopped'));
  process.on('SIGINT', () => finish(2, 'could not run: stopped'));
  record('script', HAS_TROUBLE ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
  try {
    const breaches = await run(record, cleanups);
    for (const breach of breaches.slice(0, 20)) record('breach', breach);
    const count = breaches.length;
    if (count > 0) await finish(1, `rule broken ${count} times: ${breaches[0]}`);
    else await finish(0, 'rule held');
  } catch (error) {
    record('error', error.stack);
    await finish(2, `could not run: ${error.message}`);
  }
}
