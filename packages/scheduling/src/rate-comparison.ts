/**
 * Comparison of the rates of bad answers of two versions by sequential probability ratio tests.
 *
 * The test for a bad version is conditional on the number of bad answers of both: given that
 * number, the part of the new version has a hypergeometric distribution if both fail alike, at
 * whatever rate. Hence the old version's rate need not be known, and tables of different moments,
 * processes and routes with different rates can be added up.
 */

/** Answers of the new version and of all others, over the same requests. */
export interface AnswerTable {
  newGood: number;
  newBad: number;
  oldGood: number;
  oldBad: number;
}

/**
 * Odds ratios of the alternative, in equal parts. Rates of 0.14 and 0.42 have 4.5, rates of 0.01
 * and 0.16 have 19; the last stands for a version that fails always or an old one that never does.
 */
const ODDS_RATIOS = [4, 15, 60];
/** The rate of a bad version: this many times the old version's, and at least this much above. */
const BAD_FACTOR = 3;
const BAD_EXCESS = 0.15;
/** Probability of a false bad verdict of one order, and of a false good one. */
const FALSE_BAD = 0.001;
const FALSE_GOOD = 0.01;

/** Returns a table without answers. */
export function createTable(): AnswerTable {
  return { newGood: 0, newBad: 0, oldGood: 0, oldBad: 0 };
}

/** Adds the answers of one table to another. */
export function addTable(to: AnswerTable, from: AnswerTable): void {
  to.newGood += from.newGood;
  to.newBad += from.newBad;
  to.oldGood += from.oldGood;
  to.oldBad += from.oldBad;
}

/** Returns the logarithms of the likelihood ratios of a table, one for each odds ratio. */
export function computeRatios({ newGood, newBad, oldGood, oldBad }: AnswerTable): number[] {
  const newTotal = newGood + newBad;
  const oldTotal = oldGood + oldBad;
  const bad = newBad + oldBad;
  if (bad === 0 || newTotal === 0 || oldTotal === 0) return ODDS_RATIOS.map(() => 0);
  const least = Math.max(0, bad - oldTotal);
  const most = Math.min(bad, newTotal);
  // Logarithms of the weights of all possible numbers of bad answers of the new version.
  const weights = [0];
  for (let count = least; count < most; count += 1) {
    const ratio =
      ((newTotal - count) * (bad - count)) / ((count + 1) * (oldTotal - bad + count + 1));
    weights.push(weights.at(-1)! + Math.log(ratio));
  }
  const nullSum = sumLogs(weights);
  return ODDS_RATIOS.map((ratio) => {
    const logRatio = Math.log(ratio);
    const sum = sumLogs(weights.map((weight, index) => weight + (least + index) * logRatio));
    return newBad * logRatio + nullSum - sum;
  });
}

/** Returns the logarithm of the likelihood ratio of the alternative, from those of its parts. */
export function mergeRatios(ratios: readonly number[]): number {
  return sumLogs(ratios) - Math.log(ratios.length);
}

/** Returns the logarithm of the likelihood ratio from which one of several tests decides bad. */
export function computeBadThreshold(tests: number): number {
  return Math.log(tests / FALSE_BAD);
}

/** Returns whether the new version's answers rule out the rate of a bad version. */
export function isSoundRate({ newGood, newBad, oldGood, oldBad }: AnswerTable): boolean {
  const rate = (oldBad + 0.5) / (oldGood + oldBad + 1);
  const badRate = Math.min(0.99, Math.max(BAD_FACTOR * rate, rate + BAD_EXCESS));
  const ratio = newBad * Math.log(badRate / rate) + newGood * Math.log((1 - badRate) / (1 - rate));
  return badRate > rate && ratio <= Math.log(FALSE_GOOD / (1 - FALSE_BAD));
}

/** Returns the logarithm of the sum of numbers that are given by their logarithms. */
function sumLogs(logs: readonly number[]): number {
  const largest = Math.max(...logs);
  return largest + Math.log(logs.reduce((sum, each) => sum + Math.exp(each - largest), 0));
}
