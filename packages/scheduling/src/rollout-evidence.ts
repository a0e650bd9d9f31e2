/**
 * Evidence on a version that is being rolled out: the answers of its servers and of those of other
 * versions, counted by route, from this process and its peers. Counts of peers are cumulative, so a
 * lost or repeated report changes nothing.
 *
 * Versions are compared over the same route, process and time: the counts are divided into strata,
 * and the strata's likelihood ratios are added up. Thus a disruption that hits all servers for a
 * moment, or one process for all servers, does not count against a version.
 */
import { createAnswerStrata } from './answer-strata.js';
import {
  addTable,
  computeBadThreshold,
  createTable,
  isSoundRate,
  mergeRatios,
  type AnswerTable,
} from './rate-comparison.js';
import {
  addAnswers,
  addRatios,
  closeWindow,
  collectRatios,
  computeRecentRatio,
  createTally,
  isExcessive,
  updateRecent,
  type RateTally,
} from './rate-tally.js';

/** Answers of all versions with which a route is active and must be sound for a good verdict. */
const ACTIVE_ANSWERS = 10;
/** Answers of the new version without which all evidence is in doubt. */
const MIN_ANSWERS = 5;
/** Logarithm of the likelihood ratio from which a version is in doubt. */
const DOUBT_THRESHOLD = Math.log(20);
/** Probability of a false alarm, which decides only in the last moments of an order. */
const FALSE_ALARM = 0.02;
/** Routes that are told apart; answers of further ones count together. */
const MAX_ROUTES = 64;
const OTHER_ROUTES = '';
/** Earlier incarnations of a peer whose late reports are recognized. */
const MAX_RETIRED = 8;
/** Stands between the parts of a key; names do not contain it. */
const SEPARATOR = '\u0000';
/** The name of this process among the sources. */
const SELF = '';

/** A verdict on a version; open while the counts do not suffice. */
export type Verdict = 'bad' | 'good' | 'open';

/** Answers of a version on a route, since a process began to count. */
export interface AnswerCount {
  route: string;
  version: string;
  good: number;
  bad: number;
}

/** A verdict with the counts that led to it: those of the route, or of all routes. */
export interface RolloutJudgement {
  verdict: Verdict;
  /** The route that is bad; undefined where the verdict is on all routes. */
  route?: string;
  /** The evidence is scarce, or points to a bad version without deciding it. */
  isDoubtful: boolean;
  /** The evidence points to a bad version. */
  isSuspected: boolean;
  /**
   * The recent answers of the new version alone do, so that it is not known whether the old one
   * would fail as well; `isAlarming` where it cannot be waited for.
   */
  isHeld: boolean;
  isAlarming: boolean;
  newBad: number;
  newTotal: number;
  oldBad: number;
  oldTotal: number;
}

/** Evidence on one order; a new order needs a new collection. Times are in milliseconds. */
export interface RolloutEvidence {
  record: (route: string, version: string, isBad: boolean) => void;
  /** Returns this process's cumulative counts. */
  list: () => AnswerCount[];
  /** Sets a peer's cumulative counts; counts of its earlier incarnations stay. */
  setPeer: (peer: string, incarnation: string, counts: readonly AnswerCount[]) => void;
  /**
   * Judges a version. Counts belong to the time of the call that first sees them: call it every
   * 50 to 200 ms while an order is in progress. A bad verdict is final.
   */
  judge: (to: string, now: number) => RolloutJudgement;
}

interface Peer {
  incarnation: string;
  retired: string[];
  counts: Map<string, AnswerCount>;
}

