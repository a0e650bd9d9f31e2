/**
 * Servers as candidates for one request: the expected wait and finish on each of them, and the
 * order in which they are preferred.
 */
import {
  countHeld,
  estimateFinishMs,
  estimateFirstMs,
  estimatePrefillMs,
  type PlacedWork,
  type ServerEntry,
} from './server-entry.js';
import type { EstimatePauseCost, PauseCost } from './stream-pauses.js';

/** Expected cost of repeating a failed request; it is weighted by the server's failure rate. */
const FAILURE_PENALTY_MS = 400;
/** Penalty for a server that asked a peer to pause: it is short of capacity. */
const PEER_PAUSE_PENALTY_MS = 400;
/**
 * Penalty for a server in another data centre, as a fraction of the finish time: traffic costs
 * money.
 */
const REMOTE_PENALTY_FRACTION = 0.25;
/** Fraction of the remaining time within which the complete answer must be expected. */
const DEADLINE_FRACTION = 0.9;
/** Requests sent beyond the slots of a server, so that an engine does not idle for a round trip. */
export const EXTRA_PERMITS = 1;
/**
 * Late answers from which a request rather waits for another server than for this one. One is its
 * own, or within the error of the estimates.
 */
const MIN_COSTLY_ANSWERS = 2;
/** Cost where pauses do not count. */
const NO_PAUSES: PauseCost = { lateAnswers: 0, sparesFast: false };

/** Load of a backend server as its agent reports it. */
export interface AgentLoad {
  /** Permits in use. */
  held: number;
  /** Prompt tokens of all instances' requests there that have no output yet. */
  pendingTokens: number;
  /**
   * Tokens of all instances' requests there, prompts and longest answers; an older agent does not
   * report them.
   */
  heldTokens?: number;
  /**
   * Expected wait of a request by rank, in milliseconds; ranks beyond the list wait like the last.
   */
  waitsMs: readonly number[];
  /** Prefill time per thousand prompt tokens, where the agent measures it. */
  prefillMs?: number;
}

/** Returns the load of a server whose agent grants permits; undefined if it has no such agent. */
export type FindLoad = (server: string) => AgentLoad | undefined;

/** A request to be placed on a server. */
export interface PlacementQuery {
  service: string;
  /** Returns whether servers of a software version may be chosen; all may without it. */
  acceptsVersion?: (softwareVersion: string) => boolean;
  /** Prefers servers in the order of their ids, so that few of them run full. */
  isPacked?: boolean;
  work: PlacedWork;
  /** Order of service on servers where the first event can be on time, and where it cannot. */
  rank: number;
  lateRank: number;
  /** Ids of servers that must not be chosen. */
  excluded: ReadonlySet<string>;
  /** Time from arrival within which a first event is on time; Infinity for retrying callers. */
  objectiveMs: number;
  /** Longest time between two events for a stream on time; undefined where pauses do not count. */
  pauseMs?: number;
  /** Remaining part of that time; negative when no first event can be on time. */
  onTimeMs: number;
  /** Remaining time until the deadline of the complete answer. */
  leftMs: number;
  /** The request may be sent again after a failure. */
  isRepeatable?: boolean;
  /** The request may wait for a server that is only silent. */
  waitsForSilent: boolean;
  /** Longest wait for a slot on a server where the first event will be late. */
  lateWaitMs: number;
  findLoad?: FindLoad;
  /** Tokens that each server of the service has room for, and those of the request. */
  memory?: { capacity: number; tokens: number };
}

/** A server that may take a request. */
export interface Candidate {
  entry: ServerEntry;
  load?: AgentLoad;
  /** The first event is expected on time. */
  onTime: boolean;
  /** Order of service on this server. */
  rank: number;
  /** The complete answer is expected within the remaining time. */
  meetsDeadline: boolean;
  /** Requests in flight there. */
  held: number;
  /** The request is expected to start without waiting. */
  hasFreeSlot: boolean;
  /** Expected time to the first event, without the wait for a slot. */
  firstMs: number;
  /** Expected time to the end of the answer, with the wait. */
  finishMs: number;
  /** Answers that it is expected to make late by a pause there; 0 where pauses do not count. */
  lateAnswers: number;
  /** Slots are scarce, and this engine is of no use for the long prompts of the service. */
  sparesFast: boolean;
  /** Finish time with the penalties for distance and failures. */
  cost: number;
}

