/**
 * Permits of one backend server: one for each slot, and one more so that the next request is
 * already in transit when a slot becomes free. Requests of all entries wait in a single queue:
 * strict priority by rank, fair sharing between accounts within a rank. A state machine without
 * clocks or sockets.
 */
import type { PermitRequestMessage } from '@masticbend/protocol/gateway-message';
import { updateMovingAverage } from './moving-average.js';
import { createQueue } from './queue.js';
import type { QueuedWork } from './queued-work.js';
import { RANK_COUNT } from './rank.js';
import { EXTRA_PERMITS, type AgentLoad } from './server-pool.js';
import { createQueuedWork } from './request-queue.js';

/** Smoothing factors of the mean hold times and of the wait scales. */
const HOLD_SMOOTHING = 0.1;
const WAIT_SMOOTHING = 0.1;
/** Maximum ratio of an actual wait to the wait that was expected from the work ahead. */
const MAX_WAIT_SCALE = 20;

/** An entry's request for a permit. */
export type PermitRequest = Omit<PermitRequestMessage, 'kind'>;

/** A permit or a refusal to be sent to the entry that requested it. */
export interface PermitAnswer {
  /** Instance name of the entry. */
  owner: string;
  request: string;
  /** Expected wait in milliseconds; present on refusals only. */
  refusedWaitMs?: number;
}

/** Permits of one backend server. Times are monotonic, in milliseconds. */
export interface PermitQueue {
  setSlots: (slots: number) => void;
  /** Counts an owner's requests that are running already, without a permit of this queue. */
  addRunning: (now: number, owner: string, requests: readonly string[]) => void;
  /** Grants a permit, refuses it, or queues the request; a queued request has no answer yet. */
  request: (now: number, owner: string, permitRequest: PermitRequest) => PermitAnswer[];
  /** Ends a permit or withdraws its request; returns the permits that this frees for others. */
  release: (now: number, owner: string, request: string) => PermitAnswer[];
  /**
   * Drops all permits and requests of a disconnected owner; returns the permits freed for others.
   */
  dropOwner: (now: number, owner: string) => PermitAnswer[];
  /** Refuses the requests that have waited too long. */
  expire: (now: number) => PermitAnswer[];
  /** Refuses all waiting requests. */
  clear: () => PermitAnswer[];
  report: () => AgentLoad & { waiting: number };
  countWaiting: () => number;
}

interface HeldPermit {
  owner: string;
  grantedAt: number;
  /** Time for which it was expected to be held, in milliseconds; unknown after `addRunning`. */
  expectedMs?: number;
}

/** A queued request; its cost is divided among all agents that received it. */
interface QueuedPermitRequest extends QueuedWork {
  /** Time for which it will hold a slot here, in milliseconds. */
  holdMs: number;
  /** Wait expected on arrival from the work ahead, in milliseconds. */
  expectedWaitMs: number;
}

