/**
 * Records the outcomes of one run: goodput by tier, throughput, refusals and wasted prefill. Only
 * answers that are complete by their deadline count.
 */
import type { PrefillTotals } from './engine-model.js';
import type { Arrival } from './workload.js';

/**
 * Warm-up at the start of a run, in which the engines fill up. Its arrivals are left out of all
 * metrics except `wastedPrefill`.
 */
export const WARM_UP_MS = 10_000;

/** Metrics of one run. */
export interface RunMetrics {
  /** Fraction of the offered requests answered in time, by tier. */
  goodput: number[];
  /** Offered requests after the warm-up, by tier. */
  offered: number[];
  /** Answers in time per second, all tiers. */
  answersPerSecond: number;
  /** Prompt and output tokens of answers in time, per second. */
  tokensPerSecond: number;
  /** Fraction of the prefilled prompt tokens whose answers were late, cancelled or lost. */
  wastedPrefill: number;
  /**
   * Requests refused, lost or cancelled at their deadline, and their mean time from arrival to that
   * outcome.
   */
  refused: number;
  meanRefusalMs: number;
}

/** Recorder of the outcomes of one run. */
export interface RunRecorder {
  recordOffered: (arrival: Arrival) => void;
  /** Records a complete answer that reached the entry; returns whether it is in time. */
  recordAnswer: (now: number, arrival: Arrival) => boolean;
  recordRefusal: (now: number, arrival: Arrival) => void;
  summarize: (
    durationMs: number,
    prefillTotals: PrefillTotals[],
    usefulPrefillTokens: number,
  ) => RunMetrics;
}

/** Returns a recorder without any outcomes. */
export function createRunRecorder(tiers: number): RunRecorder {
  const offered = new Array<number>(tiers).fill(0);
  const answeredInTime = new Array<number>(tiers).fill(0);
  let answeredTokens = 0;
  let refused = 0;
  let totalRefusalMs = 0;
  return {
    recordOffered({ arrivedAt, workClass }) {
      if (arrivedAt >= WARM_UP_MS) offered[workClass.tier]! += 1;
    },
    recordAnswer(now, { arrivedAt, workClass, promptTokens, outputTokens }) {
      if (now > arrivedAt + workClass.deadlineMs) return false;
      if (arrivedAt >= WARM_UP_MS) {
        answeredInTime[workClass.tier]! += 1;
        answeredTokens += promptTokens + outputTokens;
      }
      return true;
    },
    recordRefusal(now, { arrivedAt }) {
      if (arrivedAt < WARM_UP_MS) return;
      refused += 1;
      totalRefusalMs += now - arrivedAt;
    },
    summarize(durationMs, prefillTotals, usefulPrefillTokens) {
      const seconds = (durationMs - WARM_UP_MS) / 1_000;
      const computedTokens = prefillTotals.reduce((sum, totals) => sum + totals.computedTokens, 0);
      return {
        goodput: answeredInTime.map((count, tier) =>
          offered[tier]! > 0 ? count / offered[tier]! : 1,
        ),
        offered,
        answersPerSecond: answeredInTime.reduce((sum, count) => sum + count, 0) / seconds,
        tokensPerSecond: answeredTokens / seconds,
        wastedPrefill: computedTokens > 0 ? 1 - usefulPrefillTokens / computedTokens : 0,
        refused,
        meanRefusalMs: refused > 0 ? totalRefusalMs / refused : 0,
      };
    },
  };
}
