/** What holds of a process beside a crowd: its descriptors, and a request of another client. */
import { spawnSync, type ChildProcess } from 'node:child_process';
import { readdirSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { request as send } from 'undici';
import type { EntryProcess } from './entry-process.js';
import { HOST, KEY, waitFor } from './harness.js';

const ROOT = fileURLToPath(new URL('../../../', import.meta.url));
/** Attempts of a client that is refused as not run. */
const MAX_ATTEMPTS = 40;
const DEFAULT_RETRY_AFTER_S = 0.25;
const REFUSED_STATUSES = new Set([429, 503]);
const LAST_LOG_LINES = 8;

/** Builds the bundled programs. */
export function buildBundles(): void {
  const { status } = spawnSync(process.execPath, ['scripts/bundle.mjs'], { cwd: ROOT });
  if (status !== 0) throw new Error('the programs were not bundled');
}

/** Returns the number of open descriptors of a process. */
export function countDescriptors({ pid }: ChildProcess): number {
  return readdirSync(`/proc/${pid}/fd`).length;
}

/**
 * Sends a request as an ordinary client does, which comes back when it is refused as not run.
 * Returns the status of the last answer. Throws when a connection fails or the entry has ended.
 */
export async function callPatiently(entry: EntryProcess): Promise<number> {
  let status = 0;
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
    const answer = await send(`http://${entry.settings.callerAddress}/once/a`, {
      method: 'POST',
      headers: {
        host: HOST,
        connection: 'close',
        'x-masticbend-key': KEY,
        'x-masticbend-attempt-id': `ordinary-${attempt}`,
        'x-masticbend-deadline-ms': '5000',
      },
      body: 'x'.repeat(2_000),
    }).catch((error: Error) => {
      throw new Error(`${error.message}; log: ${readLogEnd(entry)}`, { cause: error });
    });
    await answer.body.dump();
    if (entry.hasEnded()) throw new Error(`the entry has ended; log: ${readLogEnd(entry)}`);
    status = answer.statusCode;
    if (!REFUSED_STATUSES.has(status)) break;
    await waitFor(Number(answer.headers['retry-after'] ?? DEFAULT_RETRY_AFTER_S) * 1_000);
  }
  return status;
}

function readLogEnd(entry: EntryProcess): string {
  return `ended=${entry.hasEnded()} ${entry.readLog().slice(-LAST_LOG_LINES).join(' | ')}`;
}