/** Returns an empty queue; it grants no permit before the number of slots is set. */
export function createPermitQueue(): PermitQueue {
  const queue = createQueue<QueuedPermitRequest>(RANK_COUNT);
  const held = new Map<string, HeldPermit>();
  let slots = 0;
  let meanHoldMs: number | undefined;
  let meanExpectedHoldMs: number | undefined;
  const waitScales = Array.from({ length: RANK_COUNT }, () => 1);
  let maxRank = 0;
  let order = 0;

  function grant(now: number, work: QueuedPermitRequest): PermitAnswer {
    held.set(work.request, { owner: work.owner, grantedAt: now, expectedMs: work.holdMs });
    return { owner: work.owner, request: getRequestId(work) };
  }

  function grantNext(now: number): PermitAnswer[] {
    const answers: PermitAnswer[] = [];
    for (let first = queue.getFirst(); first && hasCapacity(); first = queue.getFirst()) {
      queue.take(first);
      recordWait(now, first);
      answers.push(grant(now, first));
    }
    return answers;
  }

  function hasCapacity(): boolean {
    return slots > 0 && held.size < slots + EXTRA_PERMITS;
  }

  /** The queued work spread over all slots, and the time until the first slot becomes free. */
  function estimateAheadMs(backlogMs: number, holdMs: number): number {
    const slotCount = Math.max(1, slots);
    return (backlogMs * getHoldScale() + (meanHoldMs ?? holdMs)) / slotCount;
  }

  /**
   * Later arrivals of a higher rank are served first as well. The work ahead does not include them,
   * so the estimate is scaled by how much longer earlier requests of the rank have waited.
   */
  function estimateWaitMs(rank: number, holdMs: number): number {
    return estimateAheadMs(queue.sumCostMsUpTo(rank), holdMs) * waitScales[rank]!;
  }

  function recordWait(now: number, { work, arrivedAt, expectedWaitMs }: QueuedPermitRequest): void {
    const ratio = (now - arrivedAt) / Math.max(1, expectedWaitMs);
    const cappedRatio = Math.min(MAX_WAIT_SCALE, ratio);
    waitScales[work.tier] = updateMovingAverage(waitScales[work.tier], cappedRatio, WAIT_SMOOTHING);
  }

  /**
   * Entries estimate hold times for an average server; returns how many times slower this one is.
   */
  function getHoldScale(): number {
    return meanHoldMs && meanExpectedHoldMs ? meanHoldMs / meanExpectedHoldMs : 1;
  }

  function listWaitsMs(): number[] {
    let backlogMs = 0;
    const costsMs = queue.sumCostMsByTier().slice(0, maxRank + 1);
    return costsMs.map((costMs, rank) => {
      backlogMs += costMs;
      return Math.round(estimateAheadMs(backlogMs, 0) * waitScales[rank]!);
    });
  }

  function release(now: number, owner: string, request: string): void {
    const key = formatKey(owner, request);
    const waiting = queue.remove(key);
    if (waiting) recordWait(now, waiting);
    const permit = held.get(key);
    if (!permit) return;
    held.delete(key);
    if (permit.expectedMs === undefined) return;
    meanHoldMs = updateMovingAverage(meanHoldMs, now - permit.grantedAt, HOLD_SMOOTHING);
    meanExpectedHoldMs = updateMovingAverage(meanExpectedHoldMs, permit.expectedMs, HOLD_SMOOTHING);
  }

  return {
    setSlots(next) {
      slots = next;
    },
    addRunning(now, owner, requests) {
      for (const request of requests) {
        held.set(formatKey(owner, request), { owner, grantedAt: now });
      }
    },
    request(now, owner, permitRequest) {
      order += 1;
      maxRank = Math.max(maxRank, permitRequest.rank);
      const isFree = hasCapacity() && queue.size() === 0;
      const aheadMs = isFree
        ? 0
        : estimateAheadMs(queue.sumCostMsUpTo(permitRequest.rank), permitRequest.holdMs);
      const work = createWork(owner, permitRequest, now, order, aheadMs);
      if (isFree) return [grant(now, work)];
      const waitMs = aheadMs * waitScales[permitRequest.rank]!;
      if (waitMs > permitRequest.waitMs) {
        return [{ owner, request: permitRequest.request, refusedWaitMs: waitMs }];
      }
      queue.add(work);
      return [];
    },
    release(now, owner, request) {
      release(now, owner, request);
      return grantNext(now);
    },
    dropOwner(now, owner) {
      queue.removeOwner(owner);
      for (const [key, permit] of held) if (permit.owner === owner) held.delete(key);
      return grantNext(now);
    },
    expire(now) {
      const answers: PermitAnswer[] = [];
      for (let late = queue.findExpired(now); late; late = queue.findExpired(now)) {
        queue.remove(late.request);
        recordWait(now, late);
        answers.push({
          owner: late.owner,
          request: getRequestId(late),
          refusedWaitMs: estimateWaitMs(late.work.tier, late.costMs),
        });
      }
      return answers;
    },
    clear: () =>
      queue
        .clear()
        .map((work) => ({ owner: work.owner, request: getRequestId(work), refusedWaitMs: 0 })),
    report() {
      const isFree = held.size < slots && queue.size() === 0;
      const waitsMs = isFree ? [0] : listWaitsMs();
      return { held: held.size, waiting: queue.size(), waitsMs };
    },
    countWaiting: queue.size,
  };
}

function createWork(
  owner: string,
  permitRequest: PermitRequest,
  now: number,
  order: number,
  expectedWaitMs: number,
): QueuedPermitRequest {
  const { request, account, rank, tokens, holdMs, waitMs, agents } = permitRequest;
  const waiting = {
    id: formatKey(owner, request),
    service: '',
    account,
    rank,
    arrivedAt: now,
    startBy: now + waitMs,
    costMs: holdMs / agents,
    tokens,
  };
  return { ...createQueuedWork(waiting, order), owner, holdMs, expectedWaitMs };
}

/** Makes a request id unique, since two entries may use the same one. */
function formatKey(owner: string, request: string): string {
  return `${owner} ${request}`;
}

function getRequestId(work: QueuedWork): string {
  return work.request.slice(work.owner.length + 1);
}
