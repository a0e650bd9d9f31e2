/**
 * The decisions of one agent: which reservations wait, which is claimed next, which are given up,
 * and what the backend server is believed to manage. A state machine without clocks or sockets.
 */
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import type { LoadReport, Usage, WorkDescription } from '@masticbend/protocol/message';
import { createCallProgress } from './call-progress.js';
import { createQueue } from './queue.js';
import type { QueuedWork } from './queued-work.js';
import type { Claim, Refusal, Reservation } from './reservation.js';

/** Time an entry has to answer a claim, in milliseconds. */
export const CLAIM_VALID_MS = 1_000;

/**
 * Prompt reading that may still be ahead when the next claim goes out: enough to cover the claim's
 * round trip. More would only move the queue into the engine, where no tier goes first.
 */
const CLAIM_AHEAD_MS = 20;
/** Share of calls and memory that tiers below the highest leave free. */
const HEADROOM = 0.1;
/** What an output token costs an account, in prompt tokens. */
const OUTPUT_TOKEN_COST = 4;
/** How far the share of reservations that are claimed here follows the last one. */
const CLAIMED_SHARE_STEP = 0.02;
const INITIAL_CLAIMED_SHARE = 0.6;
/** Bounds of the time after which a refused request may come back, in milliseconds. */
const RETRY_MINIMUM_MS = 100;
const RETRY_MAXIMUM_MS = 60_000;

/** Facts about the backend server; all but `tiers` may be changed while the scheduler runs. */
export interface AgentSchedulerOptions {
  /** Number of tiers. */
  tiers: number;
  /** Most calls in progress at the backend server. */
  concurrency: number;
  /** Most reservations waiting. */
  queueLimit: number;
  /** Models or services served now. */
  serves: string[];
}

/** What becomes of a new reservation, and of those it displaces. */
export interface ReserveResult {
  queued: boolean;
  /** The newcomer's refusal when it is not queued, and any displaced reservations. */
  refusals: Refusal[];
  startDelayMs: number;
  cachedTokens: number;
}

/** Queue, claims and estimates of one agent. */
export interface AgentScheduler {
  reserve: (
    now: number,
    owner: string,
    request: string,
    work: WorkDescription,
    displace: boolean,
  ) => ReserveResult;
  /** Removes a waiting or claimed reservation; false when it was granted or unknown. */
  cancel: (now: number, request: string) => boolean;
  /** Drops everything that waits or is claimed for an owner whose connection is gone. */
  dropOwner: (now: number, owner: string) => void;
  /** Returns the next claim to send while the backend server has room. */
  claimNext: (now: number) => Claim | undefined;
  /**
   * Accepts the grant of a claim; false when it lapsed and must not start. `streamed` tells that
   * the answer's first byte comes when the prompt is read.
   */
  grant: (now: number, request: string, claim: number, streamed: boolean) => boolean;
  /** The owner denied the claim: the reservation is gone. */
  deny: (now: number, request: string, claim: number) => void;
  /** Returns lapsed claims' room and the reservations to give up by now. */
  expire: (now: number) => Refusal[];
  /** First byte of the answer came. */
  recordFirstByte: (now: number, request: string) => void;
  /** The call ended whole. */
  recordFinish: (now: number, request: string, usage: Usage) => void;
  /** The granted call ended otherwise, or was never started. */
  recordFailure: (now: number, request: string) => void;
  /** Stops accepting and returns everything not granted. */
  leave: (now: number) => Refusal[];
  /** Time at which `expire` has something to do, or undefined. */
  findNextWake: (now: number) => number | undefined;
  report: (now: number) => LoadReport;
}

interface PendingClaim extends Claim {
  work: QueuedWork;
  readingMs: number;
}

