/**
 * Admission of new requests to the ranks of an agent's queue while slots are scarce. It measures at
 * which rate requests of each rank get slots while requests of that rank wait, and expects a new
 * request to wait until those ahead of it are served at this rate. A rank that gets almost no slots
 * is closed, except for a few probes. Load condition: more requests than slots, where requests of
 * lower ranks wait until they expire.
 */
import { updateMovingAverage } from './moving-average.js';
import { isReturningRank, RANK_COUNT } from './rank.js';

/**
 * Time constants of the rates. The fast one notices within a quarter of a second that a rank gets
 * slots again; the slow one counts enough requests of a rank to close it.
 */
const FAST_MS = 250;
const SLOW_MS = 1_000;
/** Time for which requests of a rank must have waited, within `SLOW_MS`, before its rate counts. */
const MIN_WAITING_MS = 250;
/** Least time over which the fast rate is taken, so that a single slot is no high rate. */
const MIN_FAST_WAITING_MS = 125;
/**
 * Requests that may wait in a rank and those above it whatever their prospects: one for the next
 * slot, and one more so that it is not left empty until an entry asks again.
 */
const PROBES = 2;
/** Share of a rank's requests that get no slot above which lower ranks get none at all. */
const MAX_LOST_SHARE = 0.2;
/** Recent requests of a rank from which its lost share is meaningful. */
const MIN_ASKED = 4;
/** Recent requests below which a rank counts as unused. */
const MIN_RECENT = 0.5;
/**
 * Fraction of the rank's mean longest wait below which a lost request does not count: it had hardly
 * any time left to wait.
 */
const MIN_USUAL_WAIT = 0.5;
/**
 * Weight of a request that got a slot at another agent. Slots elsewhere go to requests in any part
 * of this queue, and half of them had no part in the wait of a given one.
 */
const ELSEWHERE_WEIGHT = 0.5;
/** Smoothing factor of the mean longest wait of a rank's requests. */
const LONGEST_WAIT_SMOOTHING = 0.1;
/** Expected wait in a closed rank, longer than any request waits. */
const CLOSED_WAIT_MS = 60_000;

/** Wait as expected from the work ahead. */
export interface AheadWait {
  aheadMs: number;
  /** How much longer earlier requests of the rank waited. */
  scale: number;
}

/** The highest closed rank of a queue. */
export interface ClosedRank {
  rank: number;
  /** Requests of the rank that got slots in the last second or so, here or elsewhere. */
  placed: number;
}

/** Admission to one queue. Times are monotonic, in milliseconds. */
export interface RankAdmission {
  /** Accounts for the time since the last call; to be called before each change of the queue. */
  advance: (now: number) => void;
  /** A request found no free slot; it would wait for at most `longestWaitMs`. */
  recordAsked: (rank: number, longestWaitMs: number) => void;
  /** A waiting request got a slot at another agent. */
  recordPlacedElsewhere: (rank: number) => void;
  /** A waiting request got a slot here, so that no higher rank is short of slots. */
  recordGranted: (rank: number) => void;
  /** A request that would have waited for at most `longestWaitMs` expired or was refused. */
  recordLost: (rank: number, longestWaitMs: number) => void;
  /** A slot is free and nobody waits for it: no rank is short of slots. */
  recordFree: () => void;
  /**
   * Returns the longest wait that a new request must accept to be admitted, with `ahead` requests
   * of its rank before it.
   */
  estimateWaitMs: (rank: number, wait: AheadWait, ahead: number) => number;
  /** Returns these waits for all ranks; `waits` is by rank. */
  listWaitsMs: (waits: readonly AheadWait[]) => number[];
  findClosedRank: () => ClosedRank | undefined;
  countClosedRanks: () => number;
}

/** Decayed sums for one rank. */
interface RankState {
  /**
   * Requests that got slots and the time in which requests waited, by time constant; requests that
   * found no free slot, and those of them that got none.
   */
  placedFast: number;
  placedSlow: number;
  waitingFastMs: number;
  waitingSlowMs: number;
  asked: number;
  lost: number;
  longestWaitMs: number | undefined;
}

/** What waits before a new request of a rank. */
interface RankQueue {
  /** Requests that wait in the rank, and in it and all higher ones. */
  waiting: number;
  waitingUpTo: number;
  /** A higher rank takes all slots. */
  isStarved: boolean;
}

