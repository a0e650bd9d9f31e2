/**
 * State of the configured backend servers as one instance tracks it: which are ready, how many
 * requests each holds (from the instance's own count and its peers' reports), how fast each one is
 * and how often it fails. Chooses the server on which a request is expected to finish first.
 */
import type { BackendServer } from '@masticbend/settings/routing';
import { updateMovingAverage } from './moving-average.js';
import {
  countHeld,
  createServerEntry,
  estimateFinishMs,
  estimateFirstMs,
  estimatePrefillMs,
  findPauseEnd,
  isUsable,
  type PlacedWork,
  type ServerEntry,
} from './server-entry.js';

/** Smoothing factors of the moving averages: the weight of the latest observation. */
const EVENT_INTERVAL_SMOOTHING = 0.1;
const PREFILL_SMOOTHING = 0.15;
const FAILURE_SMOOTHING = 0.15;
/** Consecutive calls without a response after which a server is ejected. */
const EJECTION_FAILURES = 2;
/** First ejection time; it doubles with each further failure, up to the maximum. */
const EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 8_000;
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

/** Load of a backend server as its agent reports it. */
export interface AgentLoad {
  /** Permits in use. */
  held: number;
  /** Prompt tokens of all instances' requests there that have no output yet. */
  pendingTokens: number;
  /**
   * Expected wait of a request by rank, in milliseconds; ranks beyond the list wait like the last.
   */
  waitsMs: readonly number[];
}

/** Returns the load of a server whose agent grants permits; undefined if it has no such agent. */
export type FindLoad = (server: string) => AgentLoad | undefined;

/** A request to be placed on a server. */
export interface PlacementQuery {
  service: string;
  work: PlacedWork;
  /** Order of service on servers where the first event can be on time, and where it cannot. */
  rank: number;
  lateRank: number;
  /** Ids of servers that must not be chosen. */
  excluded: ReadonlySet<string>;
  /** Time from arrival within which a first event is on time; Infinity for retrying callers. */
  objectiveMs: number;
  /** Remaining part of that time; negative when no first event can be on time. */
  onTimeMs: number;
  /** Remaining time until the deadline of the complete answer. */
  leftMs: number;
  /** Longest wait for a slot on a server where the first event will be late. */
  lateWaitMs: number;
  findLoad?: FindLoad;
}

/** A server that may take a request. */
interface Candidate {
  entry: ServerEntry;
  load?: AgentLoad;
  /** The first event is expected on time. */
  onTime: boolean;
  /** Order of service on this server. */
  rank: number;
  /** The complete answer is expected within the remaining time. */
  meetsDeadline: boolean;
  /** The request is expected to start without waiting. */
  hasFreeSlot: boolean;
  /** Expected time to the first event, without the wait for a slot. */
  firstMs: number;
  /** Expected time to the end of the answer, with the wait. */
  finishMs: number;
  /** Finish time with the penalties for distance and failures. */
  cost: number;
}

/** The chosen server; where `load` is present, its agent must grant a permit first. */
export type ServerChoice = { kind: 'server' } & Candidate;

/** The result of a choice: a server, or why there is none. */
export type Choice =
  | ServerChoice
  /** All slots are taken; `waitMs` is the shortest wait that an agent expects, if any reported. */
  | { kind: 'full'; waitMs?: number }
  /** Each server has asked for a pause; `waitMs` is the time until the first pause ends. */
  | { kind: 'paused'; waitMs: number }
  /** No usable server is left. */
  | { kind: 'none' };

/** All configured backend servers. Times are monotonic, in milliseconds. */
export interface ServerPool {
  /** Replaces the list of servers; one with the same start time and address keeps its state. */
  setServers: (servers: readonly BackendServer[]) => void;
  choose: (now: number, query: PlacementQuery) => Choice;
  /**
   * Counts a request as running. Returns the prompt tokens that the server processes until its
   * first event, in thousands, plus 1 for the fixed time; pass them to `recordFirstEvent`. Where an
   * agent granted the permit, `pendingTokens` is what it reported, this request included.
   */
  addRunning: (entry: ServerEntry, work: PlacedWork, pendingTokens?: number) => number;
  removeRunning: (entry: ServerEntry) => void;
  /** Records the time to a first event; `promptKilotokens` is what `addRunning` returned. */
  recordFirstEvent: (entry: ServerEntry, promptKilotokens: number, elapsedMs: number) => void;
  /** The prompt is processed, or the call has ended before that. */
  removePendingPrompt: (entry: ServerEntry, work: PlacedWork) => void;
  /** Records the time between two events of a stream. */
  recordEventInterval: (entry: ServerEntry, intervalMs: number) => void;
  /** Records the time of a complete answer of a plain service. */
  recordAnswerTime: (entry: ServerEntry, elapsedMs: number) => void;
  recordSuccess: (entry: ServerEntry) => void;
  /** The server responded with an error. */
  recordFailure: (entry: ServerEntry) => void;
  /** The server was unreachable or did not respond; true when it is ejected now. */
  recordNoResponse: (now: number, entry: ServerEntry) => boolean;
  /** Sets the number of requests that a peer runs on each server, 0 for servers not in the map. */
  setPeerLoad: (peer: string, running: ReadonlyMap<string, number>) => void;
  /** Running requests of this instance by server id, for servers without an agent. */
  listRunning: (findLoad: FindLoad) => Map<string, number>;
  find: (id: string) => ServerEntry | undefined;
  /** Expected time to the end of the answer while the server holds `held` other requests. */
  estimateFinishMs: (entry: ServerEntry, work: PlacedWork, held: number) => number;
  /** Time to the first event, averaged over the service's servers, in milliseconds. */
  estimateFirstMs: (service: string, work: PlacedWork) => number;
  /** Time for which a slot is held, averaged over the service's servers, in milliseconds. */
  estimateHoldMs: (service: string, work: PlacedWork) => number;
  /** Total slots of the usable servers of a service. */
  countSlots: (now: number, service: string) => number;
  listServers: () => readonly ServerEntry[];
  /** Number of servers that are ready and not ejected. */
  countUsable: (now: number) => number;
}

