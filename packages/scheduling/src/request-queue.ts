/**
 * Queue of one instance's requests that wait for a slot at a backend server: strict priority by
 * rank, fair sharing between accounts within a rank, and a latest start time for each request. A
 * request that would miss it because of the work ahead is refused on arrival, while a refusal is
 * still cheap.
 */
import type { WorkDescription } from '@masticbend/protocol/call-message';
import { createQueue, type Queue } from './queue.js';
import type { QueuedWork } from './queued-work.js';
import { RANK_COUNT } from './rank.js';

/** Maximum number of requests waiting for one service. */
const MAX_QUEUE_LENGTH = 2_000;

/** A waiting request. */
export interface WaitingRequest {
  id: string;
  service: string;
  account: string;
  rank: number;
  arrivedAt: number;
  /** Latest useful start time. */
  startBy: number;
  /** Time for which it will hold a slot, in milliseconds. */
  costMs: number;
  /** Tokens charged to its account in the fair share. */
  tokens: number;
}

/** Queues of all services. Times are monotonic, in milliseconds. */
export interface RequestQueue {
  /** Adds a request; returns the expected wait if it is refused: too long, or the queue is full. */
  add: (now: number, request: WaitingRequest, slots: number) => number | undefined;
  /** Returns the id of the next request to be sent. */
  getFirst: (service: string) => string | undefined;
  /** Removes a request that is sent now and charges its account. */
  take: (service: string, id: string) => void;
  remove: (service: string, id: string) => boolean;
  /** Removes requests whose latest start time has passed, and returns their ids. */
  expire: (now: number) => string[];
  /** Estimates how long a new request of a rank would wait, in milliseconds. */
  estimateWaitMs: (service: string, rank: number, slots: number) => number;
  count: (service: string) => number;
  /** Services for which requests are waiting. */
  listServices: () => string[];
}

/** Returns an empty queue. */
export function createRequestQueue(): RequestQueue {
  const queues = new Map<string, Queue>();
  let order = 0;

  function findQueue(service: string): Queue {
    let queue = queues.get(service);
    if (!queue) {
      queue = createQueue<QueuedWork>(RANK_COUNT);
      queues.set(service, queue);
    }
    return queue;
  }

  function findWork(service: string, id: string): QueuedWork | undefined {
    const first = queues.get(service)?.getFirst();
    return first?.request === id ? first : undefined;
  }

  function estimateWaitMs(service: string, rank: number, slots: number): number {
    const queue = queues.get(service);
    if (!queue) return 0;
    return queue.sumCostMsUpTo(rank) / Math.max(1, slots);
  }

  return {
    add(now, request, slots) {
      const { service, rank, startBy } = request;
      const queue = findQueue(service);
      const waitMs = estimateWaitMs(service, rank, slots);
      if (now + waitMs > startBy || queue.size() >= MAX_QUEUE_LENGTH) return waitMs;
      order += 1;
      queue.add(createQueuedWork(request, order));
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

/** Converts a waiting request for `Queue`, where the rank takes the place of the tier. */
export function createQueuedWork(request: WaitingRequest, order: number): QueuedWork {
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
