/**
 * Times of answers by route, version and size of the request. They tell whether an answer took
 * several times as long as the other versions need for a request of this size. Times are those of
 * one process, and only of its last answers, so that a load that slows all servers raises the
 * baseline as well.
 */

/** An answer is slow if it takes this many times the median of the other versions. */
const SLOW_FACTOR = 3;
/** Baselines below this time count as this time; scheduling of the process alone takes as long. */
const MIN_BASELINE_MS = 5;
/** Answers kept for each route, version and size class. */
const MAX_TIMES = 16;
/** Answers without which there is no baseline. */
const MIN_TIMES = 3;
/** Estimate without answers: about the time of a stream of usual length. */
const UNKNOWN_ANSWER_MS = 1_000;
/** Margin over the longest of the last answers. */
const MARGIN_FACTOR = 1.1;
const MARGIN_MS = 20;
/** Routes and versions of a route that are kept; the oldest are dropped first. */
const MAX_ROUTES = 64;
const MAX_VERSIONS = 3;
/** Size classes are powers of two; larger sizes are in the last one. */
const SIZE_CLASSES = 32;

/** Times of answers of one service. */
export interface AnswerTimes {
  /** Records a complete and sound answer. */
  record: (route: string, version: string, size: number, ms: number) => void;
  /** Returns whether a time is several times what versions other than `to` need. */
  isSlow: (to: string, route: string, size: number, ms: number) => boolean;
  /** Returns the time within which nearly all such answers of versions other than `to` end. */
  estimateMs: (to: string, route: string, size: number) => number;
}

/** The last times of each size class. */
type SizeClasses = number[][];

/** Returns an empty collection. */
export function createAnswerTimes(): AnswerTimes {
  const routes = new Map<string, Map<string, SizeClasses>>();

  function listTimes(to: string, route: string, size: number): number[] {
    const others = [...(routes.get(route) ?? [])].filter(([version]) => version !== to);
    return collectTimes(
      others.map(([, classes]) => classes),
      computeSizeClass(size),
    );
  }

  return {
    record(route, version, size, ms) {
      const versions = getOrAdd(routes, route, MAX_ROUTES, () => new Map<string, SizeClasses>());
      const classes = getOrAdd(versions, version, MAX_VERSIONS, () => []);
      const sizeClass = computeSizeClass(size);
      classes[sizeClass] ??= [];
      const times = classes[sizeClass];
      times.push(ms);
      if (times.length > MAX_TIMES) times.shift();
    },
    isSlow(to, route, size, ms) {
      if (ms <= SLOW_FACTOR * MIN_BASELINE_MS) return false;
      const times = listTimes(to, route, size);
      if (times.length < MIN_TIMES) return false;
      times.sort((left, right) => left - right);
      const baselineMs = times[Math.floor(times.length / 2)]!;
      return ms > SLOW_FACTOR * Math.max(MIN_BASELINE_MS, baselineMs);
    },
    estimateMs(to, route, size) {
      const times = listTimes(to, route, size);
      if (times.length < MIN_TIMES) return UNKNOWN_ANSWER_MS;
      return Math.max(...times) * MARGIN_FACTOR + MARGIN_MS;
    },
  };
}

/**
 * Returns the times of a size class. Where it has too few answers, larger classes count too, then
 * smaller ones with times in proportion to the size; both overestimate the time.
 */
function collectTimes(versions: readonly SizeClasses[], sizeClass: number): number[] {
  const times: number[] = [];
  for (let each = sizeClass; each < SIZE_CLASSES && times.length < MIN_TIMES; each += 1) {
    for (const classes of versions) times.push(...(classes[each] ?? []));
  }
  for (let each = sizeClass - 1; each >= 0 && times.length < MIN_TIMES; each -= 1) {
    const scale = 2 ** (sizeClass - each);
    for (const classes of versions) times.push(...(classes[each] ?? []).map((ms) => ms * scale));
  }
  return times;
}

function computeSizeClass(size: number): number {
  return Math.min(SIZE_CLASSES - 1, Math.max(0, Math.floor(Math.log2(Math.max(1, size)))));
}

/** Returns the value of a key; a new one displaces the oldest where there are too many. */
function getOrAdd<Value>(
  map: Map<string, Value>,
  key: string,
  maxSize: number,
  create: () => Value,
): Value {
  const known = map.get(key);
  if (known !== undefined) return known;
  if (map.size >= maxSize) map.delete(map.keys().next().value!);
  const added = create();
  map.set(key, added);
  return added;
}