/** Returns an admission to an empty queue; `countByRank` returns how many requests wait. */
export function createRankAdmission(countByRank: () => readonly number[]): RankAdmission {
  const ranks = Array.from({ length: RANK_COUNT }, createRankState);
  /** Ranks below this one may have a state other than the first one. */
  let usedRanks = 0;
  let advancedAt: number | undefined;

  function resetRanks(count: number): void {
    for (let rank = 0; rank < count; rank += 1) ranks[rank] = createRankState();
  }

  function estimateRankWaitMs(
    rank: number,
    { waiting, waitingUpTo, isStarved }: RankQueue,
    { aheadMs, scale }: AheadWait,
  ): number {
    // A returning caller has no further chance, so that an early refusal gives it nothing.
    if (isReturningRank(rank) || waitingUpTo < PROBES) return aheadMs * Math.min(1, scale);
    if (isStarved) return CLOSED_WAIT_MS;
    const rate = findRate(ranks[rank]!);
    return rate === undefined ? aheadMs * scale : computeSafeWaitMs(waiting + 1, rate);
  }

  /** Visits the ranks up to `last` with the requests that wait in and above each. */
  function walkRanks<Result>(
    last: number,
    visit: (rank: number, queue: RankQueue) => Result,
  ): Result[] {
    const counts = countByRank();
    let waitingUpTo = 0;
    let isStarved = false;
    return ranks.slice(0, last + 1).map((state, rank) => {
      const waiting = counts[rank]!;
      waitingUpTo += waiting;
      const result = visit(rank, { waiting, waitingUpTo, isStarved });
      isStarved ||= isLosing(state);
      return result;
    });
  }

  function listClosedRanks(): number[] {
    const closed = walkRanks(usedRanks - 1, (rank, { isStarved }) => {
      const state = ranks[rank]!;
      if (isReturningRank(rank) || state.asked < MIN_RECENT) return false;
      const rate = findRate(state);
      const hasNone =
        rate !== undefined && computeSafeWaitMs(1, rate) > (state.longestWaitMs ?? Infinity);
      return isStarved || hasNone;
    });
    return closed.flatMap((isClosed, rank) => (isClosed ? [rank] : []));
  }

  return {
    advance(now) {
      const elapsedMs = now - (advancedAt ?? now);
      advancedAt = now;
      if (elapsedMs <= 0) return;
      const fastKept = Math.exp(-elapsedMs / FAST_MS);
      const slowKept = Math.exp(-elapsedMs / SLOW_MS);
      const counts = countByRank();
      for (const [rank, state] of ranks.slice(0, usedRanks).entries()) {
        if (state.asked > 0) {
          const isWaiting = counts[rank]! > 0;
          state.placedFast *= fastKept;
          state.placedSlow *= slowKept;
          state.waitingFastMs *= fastKept;
          state.waitingSlowMs *= slowKept;
          if (isWaiting) state.waitingFastMs += FAST_MS * (1 - fastKept);
          if (isWaiting) state.waitingSlowMs += SLOW_MS * (1 - slowKept);
          state.asked *= slowKept;
          state.lost *= slowKept;
        }
      }
    },
    recordAsked(rank, longestWaitMs) {
      const state = ranks[rank]!;
      usedRanks = Math.max(usedRanks, rank + 1);
      state.asked += 1;
      state.longestWaitMs = updateMovingAverage(
        state.longestWaitMs,
        longestWaitMs,
        LONGEST_WAIT_SMOOTHING,
      );
    },
    recordPlacedElsewhere(rank) {
      recordPlaced(ranks[rank]!, ELSEWHERE_WEIGHT);
    },
    recordGranted(rank) {
      recordPlaced(ranks[rank]!);
      resetRanks(Math.min(rank, usedRanks));
    },
    recordLost(rank, longestWaitMs) {
      const state = ranks[rank]!;
      if (longestWaitMs >= (state.longestWaitMs ?? 0) * MIN_USUAL_WAIT) state.lost += 1;
    },
    recordFree() {
      resetRanks(usedRanks);
      usedRanks = 0;
    },
    estimateWaitMs(rank, wait, waiting) {
      const [queue] = walkRanks(rank, (_, each) => each).slice(-1);
      return estimateRankWaitMs(rank, { ...queue!, waiting }, wait);
    },
    listWaitsMs: (waits) =>
      walkRanks(waits.length - 1, (rank, queue) => estimateRankWaitMs(rank, queue, waits[rank]!)),
    findClosedRank() {
      const [rank] = listClosedRanks();
      return rank === undefined ? undefined : { rank, placed: Math.round(ranks[rank]!.placedSlow) };
    },
    countClosedRanks: () => listClosedRanks().length,
  };
}

function createRankState(): RankState {
  return {
    placedFast: 0,
    placedSlow: 0,
    waitingFastMs: 0,
    waitingSlowMs: 0,
    asked: 0,
    lost: 0,
    longestWaitMs: undefined,
  };
}

function recordPlaced(state: RankState, weight = 1): void {
  state.placedFast += weight;
  state.placedSlow += weight;
}

/** Returns whether a rank takes all slots, so that no lower one gets any. */
function isLosing({ asked, lost }: RankState): boolean {
  return asked >= MIN_ASKED && lost > asked * MAX_LOST_SHARE;
}

/** Returns how many requests of a rank get slots each millisecond; undefined before it is known. */
function findRate(state: RankState): number | undefined {
  const { placedFast, placedSlow, waitingFastMs, waitingSlowMs } = state;
  if (waitingSlowMs < MIN_WAITING_MS) return undefined;
  const fastRate = placedFast / Math.max(MIN_FAST_WAITING_MS, waitingFastMs);
  return Math.max(fastRate, placedSlow / waitingSlowMs);
}

/**
 * Returns the time in which `count` slots are given at a rate, even if they are fewer than expected
 * by the standard deviation of their number. The expected number `m` satisfies
 * `m - sqrt(m) = count`.
 */
function computeSafeWaitMs(count: number, rate: number): number {
  const root = (1 + Math.sqrt(1 + 4 * count)) / 2;
  return Math.min(CLOSED_WAIT_MS, root ** 2 / rate);
}