/** Returns a pool without servers; `dataCentre` is the instance's own. */
export function createServerPool(dataCentre: string): ServerPool {
  let entries = new Map<string, ServerEntry>();
  const peerLoads = new Map<string, ReadonlyMap<string, number>>();

  function listUsable(now: number): ServerEntry[] {
    return [...entries.values()].filter((entry) => isUsable(now, entry));
  }

  /** Describes why no server of a service can be chosen at all. */
  function describeShortage(now: number, { service, excluded }: PlacementQuery): Choice {
    const pauseEnds = [...entries.values()]
      .filter(({ server }) => server.service === service && !excluded.has(server.id))
      .map((entry) => findPauseEnd(now, entry))
      .filter((end) => end !== undefined);
    if (pauseEnds.length === 0) return { kind: 'none' };
    return { kind: 'paused', waitMs: Math.min(...pauseEnds) - now };
  }

  function applyPeerLoads(entry: ServerEntry): void {
    entry.peerRunning.clear();
    for (const [peer, load] of peerLoads) {
      const running = load.get(entry.server.id);
      if (running) entry.peerRunning.set(peer, running);
    }
  }

  function computeMean(service: string, estimate: (entry: ServerEntry) => number): number {
    const serviceEntries = [...entries.values()].filter(({ server }) => server.service === service);
    const sum = serviceEntries.reduce((total, entry) => total + estimate(entry), 0);
    return serviceEntries.length > 0 ? sum / serviceEntries.length : 0;
  }

  return {
    setServers(servers) {
      const next = new Map<string, ServerEntry>();
      for (const server of servers) {
        const known = entries.get(server.id);
        const isSame =
          known?.server.bornAt === server.bornAt && known.server.address === server.address;
        const entry = isSame ? known : createServerEntry(server);
        entry.server = server;
        applyPeerLoads(entry);
        next.set(server.id, entry);
      }
      entries = next;
    },
    choose(now, query) {
      const { service, excluded, findLoad = findNoLoad } = query;
      let best: Candidate | undefined;
      let usable = 0;
      let minWaitMs: number | undefined;
      for (const entry of entries.values()) {
        const { server } = entry;
        if (server.service === service && isUsable(now, entry) && !excluded.has(server.id)) {
          usable += 1;
          const load = findLoad(server.id);
          if (load) {
            const waitMs = getExpectedWaitMs(load, query.lateRank);
            minWaitMs = Math.min(minWaitMs ?? waitMs, waitMs);
          }
          const candidate = createCandidate(now, entry, query, load, dataCentre);
          if (candidate && (!best || isPreferred(candidate, best))) best = candidate;
        }
      }
      if (!best && usable === 0) return describeShortage(now, query);
      if (!best) return { kind: 'full', waitMs: minWaitMs };
      return { kind: 'server', ...best };
    },
    addRunning(entry, work, pendingTokens) {
      entry.running += 1;
      entry.pendingPromptTokens += work.promptTokens;
      return (pendingTokens ?? entry.pendingPromptTokens) / 1_000 + 1;
    },
    removeRunning(entry) {
      entry.running -= 1;
    },
    removePendingPrompt(entry, work) {
      entry.pendingPromptTokens = Math.max(0, entry.pendingPromptTokens - work.promptTokens);
    },
    recordFirstEvent(entry, promptKilotokens, elapsedMs) {
      entry.prefillMsPerThousand = updateMovingAverage(
        entry.prefillMsPerThousand,
        elapsedMs / promptKilotokens,
        PREFILL_SMOOTHING,
      );
    },
    recordEventInterval(entry, intervalMs) {
      entry.eventIntervalMs = updateMovingAverage(
        entry.eventIntervalMs,
        intervalMs,
        EVENT_INTERVAL_SMOOTHING,
      );
    },
    recordAnswerTime(entry, elapsedMs) {
      entry.answerMs = updateMovingAverage(entry.answerMs, elapsedMs, EVENT_INTERVAL_SMOOTHING);
    },
    recordSuccess(entry) {
      entry.consecutiveFailures = 0;
      entry.failureRate = updateMovingAverage(entry.failureRate, 0, FAILURE_SMOOTHING);
    },
    recordFailure(entry) {
      entry.consecutiveFailures = 0;
      entry.failureRate = updateMovingAverage(entry.failureRate, 1, FAILURE_SMOOTHING);
    },
    recordNoResponse(now, entry) {
      entry.consecutiveFailures += 1;
      entry.failureRate = updateMovingAverage(entry.failureRate, 1, FAILURE_SMOOTHING);
      const excessFailures = entry.consecutiveFailures - EJECTION_FAILURES;
      if (excessFailures < 0) return false;
      entry.ejectedUntil = now + Math.min(MAX_EJECTION_MS, EJECTION_MS * 2 ** excessFailures);
      return true;
    },
    setPeerLoad(peer, running) {
      if (running.size === 0) peerLoads.delete(peer);
      else peerLoads.set(peer, running);
      for (const entry of entries.values()) {
        const count = running.get(entry.server.id);
        if (count) entry.peerRunning.set(peer, count);
        else entry.peerRunning.delete(peer);
      }
    },
    listRunning(findLoad) {
      const counted = [...entries].filter(([id, { running }]) => running > 0 && !findLoad(id));
      return new Map(counted.map(([id, { running }]) => [id, running]));
    },
    find: (id) => entries.get(id),
    estimateFinishMs,
    estimateFirstMs: (service, work) =>
      computeMean(service, (entry) => estimateFirstMs(entry, work)),
    estimateHoldMs: (service, work) =>
      computeMean(service, (entry) => estimateFinishMs(entry, work, countHeld(entry))),
    countSlots(now, service) {
      const usable = listUsable(now).filter(({ server }) => server.service === service);
      return usable.reduce((sum, { server }) => sum + server.slots, 0);
    },
    listServers: () => [...entries.values()],
    countUsable: (now) => listUsable(now).length,
  };
}

