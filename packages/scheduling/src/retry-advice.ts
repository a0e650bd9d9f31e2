/**
 * When a refused caller should come back. While much is refused, an early return would only be
 * refused again: callers come back as late as they can wait, spread over time.
 */
import { mergeMean } from './moving-mean.js';

/** Least advice, in milliseconds. */
export const LEAST_RETRY_MS = 300;
/** Part of the advice that is drawn. */
const RETRY_SPREAD = 0.5;
/** Part of a caller's time left that it waits at most. */
const TIME_PART = 1 / 3;
/** How far the share of refused requests follows the last one, and what share is an overload. */
const REFUSED_STEP = 0.02;
const OVERLOAD_SHARE = 0.3;

/** Advice of one instance. */
export interface RetryAdvice {
  recordRefused: () => void;
  recordSent: () => void;
  /** Returns the advice for a wait that was expected and the caller's time left. */
  drawMs: (waitMs: number, leftMs: number) => number;
}

/** Returns the advice of an instance that has refused nothing. */
export function createRetryAdvice(drawRandom: () => number): RetryAdvice {
  let refusedShare = 0;
  return {
    recordRefused() {
      refusedShare = mergeMean(refusedShare, 1, REFUSED_STEP);
    },
    recordSent() {
      refusedShare = mergeMean(refusedShare, 0, REFUSED_STEP);
    },
    drawMs(waitMs, leftMs) {
      const overload = Math.min(1, refusedShare / OVERLOAD_SHARE);
      const latestMs = Math.max(0, leftMs) * TIME_PART;
      const baseMs = Math.max(LEAST_RETRY_MS, waitMs, latestMs * overload);
      const longestMs = Math.max(LEAST_RETRY_MS, latestMs);
      return Math.min(baseMs, longestMs) * (1 - drawRandom() * RETRY_SPREAD);
    },
  };
}
