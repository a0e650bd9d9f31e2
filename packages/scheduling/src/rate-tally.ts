/**
 * Sums of likelihood ratios over closed strata, for one route or for all.
 *
 * The sum has a lower bound, so that a long sound time does not hide a version that turns bad
 * later. While the old version gets too few requests for a comparison over the same time, as in the
 * shift, the new one is compared with the old one's earlier answers. There a disruption of all
 * servers looks like a bad version; hence the weight of these answers is bounded by the time that
 * they cover.
 */
import {
  addTable,
  computeRatios,
  createTable,
  mergeRatios,
  type AnswerTable,
} from './rate-comparison.js';

/**
 * Lower bound of a sum of logarithms. Each return to it is a new chance of a false verdict; with
 * this bound, 1,000 of them add about as much as the test's own error.
 */
const MIN_LOG = -5;
/** Least excess of the new version's rate of bad answers for a bad verdict. */
const MIN_EXCESS = 0.05;
/**
 * Least time and answers of a window, and the logarithm by which each bad window without old
 * answers can raise the ratio; the threshold of a few routes takes five of them.
 */
const WINDOW_MS = 500;
const MIN_WINDOW_ANSWERS = 5;
const MAX_WINDOW_LOG = 2;
/** Answers are recent for at least this time, and for up to twice as long. */
const RECENT_MS = 500;
/** A window without enough old answers has this many times as many new ones. */
const STARVED_FACTOR = 4;

/** Evidence on one route, or on all. */
export interface RateTally {
  /** Sums of the logarithms of likelihood ratios, one for each odds ratio. */
  ratios: number[];
  /** Answers since the sums last spoke for the null hypothesis. */
  run: AnswerTable;
  total: AnswerTable;
  /** Answers of the last moments, over all sources. */
  window: AnswerTable;
  windowAt?: number;
  /** Answers of the last moments and of those before, and since when the former are counted. */
  recent: { table: AnswerTable; earlier: AnswerTable; at?: number };
  /**
   * Windows in which the old version was starved: the likelihood ratios of their answers and of all
   * answers, compared with all answers of the old version, and bounds on what they count.
   */
  starved: { table: AnswerTable; ratios: number[]; totalRatios: number[]; bounds: number[] };
}

/** Returns a tally without answers. */
export function createTally(): RateTally {
  const ratios = computeRatios(createTable());
  return {
    ratios,
    run: createTable(),
    total: createTable(),
    window: createTable(),
    recent: { table: createTable(), earlier: createTable() },
    starved: { table: createTable(), ratios, totalRatios: ratios, bounds: ratios },
  };
}

/** Adds answers that no judgement has seen. */
export function addAnswers({ total, window, recent }: RateTally, table: AnswerTable): void {
  addTable(total, table);
  addTable(window, table);
  addTable(recent.table, table);
}

/** Drops answers that are no longer recent. */
export function updateRecent({ recent }: RateTally, now: number): void {
  recent.at ??= now;
  if (now - recent.at < RECENT_MS) return;
  Object.assign(recent, { table: createTable(), earlier: recent.table, at: now });
}

/**
 * Returns the logarithm of the likelihood ratio of the new version's recent answers, compared with
 * all answers of the old one. A disruption of all servers looks like a bad version here.
 */
export function computeRecentRatio({ recent, total }: RateTally): number {
  const { oldGood, oldBad } = total;
  const newGood = recent.table.newGood + recent.earlier.newGood;
  const newBad = recent.table.newBad + recent.earlier.newBad;
  return mergeRatios(computeRatios({ newGood, newBad, oldGood, oldBad }));
}

/** Adds the likelihood ratios of a closed stratum. */
export function addRatios(tally: RateTally, table: AnswerTable, ratios: readonly number[]): void {
  tally.ratios = tally.ratios.map((sum, index) => Math.max(MIN_LOG, sum + ratios[index]!));
  if (Math.max(...tally.ratios) <= 0) tally.run = createTable();
  else addTable(tally.run, table);
}

/** Ends the tally's window where it is due, and records it where the old version was starved. */
export function closeWindow(tally: RateTally, now: number): void {
  const { window } = tally;
  tally.windowAt ??= now;
  const newTotal = window.newGood + window.newBad;
  const isStarved = newTotal >= STARVED_FACTOR * (window.oldGood + window.oldBad);
  const isDue = now - tally.windowAt >= WINDOW_MS;
  if (!isDue || (isStarved && newTotal < MIN_WINDOW_ANSWERS)) return;
  if (isStarved) recordStarved(tally);
  tally.window = createTable();
  tally.windowAt = now;
}

function recordStarved({ starved, window, total }: RateTally): void {
  addTable(starved.table, window);
  const { oldGood, oldBad } = total;
  const ratios = computeRatios({ ...window, oldGood, oldBad });
  starved.bounds = starved.bounds.map((bound, index) =>
    Math.max(0, bound + Math.min(MAX_WINDOW_LOG, ratios[index]!)),
  );
  starved.ratios = computeRatios({ ...starved.table, oldGood, oldBad });
  starved.totalRatios = computeRatios(total);
}

/**
 * Returns the likelihood ratios of a tally from those of its strata, open ones included. Both have
 * the answers of the old version in common with the starved windows, so that the largest counts
 * instead of their sum.
 */
export function collectRatios({ starved }: RateTally, strata: readonly number[]): number[] {
  return strata.map((each, index) => {
    const bound = starved.bounds[index]!;
    const fromShift = Math.min(bound, starved.ratios[index]!);
    const fromAll = Math.min(each + bound, starved.totalRatios[index]!);
    return Math.max(each, fromShift, fromAll);
  });
}

/** Returns whether the new version fails so much more often that it matters. */
export function isExcessive({ run, starved, total }: RateTally): boolean {
  const old = run.oldGood + run.oldBad > 0 ? run : total;
  const newBad = run.newBad + starved.table.newBad;
  const newTotal = newBad + run.newGood + starved.table.newGood;
  const oldRate = old.oldBad / Math.max(1, old.oldGood + old.oldBad);
  return newBad / Math.max(1, newTotal) - oldRate >= MIN_EXCESS;
}
