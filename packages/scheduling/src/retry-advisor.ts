/**
 * Advises refused callers when to retry. Under overload an early retry would only be refused again,
 * so callers are advised to retry later, as far as their remaining time allows, with jitter.
 */
import { updateMovingAverage } from './moving-average.js';

/** Minimum advised wait before jitter, in milliseconds. */
export const MIN_RETRY_AFTER_MS = 300;
/** Fraction of the advised wait that is random. */
const RETRY_JITTER = 0.5;
/** Maximum advised wait, as a fraction of the caller's remaining time. */
const MAX_WAIT_FRACTION = 1 / 3;
/** Smoothing factor of the share of refused requests. */
const REFUSED_SMOOTHING = 0.02;
/** Share of refused requests at which the advised wait reaches its maximum. */
const OVERLOAD_REFUSED_SHARE = 0.3;

/** Advisor of one instance on retry delays. */
export interface RetryAdvisor {
  recordRefused: () => void;
  recordSent: () => void;
  /**
   * Returns the advised wait after a failure of unknown duration that all callers share: they come
   * back spread from `minMs` on, late enough to find it over, and not all at once.
   */
  drawOutageRetryMs: (minMs: number, leftMs: number) => number;
  /** Returns the advised wait from the expected wait and the caller's remaining time. */
  drawRetryAfterMs: (waitMs: number, leftMs: number) => number;
}

/** Returns an advisor without recorded refusals; `drawRandom` returns numbers in [0, 1). */
export function createRetryAdvisor(drawRandom: () => number): RetryAdvisor {
  let refusedShare = 0;
  return {
    recordRefused() {
      refusedShare = updateMovingAverage(refusedShare, 1, REFUSED_SMOOTHING);
    },
    recordSent() {
      refusedShare = updateMovingAverage(refusedShare, 0, REFUSED_SMOOTHING);
    },
    drawOutageRetryMs(minMs, leftMs) {
      const maxWaitMs = Math.max(0, leftMs) * MAX_WAIT_FRACTION;
      return minMs + Math.max(0, maxWaitMs - minMs) * drawRandom();
    },
    drawRetryAfterMs(waitMs, leftMs) {
      const overloadFactor = Math.min(1, refusedShare / OVERLOAD_REFUSED_SHARE);
      const maxWaitMs = Math.max(0, leftMs) * MAX_WAIT_FRACTION;
      const baseMs = Math.max(MIN_RETRY_AFTER_MS, waitMs, maxWaitMs * overloadFactor);
      const capMs = Math.max(MIN_RETRY_AFTER_MS, maxWaitMs);
      return Math.min(baseMs, capMs) * (1 - drawRandom() * RETRY_JITTER);
    },
  };
}
