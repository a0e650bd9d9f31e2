/**
 * Requests of one instance that wait for a place at a backend server: strict ranks, fair shares
 * between accounts inside a rank, and the moment after which each can no longer be in time. A
 * request that would miss it by the work ahead is refused on arrival, when that is still cheap.
 */
import type { WorkDescription } from '@masticbend/protocol/message';
import { createQueue, type Queue } from './queue.js';
import type { QueuedWork } from './queued-work.js';
import { RANKS } from './rank.js';

/** Most requests waiting for one service. */
const LENGTH_LIMIT = 2_000;

/** A request that waits. */
export interface WaitingRequest {
  id: string;
  service: string;
  account: string;
  rank: number;
  arrivedAt: number;
  /** Moment after which a start is too late. */
  startBy: number;
  /** Time it will hold a place, in milliseconds. */
  costMs: number;
  /** Tokens it is charged with in the fair share. */
  tokens: number;
}

/** Line of all services. Times are monotonic, in milliseconds. */
export interface WaitingLine {
  /** Adds a request; returns the expected wait when it could not be served in time. */
  add: (now: number, request: WaitingRequest, places: number) => number | undefined;
  getFirst: (service: string) => string | undefined;
  /** Takes a request to be sent. */
  take: (service: string, id: string) => void;
  remove: (service: string, id: string) => boolean;
  /** Removes and returns requests whose moment has passed. */
  expire: (now: number) => string[];
  /** Estimates the time a newcomer of a rank would wait, in milliseconds. */
  estimateWaitMs: (service: string, rank: number, places: number) => number;
  count: (service: string) => number;
  listServices: () => string[];
}

/** Returns an empty line. */
export function createWaitingLine(): WaitingLine {
  const queues = new Map<string, Queue>();
  let order = 0;

  function findQueue(service: string): Queue {
    let queue = queues.get(service);
    if (!queue) {
      queue = createQueue<QueuedWork>(RANKS);
      queues.set(service, queue);
    }
    return queue;
  }

  function findWork(service: string, id: string): QueuedWork | undefined {
    const first = queues.get(service)?.getFirst();
    return first?.request === id ? first : undefined;
  }

  function estimateWaitMs(service: string, rank: number, places: number): number {
    const queue = queues.get(service);
    if (!queue) return 0;
    return queue.sumCostMsUpTo(rank) / Math.max(1, places);
  }

  return {
    add(now, request, places) {
      const { service, rank, startBy } = request;
      const queue = findQueue(service);
      const waitMs = estimateWaitMs(service, rank, places);
      if (now + waitMs > startBy || queue.size() >= LENGTH_LIMIT) return waitMs;
      order += 1;
      queue.add(createWaitingWork(request, order));
      return undefined;
    },
    getFirst: (service) => queues.get(service)?.getFirst()?.request,
    take(service, id) {
      const work = findWork(service, id);
      if (work) queues.get(service)!.take(work);
      else queues.get(service)?.remove(id);
    },
    remove: (service, id) => queues.get(service)?.remove(id) !== undefined,
    expire(now) {
      const expired: string[] = [];
      for (const queue of queues.values()) {
        for (let late = queue.findExpired(now); late; late = queue.findExpired(now)) {
          queue.remove(late.request);
          expired.push(late.request);
        }
      }
      return expired;
    },
    estimateWaitMs,
    count: (service) => queues.get(service)?.size() ?? 0,
    listServices: () => [...queues].filter(([, queue]) => queue.size() > 0).map(([name]) => name),
  };
}

/** Describes a waiting request to the queue, whose tiers are ranks here. */
export function createWaitingWork(request: WaitingRequest, order: number): QueuedWork {
  const { id, service, account, arrivedAt, startBy, costMs, tokens } = request;
  const work: WorkDescription = {
    account,
    tier: request.rank,
    target: service,
    work: service,
    promptTokens: tokens,
    prefix: [],
    outputTokens: 0,
    outputTokensHigh: 0,
    deadlineMs: startBy - arrivedAt,
    weight: 1,
    idempotent: true,
  };
  return {
    request: id,
    owner: '',
    work,
    arrivedAt,
    deadlineAt: startBy,
    order,
    tokenCost: Math.max(1, tokens),
    costMs,
    startBy,
  };
}
