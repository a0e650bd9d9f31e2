/**
 * Order within one tier: start-time fair queueing between client accounts by token cost and
 * weight, and earliest deadline first within an account. An account that was idle starts at the
 * current virtual time, and earns no credit while it has no requests. With `creditRequests` it
 * starts behind by what it got less than the others, up to so many requests.
 */
import { createHeap, type Heap } from './heap.js';
import { updateMovingAverage } from './moving-average.js';
import type { QueuedWork } from './queued-work.js';

/** Maximum number of idle accounts whose last tag is kept. */
const MAX_IDLE_ACCOUNTS = 1_024;
/** Smoothing factor of the mean token cost. */
const COST_SMOOTHING = 0.1;

/** Waiting work of one tier. */
export interface FairShare<Work extends QueuedWork = QueuedWork> {
  size: () => number;
  /** Backend server time that the waiting work needs, in milliseconds. */
  getCostMs: () => number;
  add: (work: Work) => void;
  remove: (work: Work) => void;
  /** Returns the work to be served next. */
  getFirst: () => Work | undefined;
  /** Returns the work with the latest deadline. */
  getLast: () => Work | undefined;
  /** Removes work that is sent to the backend server and charges its account. */
  take: (work: Work) => void;
  /** Refunds the charge for work that did not run to its account. */
  refund: (work: Work) => void;
  /** Estimates the time for the work served before an account's new request, in milliseconds. */
  estimateAheadMs: (account: string, deadlineAt: number) => number;
  /** Counts the work served before an account's new request, at equal costs of all work. */
  countAhead: (account: string) => number;
}

interface Account<Work extends QueuedWork> {
  name: string;
  /** Virtual start time of the account's next work. */
  tag: number;
  costMs: number;
  waiting: Heap<Work>;
}

/**
 * Returns an empty tier. An idle account may fall behind the others by `creditRequests` mean
 * requests.
 */
export function createFairShare<Work extends QueuedWork>(creditRequests = 0): FairShare<Work> {
  const accounts = new Map<string, Account<Work>>();
  const idleTags = new Map<string, number>();
  const active = createHeap<Account<Work>>((left, right) => left.tag - right.tag);
  const byLatestDeadline = createHeap<Work>((left, right) => right.deadlineAt - left.deadlineAt);
  let virtualTime = 0;
  let costMs = 0;
  let meanTokenCost = 0;

  function findTag(name: string): number {
    return Math.max(virtualTime - creditRequests * meanTokenCost, idleTags.get(name) ?? 0);
  }

  function addAccount(name: string): Account<Work> {
    const tag = findTag(name);
    idleTags.delete(name);
    const account = { name, tag, costMs: 0, waiting: createHeap<Work>(compareDeadlines) };
    accounts.set(name, account);
    active.add(account);
    return account;
  }

  function removeAccount(account: Account<Work>): void {
    active.remove(account);
    accounts.delete(account.name);
    if (account.tag <= virtualTime - creditRequests * meanTokenCost) return;
    idleTags.set(account.name, account.tag);
    if (idleTags.size > MAX_IDLE_ACCOUNTS) idleTags.delete(idleTags.keys().next().value!);
  }

  function remove(work: Work): Account<Work> | undefined {
    const account = accounts.get(work.work.account);
    if (!account?.waiting.remove(work)) return undefined;
    byLatestDeadline.remove(work);
    account.costMs -= work.costMs;
    costMs -= work.costMs;
    return account;
  }

  return {
    size: byLatestDeadline.size,
    getCostMs: () => Math.max(0, costMs),
    add(work) {
      const account = accounts.get(work.work.account) ?? addAccount(work.work.account);
      account.waiting.add(work);
      byLatestDeadline.add(work);
      account.costMs += work.costMs;
      costMs += work.costMs;
    },
    remove(work) {
      const account = remove(work);
      if (account?.waiting.size() === 0) removeAccount(account);
    },
    getFirst: () => active.getFirst()?.waiting.getFirst(),
    getLast: byLatestDeadline.getFirst,
    take(work) {
      const account = remove(work);
      if (!account) return;
      virtualTime = Math.max(virtualTime, account.tag);
      meanTokenCost = updateMovingAverage(
        meanTokenCost || undefined,
        work.tokenCost / work.work.weight,
        COST_SMOOTHING,
      );
      account.tag += work.tokenCost / work.work.weight;
      if (account.waiting.size() === 0) removeAccount(account);
      else active.update(account);
    },
    refund(work) {
      const { account: name, weight } = work.work;
      const account = accounts.get(name);
      const charge = work.tokenCost / weight;
      if (account) {
        account.tag -= charge;
        active.update(account);
      } else if (idleTags.has(name)) idleTags.set(name, idleTags.get(name)! - charge);
    },
    estimateAheadMs(name, deadlineAt) {
      const account = accounts.get(name);
      const own = account && hasEarlierDeadline(account, deadlineAt) ? account.costMs : 0;
      return Math.max(0, Math.min(costMs, own * active.size()));
    },
    countAhead(name) {
      const own = accounts.get(name);
      const ownTag = (own?.tag ?? findTag(name)) + (own?.waiting.size() ?? 0) * meanTokenCost;
      let ahead = 0;
      for (const { tag, waiting } of accounts.values()) {
        const turns = Math.ceil((ownTag - tag) / Math.max(1, meanTokenCost));
        ahead += Math.min(waiting.size(), Math.max(0, turns));
      }
      return ahead;
    },
  };
}

function compareDeadlines(left: QueuedWork, right: QueuedWork): number {
  return left.deadlineAt - right.deadlineAt || left.order - right.order;
}

function hasEarlierDeadline<Work extends QueuedWork>(
  account: Account<Work>,
  deadlineAt: number,
): boolean {
  const first = account.waiting.getFirst();
  return first !== undefined && first.deadlineAt <= deadlineAt;
}
