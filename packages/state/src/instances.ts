/**
 * Watches the platform's list of instances for this one being listed as leaving. The list lags and
 * may be unreachable, so it can only take work away: silence or an unknown instance means nothing.
 */
import { request } from 'undici';
import type { Clock } from '@masticbend/kernel/clock';

/** Mean interval of readings; each is spread by half of it either way. */
const POLL_INTERVAL_MS = 1_000;
/** Longest wait for one reading, in milliseconds. */
const POLL_TIMEOUT_MS = 1_000;

/** State of an instance in the list. */
export const InstanceState = { Live: 'live', Leaving: 'leaving' } as const;
export type InstanceState = (typeof InstanceState)[keyof typeof InstanceState];

/** Where the list is and whose entry matters. */
export interface InstanceWatchOptions {
  url: string;
  instance: string;
  clock: Clock;
  drawRandom: () => number;
  /** Called once, when the instance is first listed as leaving. */
  onLeaving: () => void;
}

/** Starts readings; the returned function ends them. */
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

/** Asks for one instance, so that the answer stays small; a whole list is understood as well. */
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
