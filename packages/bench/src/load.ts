/** Load on loopback, open loop (fixed rate) or closed loop, with a histogram of the latencies. */
import { build, type Histogram } from 'hdr-histogram-js';
import { Pool } from 'undici';

/** Endpoint to call. */
export interface LoadTarget {
  url: string;
  path: string;
  headers: Record<string, string>;
}

/** Latencies of complete answers in microseconds, and the number of failed calls. */
export interface LoadResult {
  latenciesUs: Histogram;
  failed: number;
}

const MICROSECONDS_PER_MS = 1_000;
const MAX_CONNECTIONS = 64;

/** Returns an empty result. */
export function createLoadResult(): LoadResult {
  return { latenciesUs: build({ numberOfSignificantValueDigits: 3 }), failed: 0 };
}

/** Returns a latency percentile in milliseconds. */
export function getPercentileMs({ latenciesUs }: LoadResult, percentile: number): number {
  return latenciesUs.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
}

/** Returns a pool of connections to a target. */
export function createLoadPool(url: string): Pool {
  return new Pool(url, { connections: MAX_CONNECTIONS });
}

/** Calls at a fixed rate; each latency counts from the time the call was due. */
export async function runPacedLoad(
  pool: Pool,
  target: LoadTarget,
  ratePerSecond: number,
  durationMs: number,
  result: LoadResult,
): Promise<void> {
  const count = Math.round((ratePerSecond * durationMs) / 1_000);
  const startedAt = performance.now();
  const pending: Promise<void>[] = [];
  for (let index = 0; index < count; index += 1) {
    const dueAt = startedAt + (index * 1_000) / ratePerSecond;
    const delayMs = dueAt - performance.now();
    if (delayMs > 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, delayMs);
      });
    }
    pending.push(callOnce(pool, target, Math.min(performance.now(), dueAt), result));
  }
  await Promise.all(pending);
}

/**
 * Calls in a closed loop: each caller sends its next call after the answer to the last. Returns the
 * number of answers per second.
 */
export async function runClosedLoad(
  pool: Pool,
  target: LoadTarget,
  callers: number,
  durationMs: number,
  result: LoadResult,
): Promise<number> {
  const startedAt = performance.now();
  const runCaller = async () => {
    while (performance.now() - startedAt < durationMs) {
      await callOnce(pool, target, performance.now(), result);
    }
  };
  await Promise.all(Array.from({ length: callers }, runCaller));
  return (result.latenciesUs.totalCount * 1_000) / (performance.now() - startedAt);
}

async function callOnce(
  pool: Pool,
  target: LoadTarget,
  startedAt: number,
  result: LoadResult,
): Promise<void> {
  const status = await pool
    .request({ method: 'GET', path: target.path, headers: target.headers })
    .then(
      async ({ statusCode, body }) => {
        await body.text();
        return statusCode;
      },
      () => 0,
    );
  if (status !== 200) {
    result.failed += 1;
    return;
  }
  const elapsedMs = performance.now() - startedAt;
  result.latenciesUs.recordValue(Math.max(1, Math.round(elapsedMs * MICROSECONDS_PER_MS)));
}
