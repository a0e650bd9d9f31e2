/**
 * Ejects agents whose calls fail repeatedly. A broken backend server that fails fast looks idle and
 * would otherwise receive every request. The ejection time doubles with each ejection; afterwards
 * slow start gradually returns the agent to its full share of the load.
 */

/** Consecutive failures after which an agent is ejected; during slow start one is enough. */
const EJECTION_FAILURES = 3;
/** First and longest ejection time, in milliseconds. */
const MIN_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 30_000;
/** Duration of slow start after an ejection, in milliseconds. */
const SLOW_START_MS = 10_000;
/** Factor on the expected finish time of an agent at the beginning of slow start. */
const SLOW_START_PENALTY = 4;

/** Ejection state of all agents. */
export interface Ejection {
  recordSuccess: (now: number, agent: string) => void;
  recordFailure: (now: number, agent: string) => void;
  isEjected: (now: number, agent: string) => boolean;
  /**
   * Returns the factor on an agent's expected finish time: above 1 while ejected or in slow start.
   */
  computePenalty: (now: number, agent: string) => number;
  remove: (agent: string) => void;
}

interface FailureState {
  failures: number;
  ejections: number;
  /** End of the last ejection, or undefined before the first. */
  ejectedUntil?: number;
}

/** Returns a state without failures. */
export function createEjection(): Ejection {
  const states = new Map<string, FailureState>();

  function getEjectedUntil(agent: string): number {
    return states.get(agent)?.ejectedUntil ?? -Infinity;
  }

  return {
    recordSuccess(now, agent) {
      const state = states.get(agent);
      if (!state) return;
      state.failures = 0;
      if (now >= getEjectedUntil(agent) + SLOW_START_MS) states.delete(agent);
    },
    recordFailure(now, agent) {
      const state = states.get(agent) ?? { failures: 0, ejections: 0 };
      states.set(agent, state);
      if (now < getEjectedUntil(agent)) return;
      state.failures += 1;
      const inSlowStart =
        state.ejectedUntil !== undefined && now < state.ejectedUntil + SLOW_START_MS;
      if (state.failures < EJECTION_FAILURES && !inSlowStart) return;
      const ejectionMs = Math.min(MIN_EJECTION_MS * 2 ** state.ejections, MAX_EJECTION_MS);
      state.ejectedUntil = now + ejectionMs;
      state.ejections += 1;
      state.failures = 0;
    },
    isEjected: (now, agent) => now < getEjectedUntil(agent),
    computePenalty(now, agent) {
      const remaining = 1 - (now - getEjectedUntil(agent)) / SLOW_START_MS;
      return remaining > 0 ? 1 + (SLOW_START_PENALTY - 1) * Math.min(1, remaining) : 1;
    },
    remove: (agent) => states.delete(agent),
  };
}
