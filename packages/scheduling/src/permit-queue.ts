/**
 * Permits of one backend server: one for each slot, and one more so that the next request is
 * already in transit when a slot becomes free. Requests of all entries wait in a single queue:
 * strict priority by rank, fair sharing between accounts within a rank. A state machine without
 * clocks or sockets.
 */
import type { PermitReleaseMessage } from '@masticbend/protocol/gateway-message';
import { updateMovingAverage } from './moving-average.js';
import {
  createPermitWork,
  formatKey,
  getRequestId,
  type PermitRequest,
  type QueuedPermitRequest,
} from './permit-work.js';
import {
  INITIAL_PREFILL_MS_PER_THOUSAND,
  MAX_PENDING_PREFILL_MS,
  type PrefillTimes,
} from './prefill-times.js';
import { createQueue } from './queue.js';
import { createQueueWaits } from './queue-waits.js';
import { RANK_COUNT } from './rank.js';
import { createRankAdmission, type AheadWait, type ClosedRank } from './rank-admission.js';
import type { Pace } from './server-pace.js';
import { EXTRA_PERMITS, type AgentLoad } from './server-candidate.js';

/** Smoothing factor of the time in which prompts are read. */
const PREFILL_SMOOTHING = 0.1;

/**
 * Mean requests by which an idle account may fall behind the others, where requests are refused
 * early. Small accounts rarely wait at a given agent, while a large one waits at all of them. Over
 * this many requests each agent serves a sample of all, and the shares hold over the service.
 */
const CREDIT_REQUESTS = 4;

/** How a permit's request ended, as far as the server's pace goes by it. */
export type PermitOutcome = PermitReleaseMessage['outcome'];

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
  /** The prompt of a request has been read; returns the permits that this frees for others. */
  recordFirstOutput: (now: number, owner: string, request: string) => PermitAnswer[];
  /**
   * Ends a permit or withdraws its request; returns the permits that this frees for others. A
   * withdrawn request got a slot at another server if `isPlaced`, as by default.
   */
  release: (
    now: number,
    owner: string,
    request: string,
    outcome?: PermitOutcome,
    isPlaced?: boolean,
  ) => PermitAnswer[];
  /**
   * Drops all permits and requests of a disconnected owner; returns the permits freed for others.
   */
  dropOwner: (now: number, owner: string) => PermitAnswer[];
  /** Refuses the requests that have waited too long; with a pace, grants trials that are due. */
  expire: (now: number) => PermitAnswer[];
  /** Refuses all waiting requests. */
  clear: () => PermitAnswer[];
  report: (now?: number) => AgentLoad & { waiting: number };
  /** Returns the highest rank whose requests are refused since it gets no slots. */
  findClosedRank: () => ClosedRank | undefined;
  countClosedRanks: () => number;
  /** Returns how many of the slots the server's pace withholds; all until a trial is due. */
  countWithheld: (now: number) => number;
  countWaiting: () => number;
  /** Returns whether requests of an owner are waiting. */
  hasWaiting: (owner: string) => boolean;
}

/** Parts that are off by default. */
export interface PermitQueueOptions {
  /** Limits the permits that are granted. */
  pace?: Pace;
  /** Prompts start as these allow. */
  prefillTimes?: PrefillTimes;
  /** Requests of ranks that get no slots are refused on arrival. */
  refusesEarly?: boolean;
}

interface HeldPermit {
  owner: string;
  grantedAt: number;
  /** Tokens of its prompt and of its longest answer; unknown after `addRunning`. */
  tokens: number;
  /** Permits in use at the grant, this one included. */
  running: number;
  hasOutput: boolean;
  /** Prompt tokens that are still to be read, 0 after the first output. */
  promptTokens: number;
  /** Prompt tokens of all permits at the grant, this one included. */
  pendingTokensAtGrant: number;
  /** Time for which it was expected to be held, in milliseconds; unknown after `addRunning`. */
  expectedMs?: number;
}

/**
 * Returns an empty queue; it grants no permit before the number of slots is set. With a pace it
 * grants no more than that allows; with prefill times, prompts start as these allow.
 */
