// Runs one case: its record, its processes, and the exit code of its script.
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { createClient } from './client-3.mjs';
import { createDeployment, EXIT_NOT_RUN } from './deployment-3.mjs';

/** Part of the requests that must be answered before the trouble for a run to count. */
const MIN_SERVED = 0.8;
/** Time after which a case is given up, in milliseconds. */
const TIMEOUT_MS = 115_000;

/** Whether the disruption of the case takes place. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

function formatEvent({ at, event, ...fields }) {
  const text = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => `${name}=${value}`);
  return [at.toFixed(1).padStart(9), event, ...text].join(' ');
}

/** Returns the events of a run in the order of their times, in milliseconds since its start. */
function createRecord() {
  const startedAt = performance.now();
  const events = [];
  const now = () => performance.now() - startedAt;
  return {
    now,
    events,
    list: (name) => events.filter(({ event }) => event === name),
    add: (event) => events.push({ at: now(), ...event }),
  };
}

/** Throws unless the deployment has served before the trouble, so that the run shows something. */
export function checkServed(record, until) {
  const answers = record.list('answered').filter(({ at }) => at < until);
  const served = answers.filter(({ status }) => status === 200).length;
  if (answers.length === 0 || served < answers.length * MIN_SERVED) {
    throw new Error(`only ${served} of ${answers.length} requests were served before the trouble`);
  }
}

/**
 * Runs a case and writes `record.txt` into its folder. `run` returns the rule, whether it was
 * broken and what was seen. The process ends with 1 if the rule was broken, 0 if it held, and 2 if
 * the case could not run.
 */
export async function runCase(folder, run, options) {
  const record = createRecord();
  let exitCode = EXIT_NOT_RUN;
  let lines;
  setTimeout(() => process.exit(EXIT_NOT_RUN), TIMEOUT_MS).unref();
  try {
    const deployment = await createDeployment(options);
    const client = createClient(record.add);
    try {
      const { rule, isBroken, seen } = await run({ record, deployment, client });
      lines = [`trouble: ${HAS_TROUBLE}`, ...seen, `${rule} ${isBroken ? 'broken' : 'held'}`];
      exitCode = isBroken ? 1 : 0;
    } finally {
      client.close();
      await deployment.close();
    }
  } catch (error) {
    lines = [`the case could not run: ${error.message}`];
  }
  const events = record.events.map(formatEvent);
  writeFileSync(join(folder, 'record.txt'), `${[...lines, '', ...events].join('\n')}\n`);
  process.stdout.write(`${lines.join('\n')}\n`, () => process.exit(exitCode));
}
