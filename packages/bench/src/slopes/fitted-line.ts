/** Linear regression through measured points. */
import { linearRegression, linearRegressionLine, rSquared } from 'simple-statistics';

/** A measured point: value of the cause, value of the effect. */
export type Point = readonly [cause: number, effect: number];

/** A line fitted to points. */
export interface FittedLine {
  /** Effect per unit of the cause. */
  slope: number;
  /** Effect where the cause is zero. */
  base: number;
  /** Coefficient of determination (R squared), 0 to 1. */
  fit: number;
  points: Point[];
}

/** Fits a line by least squares. */
export function computeFittedLine(points: Point[]): FittedLine {
  const pairs = points.map(([cause, effect]) => [cause, effect]);
  const { m: slope, b: base } = linearRegression(pairs);
  return { slope, base, fit: rSquared(pairs, linearRegressionLine({ m: slope, b: base })), points };
}
