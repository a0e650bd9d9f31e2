/**
 * Permits of one backend server: as many as it runs together, and one more so that the next request
 * is on its way when a place comes free. Requests of all entries wait in one order: strict tiers,
 * fair shares between accounts inside a tier. A state machine without clocks or sockets.
 */
import type { PermitRequestMessage } from '@masticbend/protocol/gateway-message';
import { createQueue } from './queue.js';
import type { QueuedWork } from './queued-work.js';
import { AHEAD, type AgentLoad } from './server-board.js';
import { createWaitingWork, TIERS } from './waiting-line.js';

/** How far the mean hold time follows the last one. */
const HOLD_STEP = 0.1;

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
}

interface HeldPermit {
  owner: string;
  grantedAt: number;
}

/** Returns an idle queue; it gives no permit before it knows the number of places. */
export function createPermitQueue(): PermitQueue {
  const queue = createQueue(TIERS);
  const held = new Map<string, HeldPermit>();
  let slots = 0;
  let meanHoldMs: number | undefined;
  let order = 0;

  function grant(now: number, work: QueuedWork): PermitAnswer {
    held.set(work.request, { owner: work.owner, grantedAt: now });
    return { owner: work.owner, request: readRequest(work) };
  }

  function grantNext(now: number): PermitAnswer[] {
    const answers: PermitAnswer[] = [];
    for (let first = queue.getFirst(); first && hasRoom(); first = queue.getFirst()) {
      queue.take(first);
      answers.push(grant(now, first));
    }
    return answers;
  }

  function hasRoom(): boolean {
    return slots > 0 && held.size < slots + AHEAD;
  }

  function sumBacklogMs(tier: number): number {
    return queue
      .sumCostMsByTier()
      .slice(0, tier + 1)
      .reduce((sum, costMs) => sum + costMs, 0);
  }

  /** Work ahead over all places, and the rest of what holds the first place to come free. */
  function estimateWaitMs(tier: number, holdMs: number): number {
    const places = Math.max(1, slots);
    return (sumBacklogMs(tier) + (meanHoldMs ?? holdMs)) / places;
  }

  function release(now: number, owner: string, request: string): void {
    const key = formatKey(owner, request);
    queue.remove(key);
    const permit = held.get(key);
    if (!permit) return;
    held.delete(key);
    const heldMs = now - permit.grantedAt;
    meanHoldMs = meanHoldMs === undefined ? heldMs : meanHoldMs + (heldMs - meanHoldMs) * HOLD_STEP;
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
      const work = createWork(owner, wish, now, order);
      if (hasRoom() && queue.size() === 0) return [grant(now, work)];
      const waitMs = estimateWaitMs(work.work.tier, wish.holdMs);
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
      for (let late = queue.getMostUrgent(); late && late.startBy <= now;) {
        queue.remove(late.request);
        answers.push({
          owner: late.owner,
          request: readRequest(late),
          refusedWaitMs: estimateWaitMs(late.work.tier, late.costMs),
        });
        late = queue.getMostUrgent();
      }
      return answers;
    },
    report() {
      const isFree = hasRoom() && queue.size() === 0;
      return {
        held: held.size,
        waiting: queue.size(),
        firstWaitMs: isFree ? 0 : estimateWaitMs(0, 0),
        lastWaitMs: isFree ? 0 : estimateWaitMs(TIERS - 1, 0),
      };
    },
  };
}

function createWork(owner: string, wish: PermitWish, now: number, order: number): QueuedWork {
  const { request, account, tier, tokens, holdMs, waitMs } = wish;
  const waiting = {
    id: formatKey(owner, request),
    service: '',
    account,
    tier,
    arrivedAt: now,
    startBy: now + waitMs,
    costMs: holdMs,
    tokens,
  };
  return { ...createWaitingWork(waiting, order), owner };
}

/** Two entries may use the same request id. */
function formatKey(owner: string, request: string): string {
  return `${owner} ${request}`;
}

function readRequest(work: QueuedWork): string {
  return work.request.slice(work.owner.length + 1);
}
