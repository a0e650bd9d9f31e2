/** Means that follow what was observed last, with a state of one number. */

/** Moves a mean by a part of the way to an observation; the first one is taken as it is. */
export function mergeMean(mean: number | undefined, observed: number, step: number): number {
  return mean === undefined ? observed : mean + (observed - mean) * step;
}
