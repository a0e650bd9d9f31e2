/**
 * Limits how often an entry retries requests that certainly did not run, as a share of its
 * successes, so that retries do not amplify a fault.
 */

/** Retries earned by one success, and the maximum that can be saved. */
const RETRIES_PER_SUCCESS = 0.1;
const MAX_SAVED_RETRIES = 100;

/** Retry budget of one entry. */
export interface RetryBudget {
  recordSuccess: () => void;
  /** Takes one retry; false when the budget is spent. */
  tryTake: () => boolean;
}

/** Returns a full budget. */
export function createRetryBudget(): RetryBudget {
  let retries = MAX_SAVED_RETRIES;
  return {
    recordSuccess() {
      retries = Math.min(MAX_SAVED_RETRIES, retries + RETRIES_PER_SUCCESS);
    },
    tryTake() {
      if (retries < 1) return false;
      retries -= 1;
      return true;
    },
  };
}
