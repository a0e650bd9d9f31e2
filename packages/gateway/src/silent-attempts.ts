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

/** Dependencies. */
export interface SilentAttemptsOptions {
  clock: Clock;
  serverPool: Pick<ServerPool, 'recordSilent' | 'recordResumed'>;
  placement: Pick<Placement, 'place' | 'withdraw'>;
  requestLog: Pick<RequestLog, 'writeSilent' | 'writeResumed' | 'writeEjected'>;
  /** Takes a repeat for a request from the budget; false where it may not be repeated. */
  tryTakeRepeat: (state: RequestState) => boolean;
  /** Ends the attempts of a request but one. */
  stopOtherAttempts: (state: RequestState, kept: RunningAttempt) => void;
  /** Ends a request with the failure that one of its servers answered. */
  finishWithFallback: (state: RequestState) => void;
}

/** Handlers of the attempts' events. */
export interface SilentAttempts {
  handleSilent: (state: RequestState, running: RunningAttempt) => void;
  handleResumed: (state: RequestState, running: RunningAttempt) => void;
  /** Places another attempt beside those in progress if all of them are silent. */
  tryPlaceRepeat: (state: RequestState) => boolean;
}

/** Returns the handlers. */
export function createSilentAttempts(options: SilentAttemptsOptions): SilentAttempts {
  const { clock, serverPool, placement, requestLog } = options;

  function recordSilence({ entry }: RunningAttempt): void {
    const now = clock.now();
    if (serverPool.recordSilent(now, entry)) requestLog.writeEjected(entry, 'silent', now);
  }

  function tryPlaceRepeat(state: RequestState): boolean {
    if (state.isPlacing || !hasOnlySilent(state) || !options.tryTakeRepeat(state)) return false;
    // Agents that refused an earlier permit request may have capacity now.
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
      const mayEnd = !isNew && !state.isPlacing && hasOnlySilent(state);
      if (mayEnd && state.fallback && !state.delivery.hasBegun()) options.finishWithFallback(state);
    },
    handleResumed(state, running) {
      running.isSilent = false;
      serverPool.recordResumed(clock.now(), running.entry);
      if (state.isPlacing) placement.withdraw(state);
      requestLog.writeResumed(state, running.entry);
      // A stream must not run at two servers that both work.
      if (state.route.streamed) options.stopOtherAttempts(state, running);
    },
    tryPlaceRepeat,
  };
}

function hasOnlySilent({ attempts }: RequestState): boolean {
  return [...attempts].every(({ isSilent }) => isSilent);
}
