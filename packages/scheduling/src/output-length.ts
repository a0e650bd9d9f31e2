/**
 * Estimates how many output tokens each class of work generates: the median for costs, and a high
 * quantile for deadlines. Each quantile moves by a small step towards every observation, so a class
 * needs only its two quantiles and a count.
 */

/** Quantile used to decide whether an answer meets its deadline. */
export const HIGH_QUANTILE = 0.95;
/** Maximum number of classes; the least recently observed one is evicted. */
const MAX_CLASSES = 1_024;
/** Number of observations after which the step no longer decreases. */
const STEADY_STEP_OBSERVATIONS = 50;
/** Number of observations needed for an estimate. */
const MIN_OBSERVATIONS = 8;

/** Expected output tokens of a class of work. */
export interface LengthEstimate {
  median: number;
  high: number;
}

/** Output lengths by class of work. */
export interface LengthEstimator {
  record: (work: string, tokens: number) => void;
  /** Returns undefined until there are enough observations. */
  estimate: (work: string) => LengthEstimate | undefined;
}

interface LengthState extends LengthEstimate {
  count: number;
}

/** Returns an estimator without observations. */
export function createLengthEstimator(): LengthEstimator {
  const classes = new Map<string, LengthState>();
  return {
    record(work, tokens) {
      const state = classes.get(work) ?? { median: tokens, high: tokens, count: 0 };
      classes.delete(work);
      classes.set(work, state);
      state.count += 1;
      const step = Math.max(1 / state.count, 1 / STEADY_STEP_OBSERVATIONS);
      state.median = updateQuantile(state.median, tokens, 0.5, step);
      state.high = updateQuantile(state.high, tokens, HIGH_QUANTILE, step);
      if (classes.size > MAX_CLASSES) classes.delete(classes.keys().next().value!);
    },
    estimate(work) {
      const state = classes.get(work);
      if (!state || state.count < MIN_OBSERVATIONS) return undefined;
      return { median: state.median, high: Math.max(state.high, state.median) };
    },
  };
}

/** Moves the estimate of a quantile by a step towards an observation; returns the new estimate. */
export function updateQuantile(
  value: number,
  observed: number,
  quantile: number,
  step: number,
): number {
  if (observed > value) return value + (observed - value) * Math.min(1, 2 * quantile * step);
  return value + (observed - value) * Math.min(1, 2 * (1 - quantile) * step);
}
