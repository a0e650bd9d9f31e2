/**
 * Scheduling decisions of one agent: which reservations wait, which one is claimed next, which are
 * refused, and how much load the backend server is estimated to handle. A state machine without
 * clocks or sockets.
 */
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import type { Usage, WorkDescription } from '@masticbend/protocol/call-message';
import type { LoadReport } from '@masticbend/protocol/message';
import { createCallProgress } from './call-progress.js';
import { createQueue } from './queue.js';
import type { QueuedWork } from './queued-work.js';
import type { Claim, Refusal, Reservation } from './reservation.js';

/** Time within which an entry must answer a claim, in milliseconds. */
export const CLAIM_VALID_MS = 1_000;

/**
 * Maximum prefill time still outstanding at the engine when the next claim is sent: enough to cover
 * the claim's round trip. More would only move the queue into the engine, which has no tiers.
 */
const MAX_PREFILL_AHEAD_MS = 20;
/** Share of calls and memory that is reserved for the highest tier. */
const LOWER_TIER_HEADROOM = 0.1;
/** Cost of an output token in an account's fair share, in prompt tokens. */
const OUTPUT_TOKEN_COST = 4;
/** Smoothing factor of the share of reservations that are claimed here, and its initial value. */
const CLAIMED_SHARE_SMOOTHING = 0.02;
const INITIAL_CLAIMED_SHARE = 0.6;
/** Bounds of the advised time until a refused request is retried, in milliseconds. */
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 60_000;

/** Properties of the backend server; all but `tiers` may change while the scheduler runs. */
export interface AgentSchedulerOptions {
  /** Number of tiers. */
  tiers: number;
  /** Maximum number of calls in progress at the backend server. */
  concurrency: number;
  /** Maximum number of waiting reservations. */
  queueLimit: number;
  /** Models or services that are being served. */
  serves: string[];
}

/** Outcome for a new reservation, and for those that it displaces. */
export interface ReserveResult {
  queued: boolean;
  /** Refusals of the new reservation if it is not queued, and of any displaced reservation. */
  refusals: Refusal[];
  /** Expected time until it can start; 0 when it is refused. */
  startDelayMs: number;
  /** Prompt tokens expected in the engine's prefix cache; 0 when it is refused. */
  cachedTokens: number;
}

/** Queue, claims and estimates of one agent. */
export interface AgentScheduler {
  /**
   * Queues a reservation; with `displace`, one of a lower tier may be evicted from a full queue.
   */
  reserve: (
    now: number,
    owner: string,
    request: string,
    work: WorkDescription,
    displace: boolean,
  ) => ReserveResult;
  /** Removes a waiting or claimed reservation; false when it was granted or unknown. */
  cancel: (now: number, request: string) => boolean;
  /** Drops all waiting and claimed reservations of an owner whose connection has closed. */
  dropOwner: (now: number, owner: string) => void;
  /** Returns the next claim to send; undefined while the backend server has no capacity. */
  claimNext: (now: number) => Claim | undefined;
  /**
   * Accepts the grant of a claim; false when it has expired or is unknown, so that the call must
   * not start. `streamed` means that the answer's first byte is sent at the end of prefill.
   */
  grant: (now: number, request: string, claim: number, streamed: boolean) => boolean;
  /** The owner denied the claim: removes the reservation. */
  deny: (now: number, request: string, claim: number) => void;
  /** Refuses reservations whose claim has expired or that can no longer finish in time. */
  expire: (now: number) => Refusal[];
  /** The first byte of the answer has arrived. */
  recordFirstByte: (now: number, request: string) => void;
  /** The call has completed. */
  recordFinish: (now: number, request: string, usage: Usage) => void;
  /** The granted call has failed or was never started. */
  recordFailure: (now: number, request: string) => void;
  /** Stops accepting reservations and returns all that are not granted. */
  leave: (now: number) => Refusal[];
  /** Time at which `expire` must be called next; undefined if nothing can expire. */
  findNextExpiry: (now: number) => number | undefined;
  report: (now: number) => LoadReport;
}

interface PendingClaim extends Claim {
  work: QueuedWork;
  /** Time for which its prefill will occupy the engine. */
  prefillBusyMs: number;
}

