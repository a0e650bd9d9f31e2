/**
 * Waits in a permit queue as estimated from the work ahead: the queued hold times spread over all
 * slots, scaled by how much longer earlier requests of the rank have waited.
 */
import { updateMovingAverage } from './moving-average.js';
import { RANK_COUNT } from './rank.js';

/** Smoothing factors of the mean hold times and of the wait scales. */
const HOLD_SMOOTHING = 0.1;
const WAIT_SMOOTHING = 0.1;
/** Maximum ratio of an actual wait to the wait that was expected from the work ahead. */
const MAX_WAIT_SCALE = 20;

/** A wait that has ended. */
export interface EndedWait {
  rank: number;
  waitedMs: number;
  /** Wait expected on arrival from the work ahead. */
  expectedMs: number;
  /** It ended without a slot, so that it would have been longer. */
  isCensored?: boolean;
}

/** Estimates of one queue. */
export interface QueueWaits {
  /** Records for how long a permit was held, and for how long that was expected. */
  recordHold: (heldMs: number, expectedMs: number) => void;
  recordWait: (wait: EndedWait) => void;
  /** The queued work spread over all slots, and the time until the first slot becomes free. */
  estimateAheadMs: (backlogMs: number, holdMs: number) => number;
  /** Ratio of the waits of a rank to those expected from the work ahead. */
  getScale: (rank: number) => number;
}

/** Returns estimates without observations; `countSlots` returns the slots in use by permits. */
export function createQueueWaits(countSlots: () => number): QueueWaits {
  const scales = Array.from({ length: RANK_COUNT }, () => 1);
  let meanHoldMs: number | undefined;
  let meanExpectedHoldMs: number | undefined;

  /**
   * Entries estimate hold times for an average server; returns how many times slower this one is.
   */
  function getHoldScale(): number {
    return meanHoldMs && meanExpectedHoldMs ? meanHoldMs / meanExpectedHoldMs : 1;
  }

  return {
    recordHold(heldMs, expectedMs) {
      meanHoldMs = updateMovingAverage(meanHoldMs, heldMs, HOLD_SMOOTHING);
      meanExpectedHoldMs = updateMovingAverage(meanExpectedHoldMs, expectedMs, HOLD_SMOOTHING);
    },
    recordWait({ rank, waitedMs, expectedMs, isCensored = false }) {
      const cappedRatio = Math.min(MAX_WAIT_SCALE, waitedMs / Math.max(1, expectedMs));
      const ratio = isCensored ? Math.max(scales[rank]!, cappedRatio) : cappedRatio;
      scales[rank] = updateMovingAverage(scales[rank], ratio, WAIT_SMOOTHING);
    },
    estimateAheadMs(backlogMs, holdMs) {
      return (backlogMs * getHoldScale() + (meanHoldMs ?? holdMs)) / Math.max(1, countSlots());
    },
    /**
     * Later arrivals of a higher rank are served first as well, and the work ahead does not include
     * them.
     */
    getScale: (rank) => scales[rank]!,
  };
}
