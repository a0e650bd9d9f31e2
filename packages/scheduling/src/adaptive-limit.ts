/**
 * Concurrency limit that adapts to an engine's capacity: decreased when a call waited inside the
 * engine although the limit allowed it, increased slowly by calls that finish as expected.
 */

/** Factors of a decrease and of an increase. */
const DECREASE_FACTOR = 0.9;
const INCREASE_FACTOR = 1.01;

/** Limit on something in progress, such as calls or tokens. */
export interface AdaptiveLimit {
  get: () => number;
  /** A call waited inside the engine while this much was in progress. */
  recordWait: (inProgress: number) => void;
  /** A call finished as expected. */
  recordSuccess: () => void;
}

/** Returns a limit that starts at its ceiling, which may change. */
export function createAdaptiveLimit(floor: number, getCeiling: () => number): AdaptiveLimit {
  let limit = Infinity;
  return {
    get: () => Math.min(limit, getCeiling()),
    recordWait(inProgress) {
      limit = Math.max(floor, Math.min(limit, inProgress * DECREASE_FACTOR));
    },
    recordSuccess() {
      limit = limit * INCREASE_FACTOR > getCeiling() ? Infinity : limit * INCREASE_FACTOR;
    },
  };
}