/** Returns an idle scheduler. */
export function createAgentScheduler(options: AgentSchedulerOptions): AgentScheduler {
  const queue = createQueue<QueuedWork>(options.tiers);
  const progress = createCallProgress(() => options.concurrency);
  const claims = new Map<string, PendingClaim>();
  /** Reservations removed because they can't finish in time; the next `expire` returns them. */
  let unstartable: QueuedWork[] = [];
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

  function estimatePrefillAheadMs(now: number): number {
    let claimedMs = 0;
    for (const { prefillBusyMs } of claims.values()) claimedMs += prefillBusyMs;
    return progress.estimatePrefillLeftMs(now) + claimedMs;
  }

  function estimateStartDelayMs(now: number, { work, deadlineAt }: Reservation): number {
    const aheadMs = queue.estimateAheadMs(work.tier, work.account, deadlineAt);
    return estimatePrefillAheadMs(now) + aheadMs * claimedShare;
  }

  function recordClaimed(claimed: boolean): void {
    claimedShare += ((claimed ? 1 : 0) - claimedShare) * CLAIMED_SHARE_SMOOTHING;
  }

  function removeClaim(request: string): PendingClaim | undefined {
    const pending = claims.get(request);
    if (!pending) return undefined;
    claims.delete(request);
    return pending;
  }

  function hasCapacity(now: number, { work }: QueuedWork): boolean {
    const share = work.tier === 0 ? 1 : 1 - LOWER_TIER_HEADROOM;
    const calls = progress.countRunning() + claims.size;
    const limit = progress.getCallLimit();
    if (calls >= Math.min(limit, Math.max(1, Math.floor(limit * share)))) return false;
    if (calls === 0) return true;
    const tokens = progress.sumTokens() + work.promptTokens + work.outputTokensHigh;
    if (tokens > progress.getTokenLimit() * share) return false;
    return estimatePrefillAheadMs(now) <= MAX_PREFILL_AHEAD_MS;
  }

  function findStartable(now: number): QueuedWork | undefined {
    for (;;) {
      const first = queue.getFirst();
      if (!first) return undefined;
      if (now + progress.estimateServiceMs(first.work) <= first.deadlineAt) return first;
      queue.remove(first.request);
      unstartable.push(first);
    }
  }

  function createLateFailure(now: number, reservation: Reservation): Failure {
    const finishMs =
      estimateStartDelayMs(now, reservation) + progress.estimateServiceMs(reservation.work);
    const lateMs = finishMs - reservation.work.deadlineMs;
    return { kind: ErrorKind.DeadlineUnreachable, retryAfterMs: computeRetryAfterMs(lateMs) };
  }

  function createOverloadFailure(now: number, reservation: Reservation): Failure {
    const waitMs = estimateStartDelayMs(now, reservation);
    return { kind: ErrorKind.Overloaded, retryAfterMs: computeRetryAfterMs(waitMs) };
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
      if (now + startDelayMs > queued.startBy) return refuse(createLateFailure(now, reservation));
      const refusals: Refusal[] = [];
      if (queue.size() >= options.queueLimit) {
        const displaced = displace ? queue.findDisplaceable(work.tier) : undefined;
        if (!displaced) return refuse(createOverloadFailure(now, reservation));
        queue.remove(displaced.request);
        refusals.push({ reservation: displaced, failure: createOverloadFailure(now, displaced) });
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
      if (!work || leaving || !hasCapacity(now, work)) return undefined;
      queue.take(work);
      const claim: PendingClaim = {
        claim: nextClaim,
        reservation: work,
        expiresAt: now + CLAIM_VALID_MS,
        work,
        prefillBusyMs: progress.estimatePrefillBusyMs(work.work),
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
          refusals.push({ reservation, failure: createOverloadFailure(now, reservation) });
        }
      }
      for (let late = queue.findExpired(now); late; late = queue.findExpired(now)) {
        queue.remove(late.request);
        unstartable.push(late);
      }
      for (const late of unstartable) {
        refusals.push({ reservation: late, failure: createLateFailure(now, late) });
      }
      unstartable = [];
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
    findNextExpiry() {
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
        startDelayMs: estimatePrefillAheadMs(now) + (backlogMs[0] ?? 0),
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

function computeRetryAfterMs(waitMs: number): number {
  return Math.round(Math.min(Math.max(waitMs, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS));
}
