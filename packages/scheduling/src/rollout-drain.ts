/**
 * Requests that move to the new version in the shift of a rollout, at one entry. An order is
 * complete at a moment at which no request is open at the old version. The moment is planned from
 * the order's time limit, and a request moves if it would still run then at the old version. The
 * longest requests move first and the shortest last, so that the fewest move, and both versions
 * answer at the same time until shortly before the end.
 *
 * All moves are taken from the exposure budget until the time limit, since a version that turns bad
 * in the shift has got all of them. After the limit, nothing counts against the bound.
 */
import type { ExposureBudget } from './rollout-exposure.js';

/**
 * Time before the limit at which nothing should be open at old versions any more, as a part of the
 * duration, with its bounds. It covers two rounds of reports, the write of the status, and answers
 * that take longer than expected.
 */
const END_PART = 0.16;
const MIN_END_MS = 700;
const MAX_END_MS = 2_000;
/** Largest part of a very short order. */
const MAX_END_PART = 0.5;
/** Time from the planned end to the write of the status. */
const STATUS_MS = 600;
/** Part of it that the budget must cover for an entry to report that it is drained. */
const MIN_STATUS_MS = 300;
/**
 * Part of a request that is unused in the budgets of other entries on average, as only whole ones
 * are taken or lent. With many entries and little traffic, no entry would be covered otherwise.
 */
const UNUSED_PART = 0.5;
/** Largest difference between the times at which entries see the limit of an order. */
const LIMIT_MARGIN_MS = 300;
/** Time constant of the averages of the demand. */
const DEMAND_MS = 2_000;

/**
 * Age of the oldest report of the others with which an entry still moves requests. An entry that is
 * cut off stops to move them within this time, well before the bound on the rollback.
 */
const CONFIRMATION_MS = 1_500;

/** What the last report of another entry says of the shift. */
export interface PeerShift {
  /** It is in the shift of the same order and has not found the version bad. */
  isShifting: boolean;
  receivedAt: number;
}

/** A loan of budget to another entry. */
export interface Loan {
  peer: string;
  amount: number;
}

/** Start and duration of an order; the start may be corrected by the row of the store. */
export interface OrderTimes {
  startedAt: number;
  durationMs: number;
}

/** Moves of one entry for one order. Times are in milliseconds. */
export interface RolloutDrain {
  /** Records that a request was sent to any version, with its expected time at the old one. */
  recordRequest: (now: number, answerMs: number) => void;
  /** Returns whether a request would still run at the planned end. */
  isDue: (now: number, answerMs: number) => boolean;
  /**
   * Takes a request that is due from the budget. It needs none after the time limit, nor while the
   * order is ending: other entries have promised to send to no old version, so that the sooner this
   * one has nothing open there, the fewer requests all of them move.
   */
  tryMove: (now: number, route: string, isEnding: boolean) => boolean;
  /** Sets what the trial has to leave for the shift. */
  updateReserve: (now: number) => void;
  /** Returns the requests that are expected to move until the order is complete. */
  computeNeed: (now: number) => number;
  /** Returns the whole requests that the budget has beyond this; negative what it lacks. */
  computeBalance: (now: number) => number;
  /**
   * Takes what this entry does not need out of the budget, for those that lack some. Entries with
   * the same balances lend to different ones.
   */
  takeLoans: (now: number, self: string, others: ReadonlyMap<string, number>) => Loan[];
  /**
   * Returns whether none was open at other versions at a moment after the planned end, and whether
   * the budget lasts until the status is written if all requests move from now on.
   */
  updateDrained: (now: number, openElsewhere: number) => boolean;
}

/** Returns the moment at which nothing should be open at old versions any more. */
export function computeDrainEnd({ startedAt, durationMs }: OrderTimes): number {
  const beforeLimitMs = Math.min(MAX_END_MS, Math.max(MIN_END_MS, END_PART * durationMs));
  return startedAt + durationMs - Math.min(beforeLimitMs, MAX_END_PART * durationMs);
}

