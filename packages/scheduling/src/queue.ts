/**
 * Queue of waiting work: strict priority by tier, fair sharing between accounts within a tier.
 * Tracks the latest start time of each entry, and finds the one to displace for a higher tier.
 */
import { createFairShare } from './fair-share.js';
import { createHeap } from './heap.js';
import type { QueuedWork } from './queued-work.js';

/** Waiting work of one agent or service. */
export interface Queue<Work extends QueuedWork = QueuedWork> {
  size: () => number;
  add: (work: Work) => void;
  /** Removes and returns a request; undefined when it is not queued. */
  remove: (request: string) => Work | undefined;
  /** Returns whether work of an owner is queued. */
  hasOwner: (owner: string) => boolean;
  /** Removes all work of one owner. */
  removeOwner: (owner: string) => void;
  /** Returns the work to be served next. */
  getFirst: () => Work | undefined;
  /** Removes work that is sent to the backend server and charges its account. */
  take: (work: Work) => void;
  /** Refunds the charge for work that did not run to its account. */
  refund: (work: Work) => void;
  /** Returns the work with the latest deadline in the lowest non-empty tier below `tier`. */
  findDisplaceable: (tier: number) => Work | undefined;
  /** Returns the work with the earliest of the latest start times. */
  getMostUrgent: () => Work | undefined;
  /** Returns work whose latest start time has passed. */
  findExpired: (now: number) => Work | undefined;
  /** Number of waiting entries by tier. */
  countByTier: () => number[];
  /** Backend server time that the waiting work needs, by tier, in milliseconds. */
  sumCostMsByTier: () => number[];
  /** Backend server time for the waiting work of a tier and all higher ones, in milliseconds. */
  sumCostMsUpTo: (tier: number) => number;
  /** Estimates the time for the work served before an account's new request, in milliseconds. */
  estimateAheadMs: (tier: number, account: string, deadlineAt: number) => number;
  /** Counts the work of a tier that is served before an account's new request. */
  countAhead: (tier: number, account: string) => number;
  /** Removes and returns all work. */
  clear: () => Work[];
}

/**
 * Returns an empty queue. An idle account may fall behind the others of a tier by `creditRequests`
 * mean requests.
 */
export function createQueue<Work extends QueuedWork>(
  tierCount: number,
  creditRequests = 0,
): Queue<Work> {
  const tiers = Array.from({ length: tierCount }, () => createFairShare<Work>(creditRequests));
  const requests = new Map<string, Work>();
  const owners = new Map<string, Set<Work>>();
  const byLatestStart = createHeap<Work>((left, right) => left.startBy - right.startBy);

  function removeFromIndexes(work: Work): void {
    requests.delete(work.request);
    byLatestStart.remove(work);
    const owned = owners.get(work.owner);
    owned?.delete(work);
    if (owned?.size === 0) owners.delete(work.owner);
  }

  function remove(request: string): Work | undefined {
    const work = requests.get(request);
    if (!work) return undefined;
    removeFromIndexes(work);
    tiers[work.work.tier]!.remove(work);
    return work;
  }

  function sumCostMsUpTo(tier: number): number {
    return tiers.slice(0, tier + 1).reduce((sum, each) => sum + each.getCostMs(), 0);
  }

  return {
    size: () => requests.size,
    add(work) {
      requests.set(work.request, work);
      byLatestStart.add(work);
      tiers[work.work.tier]!.add(work);
      const owned = owners.get(work.owner) ?? new Set<Work>();
      owners.set(work.owner, owned.add(work));
    },
    remove,
    hasOwner: (owner) => owners.has(owner),
    removeOwner(owner) {
      for (const work of owners.get(owner) ?? []) remove(work.request);
    },
    getFirst: () => tiers.find((tier) => tier.size() > 0)?.getFirst(),
    take(work) {
      removeFromIndexes(work);
      tiers[work.work.tier]!.take(work);
    },
    refund: (work) => tiers[work.work.tier]!.refund(work),
    findDisplaceable(tier) {
      for (let lowest = tierCount - 1; lowest > tier; lowest -= 1) {
        const last = tiers[lowest]!.getLast();
        if (last) return last;
      }
      return undefined;
    },
    getMostUrgent: byLatestStart.getFirst,
    findExpired(now) {
      const mostUrgent = byLatestStart.getFirst();
      return mostUrgent && mostUrgent.startBy <= now ? mostUrgent : undefined;
    },
    countByTier: () => tiers.map((tier) => tier.size()),
    sumCostMsByTier: () => tiers.map((tier) => tier.getCostMs()),
    sumCostMsUpTo,
    estimateAheadMs(tier, account, deadlineAt) {
      return sumCostMsUpTo(tier - 1) + tiers[tier]!.estimateAheadMs(account, deadlineAt);
    },
    countAhead: (tier, account) => tiers[tier]!.countAhead(account),
    clear() {
      const all = [...requests.values()];
      for (const { request } of all) remove(request);
      return all;
    },
  };
}
