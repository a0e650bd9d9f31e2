/** Load balancer of the platform: round robin over entries whose last readiness check succeeded. */
import { request } from 'undici';
import type { RunningProcess } from '../deployment.js';

const CHECK_INTERVAL_MS = 100;
const CHECK_TIMEOUT_MS = 1_000;

/** A running balancer. */
export interface Balancer {
  /** Returns the address of the next ready entry; of any entry if none is ready. */
  chooseAddress: () => string;
  stop: () => void;
}

/** Starts a balancer in front of these entries, which are assumed ready at first. */
export function startBalancer(entries: readonly RunningProcess[]): Balancer {
  const readyEntries = new Set<RunningProcess>(entries);
  let next = 0;

  async function updateReadiness(entry: RunningProcess): Promise<void> {
    const isReady = await probeReadiness(entry);
    if (isReady) readyEntries.add(entry);
    else readyEntries.delete(entry);
  }

  const timer = setInterval(() => entries.forEach(updateReadiness), CHECK_INTERVAL_MS);
  return {
    chooseAddress() {
      const candidates = readyEntries.size > 0 ? [...readyEntries] : entries;
      next += 1;
      return candidates[next % candidates.length]!.address;
    },
    stop: () => clearInterval(timer),
  };
}

async function probeReadiness({ administrationUrl }: RunningProcess): Promise<boolean> {
  try {
    const { statusCode, body } = await request(`${administrationUrl}/readyz`, {
      signal: AbortSignal.timeout(CHECK_TIMEOUT_MS),
    });
    await body.dump();
    return statusCode === 200;
  } catch {
    return false;
  }
}