/** Returns until when the reports of all others confirm the shift; undefined is no report. */
export function computeConfirmedUntil(peers: readonly (PeerShift | undefined)[]): number {
  return peers.reduce(
    (until, peer) =>
      Math.min(until, peer?.isShifting ? peer.receivedAt + CONFIRMATION_MS : -Infinity),
    Infinity,
  );
}

/** Returns the moves of an order that has just begun. */
export function createRolloutDrain(budget: ExposureBudget, times: OrderTimes): RolloutDrain {
  let requests = 0;
  let answerMsSum = 0;
  let decayedAt = 0;
  let wasDrained = false;

  function updateDecay(now: number): void {
    const kept = Math.exp(-Math.max(0, now - decayedAt) / DEMAND_MS);
    requests *= kept;
    answerMsSum *= kept;
    decayedAt = now;
  }

  /** Returns the requests that come within a time, at the recent rate. */
  function estimateRequests(now: number, ms: number): number {
    updateDecay(now);
    return (requests * ms) / DEMAND_MS;
  }

  function computeNeed(now: number): number {
    const leftMs = Math.max(0, computeDrainEnd(times) - now);
    const answerMs = requests > 0 ? answerMsSum / requests : 0;
    return estimateRequests(now, Math.min(leftMs, answerMs) + STATUS_MS);
  }

  function computeBalance(now: number): number {
    return Math.floor(budget.count().movable - computeNeed(now));
  }

  function isLimitOver(now: number): boolean {
    return now >= times.startedAt + times.durationMs + LIMIT_MARGIN_MS;
  }

  return {
    recordRequest(now, answerMs) {
      updateDecay(now);
      requests += 1;
      answerMsSum += answerMs;
    },
    isDue: (now, answerMs) => now + answerMs >= computeDrainEnd(times),
    tryMove(now, route, isEnding) {
      if (budget.tryMove(route)) return true;
      if (!isEnding && !isLimitOver(now)) return false;
      budget.recordExposed(route);
      return true;
    },
    updateReserve(now) {
      const spanMs = Math.max(1, computeDrainEnd(times) - times.startedAt);
      const passedPart = Math.min(1, Math.max(0, (now - times.startedAt) / spanMs));
      budget.setReserve(computeNeed(now) * passedPart);
    },
    computeNeed,
    computeBalance,
    takeLoans(now, self, others) {
      const need = computeNeed(now);
      return chooseLoans(new Map([...others, [self, computeBalance(now)]]), self)
        .map(({ peer, amount }) => ({ peer, amount: budget.lendUnneeded(amount, need) }))
        .filter(({ amount }) => amount > 0);
    },
    updateDrained(now, openElsewhere) {
      wasDrained ||= openElsewhere === 0 && now >= computeDrainEnd(times);
      const { movable } = budget.count();
      const isCovered = movable + UNUSED_PART >= estimateRequests(now, MIN_STATUS_MS);
      return wasDrained && (isCovered || isLimitOver(now));
    },
  };
}

/** Returns the loans of one entry where all lend in turn, from the largest balance down. */
function chooseLoans(balances: ReadonlyMap<string, number>, self: string): Loan[] {
  const ranked = [...balances].sort(
    ([leftName, left], [rightName, right]) => right - left || (leftName < rightName ? -1 : 1),
  );
  const lenders = ranked.filter(([, balance]) => balance > 0);
  const loans: Loan[] = [];
  for (const [peer, balance] of ranked.reverse()) {
    let lacking = -balance;
    while (lacking > 0 && lenders.length > 0) {
      const [lender, spare] = lenders[0]!;
      const amount = Math.min(lacking, spare);
      lacking -= amount;
      lenders[0] = [lender, spare - amount];
      if (spare === amount) lenders.shift();
      if (lender === self) loans.push({ peer, amount });
    }
  }
  return loans;
}