/** Returns an empty collection. */
export function createRolloutEvidence(): RolloutEvidence {
  const own = new Map<string, AnswerCount>();
  const peers = new Map<string, Peer>();
  /** Counts that no judgement has seen, by source. */
  const pending = new Map<string, Map<string, AnswerCount>>();
  const strata = createAnswerStrata();
  const tallies = new Map<string, RateTally>();
  const overall = createTally();
  const routes = new Set<string>();
  let condemned: RolloutJudgement | undefined;

  function getRoute(route: string): string {
    if (!routes.has(route) && routes.size >= MAX_ROUTES) return OTHER_ROUTES;
    routes.add(route);
    return route;
  }

  function addPending(source: string, route: string, version: string, good: number, bad: number) {
    if (good + bad <= 0) return;
    const counts = getOrAdd(pending, source, () => new Map<string, AnswerCount>());
    addCount(counts, route, version, good, bad);
  }

  function takePending(to: string, now: number): void {
    for (const [source, counts] of pending) {
      const tables = new Map<string, AnswerTable>();
      for (const { route, version, good, bad } of counts.values()) {
        const table = getOrAdd(tables, route, createTable);
        table[version === to ? 'newGood' : 'oldGood'] += good;
        table[version === to ? 'newBad' : 'oldBad'] += bad;
      }
      for (const [route, table] of tables) {
        strata.add(now, source, route, table);
        for (const tally of [getOrAdd(tallies, route, createTally), overall]) {
          addAnswers(tally, table);
        }
      }
    }
    pending.clear();
  }

  function updateTallies(now: number): void {
    for (const { route, table, ratios } of strata.takeClosed(now)) {
      for (const tally of [tallies.get(route)!, overall]) addRatios(tally, table, ratios);
    }
    for (const tally of [...tallies.values(), overall]) {
      closeWindow(tally, now);
      updateRecent(tally, now);
    }
  }

  /** Returns the tallies with the open strata added; the one of all routes is undefined's. */
  function collectPresent(): Map<string | undefined, RateTally> {
    const present = new Map<string | undefined, RateTally>();
    for (const [route, tally] of [...tallies, [undefined, overall] as const]) {
      present.set(route, { ...tally, ratios: [...tally.ratios], run: { ...tally.run } });
    }
    for (const { route, table, ratios } of strata.listOpen()) {
      for (const tally of [present.get(route)!, present.get(undefined)!]) {
        addTable(tally.run, table);
        ratios.forEach((each, index) => {
          tally.ratios[index]! += each;
        });
      }
    }
    return present;
  }

  return {
    record(name, version, isBad) {
      const route = getRoute(name);
      addCount(own, route, version, isBad ? 0 : 1, isBad ? 1 : 0);
      addPending(SELF, route, version, isBad ? 0 : 1, isBad ? 1 : 0);
    },
    list: () => [...own.values()].map((count) => ({ ...count })),
    setPeer(name, incarnation, counts) {
      const peer = getOrAdd(peers, name, () => ({ incarnation, retired: [], counts: new Map() }));
      if (peer.retired.includes(incarnation)) return;
      if (peer.incarnation !== incarnation) {
        peer.retired = [...peer.retired, peer.incarnation].slice(-MAX_RETIRED);
        peer.incarnation = incarnation;
        peer.counts.clear();
      }
      for (const { route: routeName, version, good, bad } of counts) {
        const route = getRoute(routeName);
        const known = addCount(peer.counts, route, version, 0, 0);
        const addedGood = Math.max(0, good - known.good);
        const addedBad = Math.max(0, bad - known.bad);
        known.good += addedGood;
        known.bad += addedBad;
        addPending(name, route, version, addedGood, addedBad);
      }
    },
    judge(to, now) {
      if (condemned) return condemned;
      takePending(to, now);
      updateTallies(now);
      const threshold = computeBadThreshold(tallies.size + 1);
      let isSuspected = false;
      let isSound = isSoundRate(overall.total);
      for (const [route, tally] of collectPresent()) {
        const ratio = mergeRatios(collectRatios(tally, tally.ratios));
        if (ratio >= threshold && isExcessive(tally)) {
          const counts = describeTotal(tally.total);
          const doubts = { isDoubtful: true, isSuspected: true, isHeld: true, isAlarming: true };
          condemned = { verdict: 'bad', route, ...doubts, ...counts };
          return condemned;
        }
        isSuspected ||= ratio >= DOUBT_THRESHOLD && isExcessive(tally);
        if (isActive(tally.total)) isSound &&= isSoundRate(tally.total);
      }
      const recentRatio = Math.max(...[...tallies.values(), overall].map(computeRecentRatio));
      const isHeld = recentRatio >= DOUBT_THRESHOLD;
      const isAlarming = recentRatio >= Math.log((tallies.size + 1) / FALSE_ALARM);
      const counts = describeTotal(overall.total);
      const isDoubtful = isSuspected || counts.newTotal < MIN_ANSWERS;
      const verdict = isSound && !isDoubtful ? 'good' : 'open';
      return { verdict, isDoubtful, isSuspected, isHeld, isAlarming, ...counts };
    },
  };
}

function isActive({ newGood, newBad, oldGood, oldBad }: AnswerTable): boolean {
  return newGood + newBad + oldGood + oldBad >= ACTIVE_ANSWERS;
}

function describeTotal({ newGood, newBad, oldGood, oldBad }: AnswerTable) {
  return { newBad, newTotal: newGood + newBad, oldBad, oldTotal: oldGood + oldBad };
}

function addCount(
  counts: Map<string, AnswerCount>,
  route: string,
  version: string,
  good: number,
  bad: number,
): AnswerCount {
  const key = `${route}${SEPARATOR}${version}`;
  const count = getOrAdd(counts, key, () => ({ route, version, good: 0, bad: 0 }));
  count.good += good;
  count.bad += bad;
  return count;
}

function getOrAdd<Value>(map: Map<string, Value>, key: string, create: () => Value): Value {
  const known = map.get(key);
  if (known !== undefined) return known;
  const added = create();
  map.set(key, added);
  return added;
}