export function createPermitQueue(options: PermitQueueOptions = {}): PermitQueue {
  const { pace, prefillTimes } = options;
  const queue = createQueue<QueuedPermitRequest>(
    RANK_COUNT,
    options.refusesEarly ? CREDIT_REQUESTS : 0,
  );
  const held = new Map<string, HeldPermit>();
  let slots = 0;
  let pendingTokens = 0;
  let heldTokens = 0;
  let prefillMsPerThousand: number | undefined;
  const waits = createQueueWaits(() => Math.min(slots, pace?.getLimit() ?? slots));
  const admission = options.refusesEarly ? createRankAdmission(queue.countByTier) : undefined;
  let maxRank = 0;
  let order = 0;
  /** Time of the last call. */
  let calledAt = 0;

  function grant(now: number, work: QueuedPermitRequest): PermitAnswer {
    const { owner, promptTokens, holdMs } = work;
    pendingTokens += promptTokens;
    heldTokens += work.totalTokens;
    held.set(work.request, {
      owner,
      grantedAt: now,
      tokens: work.totalTokens,
      running: held.size + 1,
      hasOutput: false,
      promptTokens,
      pendingTokensAtGrant: pendingTokens,
      expectedMs: holdMs,
    });
    pace?.recordSent(now);
    prefillTimes?.recordGrant(now, work.request, promptTokens, work.pauseMs);
    return { owner: work.owner, request: getRequestId(work) };
  }

  function grantNext(now: number): PermitAnswer[] {
    calledAt = now;
    const answers: PermitAnswer[] = [];
    let first = queue.getFirst();
    for (; first && hasRoom(now, first); first = queue.getFirst()) {
      queue.take(first);
      recordWait(now, first);
      admission?.recordGranted(first.work.tier);
      answers.push(grant(now, first));
    }
    if (admission && !first && hasCapacity(now, true, 0)) admission.recordFree();
    return answers;
  }

  function hasCapacity(now: number, isRepeatable: boolean, promptTokens: number): boolean {
    if (slots === 0 || held.size >= slots + EXTRA_PERMITS) return false;
    if (pace && !pace.isOpen(now, held.size, isRepeatable)) return false;
    if (prefillTimes) return prefillTimes.canStart(now, promptTokens);
    const msPerThousand = prefillMsPerThousand ?? INITIAL_PREFILL_MS_PER_THOUSAND;
    return (pendingTokens / 1_000) * msPerThousand < MAX_PENDING_PREFILL_MS;
  }

  /** A server that holds nothing takes any request that its entry sends there. */
  function hasRoom(now: number, work: QueuedPermitRequest): boolean {
    const { totalTokens, memoryTokens, isRepeatable } = work;
    if (!hasCapacity(now, isRepeatable, work.promptTokens)) return false;
    return held.size === 0 || heldTokens + totalTokens <= memoryTokens;
  }

  /** The prompt of a permit's request needs no more reading. */
  function finishPrefill(permit: HeldPermit): void {
    pendingTokens = Math.max(0, pendingTokens - permit.promptTokens);
    permit.promptTokens = 0;
  }

  function estimateAhead(rank: number, backlogMs: number, holdMs: number): AheadWait {
    return { aheadMs: waits.estimateAheadMs(backlogMs, holdMs), scale: waits.getScale(rank) };
  }

  /** Returns the wait that a new request of a rank must accept. */
  function estimateWaitMs(rank: number, account: string, ahead: AheadWait): number {
    if (!admission) return ahead.aheadMs * ahead.scale;
    return admission.estimateWaitMs(rank, ahead, queue.countAhead(rank, account));
  }

  function recordWait(now: number, work: QueuedPermitRequest, isCensored = false): void {
    waits.recordWait({
      rank: work.work.tier,
      waitedMs: now - work.arrivedAt,
      expectedMs: work.expectedWaitMs,
      isCensored: isCensored && admission !== undefined,
    });
  }

  function listWaitsMs(): number[] {
    let backlogMs = 0;
    const costsMs = queue.sumCostMsByTier().slice(0, maxRank + 1);
    const expected = costsMs.map((costMs, rank) => {
      backlogMs += costMs;
      return estimateAhead(rank, backlogMs, 0);
    });
    const waitsMs =
      admission?.listWaitsMs(expected) ?? expected.map(({ aheadMs, scale }) => aheadMs * scale);
    return waitsMs.map(Math.round);
  }

  /** Removes a waiting request that its entry no longer needs a permit for. */
  function removeWaiting(now: number, key: string, isPlaced: boolean): void {
    const waiting = queue.remove(key);
    if (!waiting) return;
    recordWait(now, waiting, !isPlaced);
    if (isPlaced) admission?.recordPlacedElsewhere(waiting.work.tier);
  }

  function recordOutcome(now: number, permit: HeldPermit, outcome: PermitOutcome): void {
    const { grantedAt: sentAt, running, hasOutput } = permit;
    if (outcome === 'failed') pace?.recordFailure(now, sentAt);
    else if (outcome === 'refused') pace?.recordRefusal(now, sentAt);
    else if (outcome === 'answered' && !hasOutput) pace?.recordAnswer(now, { sentAt, running });
  }

  function release(now: number, key: string, outcome: PermitOutcome): void {
    const permit = held.get(key);
    if (!permit) return;
    held.delete(key);
    prefillTimes?.recordEnd(now, key);
    heldTokens -= permit.tokens;
    finishPrefill(permit);
    recordOutcome(now, permit, outcome);
    if (permit.expectedMs === undefined) return;
    waits.recordHold(now - permit.grantedAt, permit.expectedMs);
  }

  function countWithheld(now: number): number {
    if (!pace || slots === 0) return 0;
    const limit = pace.findTrialWaitMs(now) > 0 ? 0 : pace.getLimit();
    return Math.max(0, slots - limit);
  }

  return {
    setSlots(next) {
      slots = next;
      pace?.setSlots(next);
      prefillTimes?.setSlots(calledAt, next);
    },
    addRunning(now, owner, requests) {
      for (const request of requests) {
        prefillTimes?.recordGrant(now, formatKey(owner, request), 0);
        held.set(formatKey(owner, request), {
          owner,
          grantedAt: now,
          running: held.size + 1,
          hasOutput: false,
          tokens: 0,
          promptTokens: 0,
          pendingTokensAtGrant: 0,
        });
      }
    },
    request(now, owner, permitRequest) {
      order += 1;
      maxRank = Math.max(maxRank, permitRequest.rank);
      calledAt = now;
      admission?.advance(now);
      const isRepeatable = permitRequest.repeatable ?? true;
      // A trial goes to a request that may be repeated before others that wait.
      const isTrial = isRepeatable && pace !== undefined && pace.isTrying();
      const hasSlot = hasCapacity(now, isRepeatable, permitRequest.promptTokens);
      const isFree = hasSlot && (queue.size() === 0 || isTrial);
      const { rank, holdMs } = permitRequest;
      const ahead = estimateAhead(rank, queue.sumCostMsUpTo(rank), holdMs);
      const work = createPermitWork(owner, permitRequest, now, order, isFree ? 0 : ahead.aheadMs);
      if (isFree && hasRoom(now, work)) {
        if (queue.size() === 0) admission?.recordFree();
        return [grant(now, work)];
      }
      admission?.recordAsked(rank, permitRequest.waitMs);
      const waitMs = isFree ? 0 : estimateWaitMs(rank, permitRequest.account, ahead);
      if (waitMs > permitRequest.waitMs) {
        admission?.recordLost(rank, permitRequest.waitMs);
        return [{ owner, request: permitRequest.request, refusedWaitMs: waitMs }];
      }
      queue.add(work);
      return [];
    },
    recordFirstOutput(now, owner, request) {
      admission?.advance(now);
      const permit = held.get(formatKey(owner, request));
      if (!permit) return [];
      prefillTimes?.recordFirstOutput(now, formatKey(owner, request));
      if (pace && !permit.hasOutput) recordPacedOutput(now, permit, pace);
      if (permit.promptTokens === 0) return pace ? grantNext(now) : [];
      prefillMsPerThousand = updateMovingAverage(
        prefillMsPerThousand,
        (now - permit.grantedAt) / (permit.pendingTokensAtGrant / 1_000 + 1),
        PREFILL_SMOOTHING,
      );
      finishPrefill(permit);
      return grantNext(now);
    },
    release(now, owner, request, outcome, isPlaced = true) {
      admission?.advance(now);
      const key = formatKey(owner, request);
      removeWaiting(now, key, isPlaced);
      release(now, key, outcome);
      return grantNext(now);
    },
    dropOwner(now, owner) {
      admission?.advance(now);
      queue.removeOwner(owner);
      for (const [key, permit] of held) {
        if (permit.owner === owner) {
          finishPrefill(permit);
          heldTokens -= permit.tokens;
          held.delete(key);
          prefillTimes?.recordEnd(now, key);
        }
      }
      return grantNext(now);
    },
    expire(now) {
      admission?.advance(now);
      const answers = pace ? grantNext(now) : [];
      for (let late = queue.findExpired(now); late; late = queue.findExpired(now)) {
        queue.remove(late.request);
        const rank = late.work.tier;
        recordWait(now, late, true);
        admission?.recordLost(rank, late.work.deadlineMs);
        const ahead = estimateAhead(rank, queue.sumCostMsUpTo(rank), late.costMs);
        answers.push({
          owner: late.owner,
          request: getRequestId(late),
          refusedWaitMs: estimateWaitMs(rank, late.work.account, ahead),
        });
      }
      return answers;
    },
    clear: () =>
      queue
        .clear()
        .map((work) => ({ owner: work.owner, request: getRequestId(work), refusedWaitMs: 0 })),
    report(now = calledAt) {
      const isFree = held.size < slots - countWithheld(now) && queue.size() === 0;
      const trialMs = pace?.findTrialWaitMs(now) ?? 0;
      const waitsMs = isFree ? [0] : listWaitsMs().map((waitMs) => Math.max(trialMs, waitMs));
      const load = { held: held.size, pendingTokens, heldTokens, waiting: queue.size(), waitsMs };
      return prefillTimes ? { ...load, prefillMs: prefillTimes.getPrefillMs() } : load;
    },
    findClosedRank: () => admission?.findClosedRank(),
    countClosedRanks: () => admission?.countClosedRanks() ?? 0,
    countWithheld,
    countWaiting: queue.size,
    hasWaiting: queue.hasOwner,
  };
}

/** The first output shows how the server answers, long before the end of a stream. */
function recordPacedOutput(now: number, permit: HeldPermit, pace: Pace): void {
  const { grantedAt: sentAt, running, promptTokens, pendingTokensAtGrant } = permit;
  permit.hasOutput = true;
  const elapsedMs = now - sentAt;
  const unitMs = promptTokens > 0 ? elapsedMs / (pendingTokensAtGrant / 1_000 + 1) : undefined;
  pace.recordAnswer(now, { sentAt, running, unitMs });
}
