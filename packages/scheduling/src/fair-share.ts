/**
 * Order inside one tier: start-time fair queueing between client accounts by token cost and
 * weight, and earliest deadline first inside an account. An account that was idle starts level
 * with the others: it is not paid for the time in which it asked for nothing.
 */
import { createHeap, type Heap } from './heap.js';
import type { QueuedWork } from './queued-work.js';

/** Idle accounts whose last tag is remembered. */
const IDLE_ACCOUNT_LIMIT = 1_024;

/** Waiting work of one tier. */
export interface FairShare<Work extends QueuedWork = QueuedWork> {
  size: () => number;
  /** Time of this backend server that the waiting work needs, in milliseconds. */
  getCostMs: () => number;
  add: (work: Work) => void;
  remove: (work: Work) => void;
  /** Returns what goes next. */
  getFirst: () => Work | undefined;
  /** Returns what can wait longest. */
  getLast: () => Work | undefined;
  /** Removes work that goes to the backend server and charges its account. */
  take: (work: Work) => void;
  /** Returns the charge of work that did not run. */
  refund: (work: Work) => void;
  /** Estimates the time of work that goes before a newcomer of an account, in milliseconds. */
  estimateAheadMs: (account: string, deadlineAt: number) => number;
}

interface Account<Work extends QueuedWork> {
  name: string;
  /** Virtual time at which the account's next work starts. */
  tag: number;
  costMs: number;
  waiting: Heap<Work>;
}

/** Returns an empty tier. */
export function createFairShare<Work extends QueuedWork>(): FairShare<Work> {
  const accounts = new Map<string, Account<Work>>();
  const idleTags = new Map<string, number>();
  const active = createHeap<Account<Work>>((left, right) => left.tag - right.tag);
  const byLatest = createHeap<Work>((left, right) => right.deadlineAt - left.deadlineAt);
  let virtualTime = 0;
  let costMs = 0;

  function addAccount(name: string): Account<Work> {
    const tag = Math.max(virtualTime, idleTags.get(name) ?? 0);
    idleTags.delete(name);
    const account = { name, tag, costMs: 0, waiting: createHeap<Work>(compareDeadlines) };
    accounts.set(name, account);
    active.add(account);
    return account;
  }

  function removeAccount(account: Account<Work>): void {
    active.remove(account);
    accounts.delete(account.name);
    if (account.tag <= virtualTime) return;
    idleTags.set(account.name, account.tag);
    if (idleTags.size > IDLE_ACCOUNT_LIMIT) idleTags.delete(idleTags.keys().next().value!);
  }

  function remove(work: Work): Account<Work> | undefined {
    const account = accounts.get(work.work.account);
    if (!account?.waiting.remove(work)) return undefined;
    byLatest.remove(work);
    account.costMs -= work.costMs;
    costMs -= work.costMs;
    return account;
  }

  return {
    size: byLatest.size,
    getCostMs: () => Math.max(0, costMs),
    add(work) {
      const account = accounts.get(work.work.account) ?? addAccount(work.work.account);
      account.waiting.add(work);
      byLatest.add(work);
      account.costMs += work.costMs;
      costMs += work.costMs;
    },
    remove(work) {
      const account = remove(work);
      if (account?.waiting.size() === 0) removeAccount(account);
    },
    getFirst: () => active.getFirst()?.waiting.getFirst(),
    getLast: byLatest.getFirst,
    take(work) {
      const account = remove(work);
      if (!account) return;
      virtualTime = Math.max(virtualTime, account.tag);
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
      const own = account && isBehind(account, deadlineAt) ? account.costMs : 0;
      return Math.max(0, Math.min(costMs, own * active.size()));
    },
  };
}

function compareDeadlines(left: QueuedWork, right: QueuedWork): number {
  return left.deadlineAt - right.deadlineAt || left.order - right.order;
}

function isBehind<Work extends QueuedWork>(account: Account<Work>, deadlineAt: number): boolean {
  const first = account.waiting.getFirst();
  return first !== undefined && first.deadlineAt <= deadlineAt;
}