function findNoLoad(): undefined {
  return undefined;
}

function createCandidate(
  now: number,
  entry: ServerEntry,
  query: PlacementQuery,
  load: AgentLoad | undefined,
  dataCentre: string,
): Candidate | undefined {
  const { work, onTimeMs, lateWaitMs, leftMs } = query;
  const { slots } = entry.server;
  const held = load?.held ?? countHeld(entry);
  if (!load && held >= slots + EXTRA_PERMITS) return undefined;
  const firstMs = estimateFirstMs(entry, work, load?.pendingTokens);
  const onTime = getExpectedWaitMs(load, query.rank) + firstMs <= onTimeMs;
  const rank = onTime || isLateBySize(entry, query) ? query.rank : query.lateRank;
  const expectedWaitMs = getExpectedWaitMs(load, rank);
  if (!onTime && expectedWaitMs > lateWaitMs) return undefined;
  const finishMs = estimateFinishMs(entry, work, held, load?.pendingTokens) + expectedWaitMs;
  const hasFreeSlot = expectedWaitMs === 0;
  const distance = entry.server.dataCentre === dataCentre ? 0 : REMOTE_PENALTY_FRACTION;
  const pausePenaltyMs = entry.peerPausedUntil > now ? PEER_PAUSE_PENALTY_MS : 0;
  const failurePenaltyMs = entry.failureRate * FAILURE_PENALTY_MS;
  const cost = finishMs * (1 + distance) + failurePenaltyMs + pausePenaltyMs;
  const meetsDeadline = finishMs <= leftMs * DEADLINE_FRACTION;
  return { entry, load, onTime, rank, meetsDeadline, hasFreeSlot, firstMs, finishMs, cost };
}

/** A request that is late only because of its size keeps the rank of those on time. */
function isLateBySize(entry: ServerEntry, { work, objectiveMs }: PlacementQuery): boolean {
  return work.events > 0 && estimatePrefillMs(entry, work.promptTokens) > objectiveMs;
}

/**
 * Prefers servers that meet the deadline, then a first event on time, then no wait, then low cost.
 */
function isPreferred(candidate: Candidate, best: Candidate): boolean {
  if (candidate.meetsDeadline !== best.meetsDeadline) return candidate.meetsDeadline;
  if (candidate.onTime !== best.onTime) return candidate.onTime;
  if (candidate.hasFreeSlot !== best.hasFreeSlot) return candidate.hasFreeSlot;
  return candidate.cost < best.cost;
}

/** Returns 0 without an agent: such a server is only a candidate while it has capacity. */
function getExpectedWaitMs(load: AgentLoad | undefined, rank: number): number {
  return load?.waitsMs[Math.min(rank, load.waitsMs.length - 1)] ?? 0;
}
