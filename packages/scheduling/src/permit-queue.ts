/**
 * Permits of one backend server: as many as it runs together, and one more so that the next request
 * is on its way when a place comes free. Requests of all entries wait in one order: strict ranks,
 * fair shares between accounts inside a rank. A state machine without clocks or sockets.
 */
import type { PermitRequestMessage } from '@masticbend/protocol/gateway-message';
import { mergeMean } from './moving-mean.js';
import { createQueue } from './queue.js';
import type { QueuedWork } from './queued-work.js';
import { RANKS } from './rank.js';
import { AHEAD, type AgentLoad } from './server-board.js';
import { createWaitingWork } from './waiting-line.js';

/** How far the mean hold times, and the scale of waits, follow the last ones. */
const HOLD_STEP = 0.1;
const WAIT_STEP = 0.1;
/** Most times that a wait is taken to be longer than the work ahead. */
const LONGEST_SCALE = 20;

/** An entry's wish to send a request. */
export type PermitWish = Omit<PermitRequestMessage, 'kind'>;

/** A permit or a refusal to be sent to its owner. */
export interface PermitAnswer {
  owner: string;
  request: string;
  /** Present on refusals: the wait that was expected, in milliseconds. */
  refusedWaitMs?: number;
}

/** Permits of one backend server. Times are monotonic, in milliseconds. */
export interface PermitQueue {
  setSlots: (slots: number) => void;
  /** Takes in an owner's requests that run already. */
  adopt: (now: number, owner: string, requests: readonly string[]) => void;
  request: (now: number, owner: string, wish: PermitWish) => PermitAnswer[];
  /** Ends a wish or a permit; returns what that lets through. */
  release: (now: number, owner: string, request: string) => PermitAnswer[];
  /** Ends everything of an owner that is gone. */
  dropOwner: (now: number, owner: string) => PermitAnswer[];
  /** Refuses what has waited too long. */
  expire: (now: number) => PermitAnswer[];
  report: () => AgentLoad & { waiting: number };
  countWaiting: () => number;
}

interface HeldPermit {
  owner: string;
  grantedAt: number;
  /** Time it was expected to hold its place, in milliseconds; unknown for adopted ones. */
  expectedMs?: number;
}

/** Work in the queue; its cost is spread over all agents that were asked. */
interface WaitingWish extends QueuedWork {
  /** Time it will hold its place here, in milliseconds. */
  holdMs: number;
  /** Wait expected of it on its arrival, by the work ahead, in milliseconds. */
  expectedWaitMs: number;
}

/** Returns an idle queue; it gives no permit before it knows the number of places. */
export function createPermitQueue(): PermitQueue {
  const queue = createQueue<WaitingWish>(RANKS);
  const held = new Map<string, HeldPermit>();
  let slots = 0;
  let meanHoldMs: number | undefined;
  let meanExpectedMs: number | undefined;
  const waitScales = Array.from({ length: RANKS }, () => 1);
  let lastRank = 0;
  let order = 0;

  function grant(now: number, work: WaitingWish): PermitAnswer {
    held.set(work.request, { owner: work.owner, grantedAt: now, expectedMs: work.holdMs });
    return { owner: work.owner, request: readRequest(work) };
  }

  function grantNext(now: number): PermitAnswer[] {
    const answers: PermitAnswer[] = [];
    for (let first = queue.getFirst(); first && hasRoom(); first = queue.getFirst()) {
      queue.take(first);
      recordWait(now, first);
      answers.push(grant(now, first));
    }
    return answers;
  }

  function hasRoom(): boolean {
    return slots > 0 && held.size < slots + AHEAD;
  }

  /** Work ahead over all places, and the rest of what holds the first place to come free. */
  function estimateAheadMs(backlogMs: number, holdMs: number): number {
    const places = Math.max(1, slots);
    return (backlogMs * getScale() + (meanHoldMs ?? holdMs)) / places;
  }

  /** What comes later with a higher rank goes first too: seen only in the waits that were had. */
  function estimateWaitMs(rank: number, holdMs: number): number {
    return estimateAheadMs(queue.sumCostMsUpTo(rank), holdMs) * waitScales[rank]!;
  }

  function recordWait(now: number, { work, arrivedAt, expectedWaitMs }: WaitingWish): void {
    const ratio = (now - arrivedAt) / Math.max(1, expectedWaitMs);
    const scale = Math.min(LONGEST_SCALE, ratio);
    waitScales[work.tier] = mergeMean(waitScales[work.tier], scale, WAIT_STEP);
  }

  /** Entries expect the times of a middling server; this one is so many times as slow. */
  function getScale(): number {
    return meanHoldMs && meanExpectedMs ? meanHoldMs / meanExpectedMs : 1;
  }

  function listWaits(): number[] {
    let backlogMs = 0;
    const costsMs = queue.sumCostMsByTier().slice(0, lastRank + 1);
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
    meanHoldMs = mergeMean(meanHoldMs, now - permit.grantedAt, HOLD_STEP);
    meanExpectedMs = mergeMean(meanExpectedMs, permit.expectedMs, HOLD_STEP);
  }

  return {
    setSlots(next) {
      slots = next;
    },
    adopt(now, owner, requests) {
      for (const request of requests) {
        held.set(formatKey(owner, request), { owner, grantedAt: now });
      }
    },
    request(now, owner, wish) {
      order += 1;
      lastRank = Math.max(lastRank, wish.rank);
      const isFree = hasRoom() && queue.size() === 0;
      const aheadMs = isFree ? 0 : estimateAheadMs(queue.sumCostMsUpTo(wish.rank), wish.holdMs);
      const work = createWork(owner, wish, now, order, aheadMs);
      if (isFree) return [grant(now, work)];
      const waitMs = aheadMs * waitScales[wish.rank]!;
      if (waitMs > wish.waitMs) {
        return [{ owner, request: wish.request, refusedWaitMs: waitMs }];
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
          request: readRequest(late),
          refusedWaitMs: estimateWaitMs(late.work.tier, late.costMs),
        });
      }
      return answers;
    },
    report() {
      const isFree = held.size < slots && queue.size() === 0;
      const waitsMs = isFree ? [0] : listWaits();
      return { held: held.size, waiting: queue.size(), waitsMs };
    },
    countWaiting: queue.size,
  };
}

function createWork(
  owner: string,
  wish: PermitWish,
  now: number,
  order: number,
  expectedWaitMs: number,
): WaitingWish {
  const { request, account, rank, tokens, holdMs, waitMs, agents } = wish;
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
  return { ...createWaitingWork(waiting, order), owner, holdMs, expectedWaitMs };
}

/** Two entries may use the same request id. */
function formatKey(owner: string, request: string): string {
  return `${owner} ${request}`;
}

function readRequest(work: QueuedWork): string {
  return work.request.slice(work.owner.length + 1);
}
