/**
 * Polls the platform's instance list until this instance is listed as leaving. The list lags and
 * may be unreachable, so it can only stop an instance from getting work: a failed poll or a
 * missing instance has no effect.
 */
import { request } from 'undici';
import type { Clock } from '@masticbend/kernel/clock';

/** Mean interval between polls; each interval is drawn from 50 to 150 % of it. */
const POLL_INTERVAL_MS = 1_000;
const POLL_TIMEOUT_MS = 1_000;

/** State of an instance in the list. */
export const InstanceState = { Live: 'live', Leaving: 'leaving' } as const;
export type InstanceState = (typeof InstanceState)[keyof typeof InstanceState];

/** Address of the list, the instance to watch for, and dependencies. */
export interface InstanceWatchOptions {
  url: string;
  instance: string;
  clock: Clock;
  /** Returns a random number in [0, 1). */
  drawRandom: () => number;
  /** Called once, when the instance is first listed as leaving. */
  onLeaving: () => void;
}

/** Starts polling; the returned function stops it. */
export function startInstanceWatch(options: InstanceWatchOptions): () => void {
  const { url, instance, clock, drawRandom, onLeaving } = options;
  let stopTimer = schedulePoll();
  let isStopped = false;

  function schedulePoll(): () => void {
    return clock.startTimer(POLL_INTERVAL_MS * (0.5 + drawRandom()), pollOnce);
  }

  function pollOnce(): void {
    fetchState(url, instance).then(
      (state) => {
        if (isStopped) return;
        if (state === InstanceState.Leaving) onLeaving();
        else stopTimer = schedulePoll();
      },
      () => {
        if (!isStopped) stopTimer = schedulePoll();
      },
    );
  }

  return () => {
    isStopped = true;
    stopTimer();
  };
}

/** Queries one instance, to keep the answer small; also accepts an answer with the whole list. */
async function fetchState(url: string, instance: string): Promise<InstanceState | undefined> {
  const address = new URL('/v1/instances', url);
  address.searchParams.set('instance', instance);
  const signal = AbortSignal.timeout(POLL_TIMEOUT_MS);
  const { statusCode, body } = await request(address, { signal });
  const text = await body.text();
  if (statusCode !== 200) return undefined;
  const list = JSON.parse(text) as { instance: string; state: InstanceState }[];
  return list.find((entry) => entry.instance === instance)?.state;
}