/** Returns the server as a candidate; undefined where the request cannot get a slot in time. */
export function createCandidate(
  now: number,
  entry: ServerEntry,
  query: PlacementQuery,
  load: AgentLoad | undefined,
  dataCentre: string,
  estimate?: EstimatePauseCost,
): Candidate | undefined {
  const { work, onTimeMs, lateWaitMs, leftMs } = query;
  const { slots } = entry.server;
  const held = load?.held ?? countHeld(entry);
  if (!load && held >= slots + EXTRA_PERMITS) return undefined;
  const isRepeatable = query.isRepeatable ?? true;
  if (!load && entry.pace?.isOpen(now, entry.running, isRepeatable) === false) return undefined;
  const firstMs = estimateFirstMs(entry, work, load?.pendingTokens);
  const onTime = getExpectedWaitMs(load, query.rank) + firstMs <= onTimeMs;
  const rank = onTime || isLateBySize(entry, query) ? query.rank : query.lateRank;
  const expectedWaitMs = getExpectedWaitMs(load, rank);
  if (!onTime && expectedWaitMs > lateWaitMs) return undefined;
  const finishMs = estimateFinishMs(entry, work, held, load?.pendingTokens) + expectedWaitMs;
  const hasFreeSlot = expectedWaitMs === 0;
  const distance = entry.server.dataCentre === dataCentre ? 0 : REMOTE_PENALTY_FRACTION;
  const pausePenaltyMs = entry.peerPausedUntil > now ? PEER_PAUSE_PENALTY_MS : 0;
  const failurePenaltyMs = computeFailureWeight(now, entry) * FAILURE_PENALTY_MS;
  const cost = finishMs * (1 + distance) + failurePenaltyMs + pausePenaltyMs;
  const meetsDeadline = finishMs <= leftMs * DEADLINE_FRACTION;
  const pauseCost = estimatePauseCost(entry, load, hasFreeSlot, estimate);
  return {
    entry,
    load,
    onTime,
    rank,
    meetsDeadline,
    held,
    hasFreeSlot,
    firstMs,
    finishMs,
    lateAnswers: pauseCost.lateAnswers,
    sparesFast: pauseCost.sparesFast,
    cost,
  };
}

function estimatePauseCost(
  entry: ServerEntry,
  load: AgentLoad | undefined,
  hasFreeSlot: boolean,
  estimate: EstimatePauseCost | undefined,
): PauseCost {
  const { eventTimes: times, server } = entry;
  if (!times || !estimate) return NO_PAUSES;
  const held = Math.min(load?.held ?? countHeld(entry), server.slots);
  // Prompts that are pending now are read by the time a slot is free; the agent bounds later ones.
  const pendingTokens = hasFreeSlot ? (load?.pendingTokens ?? entry.pendingPromptTokens) : 0;
  return estimate({ times, held, pendingTokens, prefillMs: load?.prefillMs });
}

/**
 * Returns whether a server has room for the tokens of a request beside those that run there. The
 * longest answer counts, since an engine fails with all its requests when they outgrow its memory.
 * On a server that holds nothing only the prompt counts: callers often state far too long answers.
 */
export function hasMemory({ memory, work }: PlacementQuery, load: AgentLoad | undefined): boolean {
  if (!memory || !load) return true;
  if (load.held === 0) return work.promptTokens <= memory.capacity;
  return (load.heldTokens ?? 0) + memory.tokens <= memory.capacity;
}

/** With a pace, a due trial is not avoided, and fast failures of the last moments weigh more. */
function computeFailureWeight(now: number, { pace, failureRate, recentFailures }: ServerEntry) {
  if (!pace) return failureRate;
  if (pace.isTrying()) return 0;
  return Math.max(failureRate, recentFailures.getRate(now) * recentFailures.getSpeed());
}

/** A request that is late only because of its size keeps the rank of those on time. */
function isLateBySize(entry: ServerEntry, { work, objectiveMs }: PlacementQuery): boolean {
  return work.events > 0 && estimatePrefillMs(entry, work.promptTokens) > objectiveMs;
}

/**
 * Returns whether a request would wait for a slot where it makes several answers late by a pause.
 * Other requests wait as well then, and take the slot without this cost.
 */
export function isCostlyWait({ hasFreeSlot, lateAnswers }: Candidate): boolean {
  return !hasFreeSlot && lateAnswers >= MIN_COSTLY_ANSWERS;
}

/**
 * Prefers servers that meet the deadline, then those where it does not wait to make several answers
 * late, then a first event on time, then no wait, then few answers that a pause makes late, then
 * low cost. Where slots are scarce, free ones of engines that can take long prompts are left to
 * these.
 */
export function isPreferred(candidate: Candidate, best: Candidate): boolean {
  if (candidate.meetsDeadline !== best.meetsDeadline) return candidate.meetsDeadline;
  const isCostly = isCostlyWait(candidate);
  if (isCostly !== isCostlyWait(best)) return !isCostly;
  if (candidate.onTime !== best.onTime) return candidate.onTime;
  if (candidate.hasFreeSlot !== best.hasFreeSlot) return candidate.hasFreeSlot;
  if (candidate.lateAnswers !== best.lateAnswers) return candidate.lateAnswers < best.lateAnswers;
  if (candidate.hasFreeSlot && candidate.sparesFast !== best.sparesFast) {
    return candidate.sparesFast;
  }
  return candidate.cost < best.cost;
}

/** Prefers the first server by its id that has a free slot. */
export function isPackedBefore(candidate: Candidate, best: Candidate): boolean {
  const isFree = hasRoom(candidate);
  if (isFree !== hasRoom(best)) return isFree;
  return candidate.entry.server.id < best.entry.server.id;
}

function hasRoom({ entry, held, hasFreeSlot }: Candidate): boolean {
  return hasFreeSlot && held < entry.server.slots;
}

/** Returns 0 without an agent: such a server is only a candidate while it has capacity. */
export function getExpectedWaitMs(load: AgentLoad | undefined, rank: number): number {
  return load?.waitsMs[Math.min(rank, load.waitsMs.length - 1)] ?? 0;
}