/** Returns an idle scheduler. */
export function createAgentScheduler(options: AgentSchedulerOptions): AgentScheduler {
  const queue = createQueue<QueuedWork>(options.tiers);
  const progress = createCallProgress(() => options.concurrency);
  const claims = new Map<string, PendingClaim>();
  /** Reservations found too late when their turn came; the next `expire` returns them. */
  let givenUp: QueuedWork[] = [];
  let nextClaim = 1;
  let nextOrder = 1;
  let claimedShare = INITIAL_CLAIMED_SHARE;
  let leaving = false;

  function createQueuedWork(reservation: Reservation): QueuedWork {
    const { work, deadlineAt } = reservation;
    const order = nextOrder;
    nextOrder += 1;
    return {
      ...reservation,
      order,
      tokenCost: Math.max(1, work.promptTokens + work.outputTokens * OUTPUT_TOKEN_COST),
      costMs: progress.estimateCostMs(work),
      startBy: deadlineAt - progress.estimateServiceMs(work),
    };
  }

  function estimatePipelineMs(now: number): number {
    let claimedMs = 0;
    for (const { readingMs } of claims.values()) claimedMs += readingMs;
    return progress.estimatePrefillLeftMs(now) + claimedMs;
  }

  function estimateStartDelayMs(now: number, { work, deadlineAt }: Reservation): number {
    const aheadMs = queue.estimateAheadMs(work.tier, work.account, deadlineAt);
    return estimatePipelineMs(now) + aheadMs * claimedShare;
  }

  function recordClaimed(claimed: boolean): void {
    claimedShare += ((claimed ? 1 : 0) - claimedShare) * CLAIMED_SHARE_STEP;
  }

  function removeClaim(request: string): PendingClaim | undefined {
    const pending = claims.get(request);
    if (!pending) return undefined;
    claims.delete(request);
    return pending;
  }

  function hasRoom(now: number, { work }: QueuedWork): boolean {
    const share = work.tier === 0 ? 1 : 1 - HEADROOM;
    const calls = progress.countRunning() + claims.size;
    const limit = progress.getCallLimit();
    if (calls >= Math.min(limit, Math.max(1, Math.floor(limit * share)))) return false;
    if (calls === 0) return true;
    const tokens = progress.sumTokens() + work.promptTokens + work.outputTokensHigh;
    if (tokens > progress.getTokenLimit() * share) return false;
    return estimatePipelineMs(now) <= CLAIM_AHEAD_MS;
  }

  function findStartable(now: number): QueuedWork | undefined {
    for (;;) {
      const first = queue.getFirst();
      if (!first) return undefined;
      if (now + progress.estimateServiceMs(first.work) <= first.deadlineAt) return first;
      queue.remove(first.request);
      givenUp.push(first);
    }
  }

  function createMiss(now: number, reservation: Reservation): Failure {
    const finishMs =
      estimateStartDelayMs(now, reservation) + progress.estimateServiceMs(reservation.work);
    const lateMs = finishMs - reservation.work.deadlineMs;
    return { kind: ErrorKind.DeadlineUnreachable, retryAfterMs: computeRetryMs(lateMs) };
  }

  function createOverload(now: number, reservation: Reservation): Failure {
    const waitMs = estimateStartDelayMs(now, reservation);
    return { kind: ErrorKind.Overloaded, retryAfterMs: computeRetryMs(waitMs) };
  }

  return {
    reserve(now, owner, request, work, displace) {
      const deadlineAt = now + work.deadlineMs;
      const reservation: Reservation = { request, owner, work, arrivedAt: now, deadlineAt };
      const refuse = (failure: Failure): ReserveResult => ({
        queued: false,
        refusals: [{ reservation, failure }],
        startDelayMs: 0,
        cachedTokens: 0,
      });
      if (leaving) return refuse({ kind: ErrorKind.Stopping });
      const queued = createQueuedWork(reservation);
      const startDelayMs = estimateStartDelayMs(now, reservation);
      if (now + startDelayMs > queued.startBy) return refuse(createMiss(now, reservation));
      const refusals: Refusal[] = [];
      if (queue.size() >= options.queueLimit) {
        const displaced = displace ? queue.findDisplaceable(work.tier) : undefined;
        if (!displaced) return refuse(createOverload(now, reservation));
        queue.remove(displaced.request);
        refusals.push({ reservation: displaced, failure: createOverload(now, displaced) });
      }
      queue.add(queued);
      const cachedTokens = progress.estimateCachedTokens(work);
      return { queued: true, refusals, startDelayMs, cachedTokens };
    },
    cancel(now, request) {
      const claimed = removeClaim(request);
      if (claimed) queue.refund(claimed.work);
      const removed = claimed !== undefined || queue.remove(request) !== undefined;
      if (removed) recordClaimed(false);
      return removed;
    },
    dropOwner(now, owner) {
      queue.removeOwner(owner);
      for (const { reservation, work } of [...claims.values()]) {
        if (reservation.owner === owner) {
          claims.delete(reservation.request);
          queue.refund(work);
        }
      }
    },
    claimNext(now) {
      const work = findStartable(now);
      if (!work || leaving || !hasRoom(now, work)) return undefined;
      queue.take(work);
      const claim: PendingClaim = {
        claim: nextClaim,
        reservation: work,
        expiresAt: now + CLAIM_VALID_MS,
        work,
        readingMs: progress.estimateReadingMs(work.work),
      };
      nextClaim += 1;
      claims.set(work.request, claim);
      return claim;
    },
    grant(now, request, claim, streamed) {
      const pending = claims.get(request);
      if (!pending || pending.claim !== claim) return false;
      claims.delete(request);
      if (now >= pending.expiresAt) {
        queue.refund(pending.work);
        return false;
      }
      recordClaimed(true);
      progress.start(now, request, pending.reservation.work, streamed);
      return true;
    },
    deny(now, request, claim) {
      const pending = claims.get(request);
      if (pending?.claim !== claim) return;
      claims.delete(request);
      queue.refund(pending.work);
      recordClaimed(false);
    },
    expire(now) {
      const refusals: Refusal[] = [];
      for (const { reservation, work, expiresAt } of [...claims.values()]) {
        if (now >= expiresAt) {
          claims.delete(reservation.request);
          queue.refund(work);
          refusals.push({ reservation, failure: createOverload(now, reservation) });
        }
      }
      for (let late = queue.findExpired(now); late; late = queue.findExpired(now)) {
        queue.remove(late.request);
        givenUp.push(late);
      }
      for (const late of givenUp) {
        refusals.push({ reservation: late, failure: createMiss(now, late) });
      }
      givenUp = [];
      return refusals;
    },
    recordFirstByte: progress.recordFirstByte,
    recordFinish: progress.recordFinish,
    recordFailure: progress.recordFailure,
    leave() {
      leaving = true;
      const returned: Reservation[] = queue.clear();
      for (const { reservation } of claims.values()) returned.push(reservation);
      claims.clear();
      return returned.map((reservation) => ({
        reservation,
        failure: { kind: ErrorKind.Stopping },
      }));
    },
    findNextWake() {
      const times = [...claims.values()].map(({ expiresAt }) => expiresAt);
      const urgent = queue.getMostUrgent();
      if (urgent) times.push(urgent.startBy);
      return times.length > 0 ? Math.min(...times) : undefined;
    },
    report(now) {
      const backlogMs = queue.sumCostMsByTier().map((costMs) => costMs * claimedShare);
      return {
        ready: true,
        leaving,
        startDelayMs: estimatePipelineMs(now) + (backlogMs[0] ?? 0),
        prefillRate: progress.getPrefillRate(),
        decodeRate: progress.estimateDecodeMs() / 1_000,
        running: progress.countRunning(),
        limit: progress.getCallLimit(),
        waiting: queue.countByTier(),
        backlogMs,
        serves: options.serves,
      };
    },
  };
}

function computeRetryMs(waitMs: number): number {
  return Math.round(Math.min(Math.max(waitMs, RETRY_MINIMUM_MS), RETRY_MAXIMUM_MS));
}
