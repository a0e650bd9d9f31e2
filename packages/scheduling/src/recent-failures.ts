/**
 * Failures of one server in the last moments. Beside the slow failure rate, it shows within a few
 * answers that a server fails at once, and how fast the failures come: a server that fails fast
 * looks empty and would attract work.
 */
import { updateMovingAverage } from './moving-average.js';

/** Time in which an observation loses about two thirds of its weight. */
const DECAY_MS = 1_000;
/** Answers without a failure that are assumed, so that a single failure gives no high rate. */
const ASSUMED_ANSWERS = 2;
const TIME_SMOOTHING = 0.3;
/** Highest factor by which fast failures weigh more. */
const MAX_SPEED = 8;

/** Recent failures of one server. Times are monotonic, in milliseconds. */
export interface RecentFailures {
  record: (now: number, isFailed: boolean, elapsedMs: number) => void;
  /** Returns the fraction of failed requests, 0 to 1. */
  getRate: (now: number) => number;
  /** Returns how many times faster failures come than answers, 1 to 8. */
  getSpeed: () => number;
}

/** Returns a record without observations. */
export function createRecentFailures(): RecentFailures {
  let failed = 0;
  let total = 0;
  let recordedAt = 0;
  let failureMs: number | undefined;
  let answerMs: number | undefined;

  function computeDecay(now: number): number {
    return Math.exp(-Math.max(0, now - recordedAt) / DECAY_MS);
  }

  return {
    record(now, isFailed, elapsedMs) {
      const decay = computeDecay(now);
      failed = failed * decay + (isFailed ? 1 : 0);
      total = total * decay + 1;
      recordedAt = now;
      if (isFailed) failureMs = updateMovingAverage(failureMs, elapsedMs, TIME_SMOOTHING);
      else answerMs = updateMovingAverage(answerMs, elapsedMs, TIME_SMOOTHING);
    },
    getRate(now) {
      const decay = computeDecay(now);
      return (failed * decay) / (total * decay + ASSUMED_ANSWERS);
    },
    getSpeed() {
      if (failureMs === undefined || answerMs === undefined) return 1;
      return Math.min(MAX_SPEED, Math.max(1, answerMs / Math.max(1, failureMs)));
    },
  };
}
