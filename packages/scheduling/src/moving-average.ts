/** Exponential moving averages, with one number as their state. */

/**
 * Returns the average after an observation; `smoothing` is its weight, the first one counts fully.
 */
export function updateMovingAverage(
  average: number | undefined,
  observation: number,
  smoothing: number,
): number {
  return average === undefined ? observation : average + (observation - average) * smoothing;
}
