/**
 * Times of one engine as one entry sees them: between the events of its streams while no prompt is
 * prefilled, and of the prefill itself. Each has a long-term estimate; a factor of the last moments
 * shows slow spells, in which both times grow together. A state machine without clocks.
 */
import { updateMovingAverage } from './moving-average.js';

/**
 * The long-term interval is this quantile of the intervals. Those with a prefill are the longer
 * ones, and less than half of all even on a full engine.
 */
const INTERVAL_QUANTILE = 0.25;
/** Relative step of the quantile; 16 intervals of a slow spell raise it by 8% at most. */
const QUANTILE_STEP = 0.02;
/** First intervals, of which the quantile is taken directly. */
const FIRST_INTERVALS = 8;
/** Factor on the long-term interval from which intervals show a slow spell, and its maximum. */
const SPELL_FACTOR = 1.6;
const MAX_SLOWDOWN = 3;
/** Age of the last interval from which a spell counts as over; spells last about 600 ms. */
const SPELL_AGE_MS = 500;
/** The peak follows longer intervals at once and falls within the events of about one answer. */
const PEAK_RISE = 0.5;
const PEAK_FALL = 0.02;
/** Part that each first event leaves of the weight of the earlier ones. */
const PREFILL_DECAY = 0.95;
/** Shortest interval that counts, so that events in one read do not bring the quantile to 0. */
const MIN_INTERVAL_MS = 1;

/** Times of one engine. Times are monotonic, in milliseconds. */
export interface EventTimes {
  /** Records the mean time for each event since the previous ones. */
  recordInterval: (now: number, intervalMs: number) => void;
  /**
   * Records a first event that did not wait for a slot; `promptKilotokens` includes 1 for the fixed
   * time.
   */
  recordFirstEvent: (promptKilotokens: number, elapsedMs: number) => void;
  /** Time between events without prefill; undefined without samples. */
  getIntervalMs: () => number | undefined;
  /** Prefill time per thousand prompt tokens; undefined without samples. */
  getPrefillMs: () => number | undefined;
  /** Longest interval that a stream of some 50 events is expected to have; 0 without samples. */
  getPeakMs: () => number;
  /** Factor on both times at this moment, 1 outside of slow spells. */
  getSlowdown: (now: number) => number;
}

/** Returns the times of an engine without samples. */
export function createEventTimes(): EventTimes {
  let firstIntervals: number[] = [];
  let longTermMs: number | undefined;
  let isWarm = false;
  let latestAt = -Infinity;
  let latestMs = 0;
  let secondMs = 0;
  let thirdMs = 0;
  let peakMs = 0;
  let prefillMs = 0;
  let prefilledKilotokens = 0;

  function recordFirstIntervals(intervalMs: number): void {
    firstIntervals.push(intervalMs);
    firstIntervals.sort((left, right) => left - right);
    longTermMs = firstIntervals[Math.floor(firstIntervals.length * INTERVAL_QUANTILE)];
    if (firstIntervals.length < FIRST_INTERVALS) return;
    isWarm = true;
    firstIntervals = [];
  }

  return {
    recordInterval(now, measuredMs) {
      const intervalMs = Math.max(MIN_INTERVAL_MS, measuredMs);
      latestAt = now;
      thirdMs = secondMs;
      secondMs = latestMs;
      latestMs = intervalMs;
      const smoothing = intervalMs > peakMs ? PEAK_RISE : PEAK_FALL;
      peakMs = updateMovingAverage(peakMs, intervalMs, smoothing);
      if (!isWarm) recordFirstIntervals(intervalMs);
      else if (intervalMs > longTermMs!) longTermMs! *= 1 + QUANTILE_STEP * INTERVAL_QUANTILE;
      else longTermMs! *= 1 - QUANTILE_STEP * (1 - INTERVAL_QUANTILE);
    },
    recordFirstEvent(promptKilotokens, elapsedMs) {
      prefillMs = prefillMs * PREFILL_DECAY + elapsedMs;
      prefilledKilotokens = prefilledKilotokens * PREFILL_DECAY + promptKilotokens;
    },
    getIntervalMs: () => longTermMs,
    getPrefillMs: () => (prefilledKilotokens > 0 ? prefillMs / prefilledKilotokens : undefined),
    getPeakMs: () => peakMs,
    getSlowdown(now) {
      if (!isWarm || now - latestAt > SPELL_AGE_MS) return 1;
      const ratio = Math.min(latestMs, secondMs, thirdMs) / longTermMs!;
      return ratio < SPELL_FACTOR ? 1 : Math.min(MAX_SLOWDOWN, ratio);
    },
  };
}
