/** Exponential moving averages, with one number as their state. */

/**
 * Returns the average after an observation with the weight `smoothing`; the first observation is
 * returned unchanged.
 */
export function updateMovingAverage(
  average: number | undefined,
  observation: number,
  smoothing: number,
): number {
  return average === undefined ? observation : average + (observation - average) * smoothing;
}
