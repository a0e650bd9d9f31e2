/**
 * Attempts whose servers are silent. Silence does not show that a server has failed, so that the
 * attempt goes on; where another one may follow, it is placed beside it. The first of the two whose
 * answer reaches the caller ends the other.
 */
import type { Clock } from '@masticbend/kernel/clock';
import type { ServerPool } from '@masticbend/scheduling/server-pool';
import type { Placement } from './placement.js';
import type { RequestLog } from './request-log.js';
import type { RequestState, RunningAttempt } from './request-state.js';

/** Attempts of one request that may be in progress at the same time. */
const MAX_PARALLEL_ATTEMPTS = 2;

/** Dependencies. */
export interface SilentAttemptsOptions {
  clock: Clock;
  serverPool: Pick<ServerPool, 'recordNoResponse' | 'recordResumed'>;
  placement: Pick<Placement, 'place' | 'withdraw'>;
  requestLog: Pick<RequestLog, 'writeSilent' | 'writeResumed' | 'writeEjected'>;
  /** Takes a repeat for a request from the budget; false where it may not be repeated. */
  tryTakeRepeat: (state: RequestState) => boolean;
}

/** Handlers of the attempts' events. */
export interface SilentAttempts {
  handleSilent: (state: RequestState, running: RunningAttempt) => void;
  handleResumed: (state: RequestState, running: RunningAttempt) => void;
}

/** Returns the handlers. */
export function createSilentAttempts(options: SilentAttemptsOptions): SilentAttempts {
  const { clock, serverPool, placement, requestLog, tryTakeRepeat } = options;

  function recordSilence({ entry }: RunningAttempt): void {
    const now = clock.now();
    if (serverPool.recordNoResponse(now, entry)) requestLog.writeEjected(entry, 'silent', now);
  }

  /** Places another attempt; it is tried again at the next silence where no server can be found. */
  function tryPlaceRepeat(state: RequestState): boolean {
    if (state.isPlacing || state.attempts.size >= MAX_PARALLEL_ATTEMPTS) return false;
    if (!tryTakeRepeat(state)) return false;
    state.triedServers = new Set(state.sentServers);
    state.permitRequests = 0;
    placement.place(state);
    return true;
  }

  return {
    handleSilent(state, running) {
      const isNew = !running.isSilent;
      running.isSilent = true;
      if (isNew) recordSilence(running);
      const isRepeated = tryPlaceRepeat(state);
      if (isNew || isRepeated) requestLog.writeSilent(state, running.entry, isRepeated);
    },
    handleResumed(state, running) {
      running.isSilent = false;
      serverPool.recordResumed(clock.now(), running.entry);
      if (state.isPlacing) placement.withdraw(state);
      requestLog.writeResumed(state, running.entry);
    },
  };
}
