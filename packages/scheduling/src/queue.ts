/**
 * The waiting reservations of one agent: strict tiers, each a fair share between accounts; the
 * moment after which each can no longer start in time; and who gives way to a higher tier.
 */
import { createFairShare } from './fair-share.js';
import { createHeap } from './heap.js';
import type { QueuedWork } from './queued-work.js';

/** Waiting reservations. */
export interface Queue<Work extends QueuedWork = QueuedWork> {
  size: () => number;
  add: (work: Work) => void;
  /** Removes a request; undefined when it does not wait here. */
  remove: (request: string) => Work | undefined;
  /** Removes everything of one owner. */
  removeOwner: (owner: string) => void;
  /** Returns what goes next. */
  getFirst: () => Work | undefined;
  /** Removes work that goes to the backend server and charges its account. */
  take: (work: Work) => void;
  refund: (work: Work) => void;
  /** Returns the work of the lowest tier below `tier` that can wait longest. */
  findDisplaceable: (tier: number) => Work | undefined;
  /** Returns the work whose last moment to start is nearest. */
  getMostUrgent: () => Work | undefined;
  /** Returns work whose last moment to start has passed. */
  findExpired: (now: number) => Work | undefined;
  /** Waiting reservations and their time at the backend server, by tier. */
  countByTier: () => number[];
  sumCostMsByTier: () => number[];
  /** Time of the waiting work of a tier and all higher ones, in milliseconds. */
  sumCostMsUpTo: (tier: number) => number;
  /** Estimates the waiting work that goes before a newcomer, in milliseconds. */
  estimateAheadMs: (tier: number, account: string, deadlineAt: number) => number;
  /** Removes and returns everything. */
  clear: () => Work[];
}

/** Returns an empty queue. */
export function createQueue<Work extends QueuedWork>(tierCount: number): Queue<Work> {
  const tiers = Array.from({ length: tierCount }, () => createFairShare<Work>());
  const requests = new Map<string, Work>();
  const owners = new Map<string, Set<Work>>();
  const byStart = createHeap<Work>((left, right) => left.startBy - right.startBy);

  function removeFromIndexes(work: Work): void {
    requests.delete(work.request);
    byStart.remove(work);
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
      byStart.add(work);
      tiers[work.work.tier]!.add(work);
      const owned = owners.get(work.owner) ?? new Set<Work>();
      owners.set(work.owner, owned.add(work));
    },
    remove,
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
    getMostUrgent: byStart.getFirst,
    findExpired(now) {
      const urgent = byStart.getFirst();
      return urgent && urgent.startBy <= now ? urgent : undefined;
    },
    countByTier: () => tiers.map((tier) => tier.size()),
    sumCostMsByTier: () => tiers.map((tier) => tier.getCostMs()),
    sumCostMsUpTo,
    estimateAheadMs(tier, account, deadlineAt) {
      return sumCostMsUpTo(tier - 1) + tiers[tier]!.estimateAheadMs(account, deadlineAt);
    },
    clear() {
      const all = [...requests.values()];
      for (const { request } of all) remove(request);
      return all;
    },
  };
}
