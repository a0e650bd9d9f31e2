/**
 * What one instance believes of the backend servers of the routing configuration: who runs, how
 * much work each holds by the instance's own count and its peers' reports, how fast each is, and
 * whether it fails. Chooses the server on which a request is expected to finish first.
 */
import { ServerState, type BackendServer } from '@masticbend/settings/routing';
import { mergeMean } from './moving-mean.js';
import {
  countHeld,
  createServerEntry,
  estimateFinishMs,
  estimateFirstMs,
  estimateReadingMs,
  type PlacedWork,
  type ServerEntry,
} from './server-entry.js';

/** How far an estimate follows the last observation. */
const PACE_STEP = 0.1;
const READING_STEP = 0.15;
const FAILURE_STEP = 0.15;
/** Failures in a row without an answer after which a server is left out, and for how long. */
const EJECTION_FAILURES = 2;
const EJECTION_MS = 1_000;
const LONGEST_EJECTION_MS = 8_000;
/** Penalty of a request that has to be repeated, for the share of requests that fail. */
const FAILURE_COST_MS = 400;
/** Penalty of a server in another data centre, whose bytes cost money: a part of the time taken. */
const DISTANCE_PART = 0.25;
/** Part of the time left in which a whole answer must be expected. */
const IN_TIME_PART = 0.9;
/** Requests sent ahead of a free place, so that an engine does not idle for a round trip. */
export const AHEAD = 1;

/** What the agent beside a server says of it. */
export interface AgentLoad {
  held: number;
  /** Expected wait of a request by rank, in milliseconds; further ranks wait like the last. */
  waitsMs: readonly number[];
}

/** Returns the load of a server whose agent gives permits; undefined where there is none. */
export type FindLoad = (server: string) => AgentLoad | undefined;

/** A request looking for a server. */
export interface PlaceQuery {
  service: string;
  work: PlacedWork;
  /** Order of service where it can be on time, and where it cannot. */
  rank: number;
  lateRank: number;
  /** Servers left out. */
  excluded: ReadonlySet<string>;
  /** Time in which a first event is on time, from the arrival; Infinity for returned callers. */
  objectiveMs: number;
  /** What is left of it, and of the time for the whole answer. */
  onTimeMs: number;
  leftMs: number;
  /** Longest wait for a place at a server where it will be late. */
  lateWaitMs: number;
  findLoad?: FindLoad;
}

/** A server that may take a request. */
interface Candidate {
  entry: ServerEntry;
  load?: AgentLoad;
  /** The first event is expected on time. */
  onTime: boolean;
  /** Order of service there. */
  rank: number;
  /** The whole answer is expected in the time left. */
  inTime: boolean;
  /** A place is free now. */
  free: boolean;
  firstMs: number;
  finishMs: number;
  cost: number;
}

/** A server to be used, or asked for where `load` is present. */
export type ServerChoice = { kind: 'server' } & Candidate;

/** A choice of server, or why there is none. */
export type Choice =
  | ServerChoice
  /** All places are taken; `waitMs` is the least wait that an agent expects, if one was known. */
  | { kind: 'full'; waitMs?: number }
  | { kind: 'none' };

/** Board of all servers. Times are monotonic, in milliseconds. */
export interface ServerBoard {
  /** Brings the board in line with the list; entries of the same incarnation keep their state. */
  setServers: (servers: readonly BackendServer[]) => void;
  choose: (now: number, query: PlaceQuery) => Choice;
  /** Returns the thousands of prompt tokens that the server reads up to the first event. */
  addRun: (entry: ServerEntry, work: PlacedWork) => number;
  removeRun: (entry: ServerEntry) => void;
  /** Takes in the time to a first event, and what was to be read before it when it was sent. */
  recordFirst: (entry: ServerEntry, thousands: number, elapsedMs: number) => void;
  dropReading: (entry: ServerEntry, work: PlacedWork) => void;
  recordPace: (entry: ServerEntry, intervalMs: number) => void;
  recordWork: (entry: ServerEntry, elapsedMs: number) => void;
  recordSuccess: (entry: ServerEntry) => void;
  /** The server answered with a failure of its own. */
  recordFailure: (entry: ServerEntry) => void;
  /** The server could not be reached or did not answer; true when it is now left out. */
  recordSilence: (now: number, entry: ServerEntry) => boolean;
  /** Sets what a peer runs on each server; servers it does not name have nothing of it. */
  setPeerLoad: (peer: string, running: ReadonlyMap<string, number>) => void;
  /** Running requests of this instance by server id, for servers without an agent. */
  listRunning: (findLoad: FindLoad) => Map<string, number>;
  find: (id: string) => ServerEntry | undefined;
  /** Expected time to the end of the answer with so many requests held. */
  estimateFinishMs: (entry: ServerEntry, work: PlacedWork, held: number) => number;
  /** Middling estimates over a service's servers, in milliseconds. */
  estimateFirstMs: (service: string, work: PlacedWork) => number;
  estimateHoldMs: (service: string, work: PlacedWork) => number;
  /** Places of a service's servers that may be used. */
  countPlaces: (now: number, service: string) => number;
  listServers: () => readonly ServerEntry[];
  /** Servers that may be used. */
  countUsable: (now: number) => number;
}

/** Returns an empty board; `dataCentre` is the instance's own. */
export function createServerBoard(dataCentre: string): ServerBoard {
  let entries = new Map<string, ServerEntry>();
  const peerLoads = new Map<string, ReadonlyMap<string, number>>();

  function isUsable(now: number, entry: ServerEntry): boolean {
    return entry.server.state === ServerState.Ready && entry.ejectedUntil <= now;
  }

  function listUsable(now: number): ServerEntry[] {
    return [...entries.values()].filter((entry) => isUsable(now, entry));
  }

  function applyPeerLoads(entry: ServerEntry): void {
    entry.peerRunning.clear();
    for (const [peer, load] of peerLoads) {
      const running = load.get(entry.server.id);
      if (running) entry.peerRunning.set(peer, running);
    }
  }

  function computeMean(service: string, estimate: (entry: ServerEntry) => number): number {
    const listed = [...entries.values()].filter(({ server }) => server.service === service);
    const sum = listed.reduce((total, entry) => total + estimate(entry), 0);
    return listed.length > 0 ? sum / listed.length : 0;
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
      let leastWaitMs: number | undefined;
      for (const entry of entries.values()) {
        const { server } = entry;
        if (server.service === service && isUsable(now, entry) && !excluded.has(server.id)) {
          usable += 1;
          const load = findLoad(server.id);
          if (load) {
            const waitMs = chooseWait(load, query.lateRank);
            leastWaitMs = Math.min(leastWaitMs ?? waitMs, waitMs);
          }
          const candidate = describeCandidate(entry, query, load, dataCentre);
          if (candidate && (!best || isBetter(candidate, best))) best = candidate;
        }
      }
      if (!best) return usable > 0 ? { kind: 'full', waitMs: leastWaitMs } : { kind: 'none' };
      return { kind: 'server', ...best };
    },
    addRun(entry, work) {
      entry.running += 1;
      entry.readingTokens += work.promptTokens;
      return entry.readingTokens / 1_000 + 1;
    },
    removeRun(entry) {
      entry.running -= 1;
    },
    dropReading(entry, work) {
      entry.readingTokens = Math.max(0, entry.readingTokens - work.promptTokens);
    },
    recordFirst(entry, thousands, elapsedMs) {
      entry.readingMs = mergeMean(entry.readingMs, elapsedMs / thousands, READING_STEP);
    },
    recordPace(entry, intervalMs) {
      entry.paceMs = mergeMean(entry.paceMs, intervalMs, PACE_STEP);
    },
    recordWork(entry, elapsedMs) {
      entry.workMs = mergeMean(entry.workMs, elapsedMs, PACE_STEP);
    },
    recordSuccess(entry) {
      entry.failuresInRow = 0;
      entry.failureShare = mergeMean(entry.failureShare, 0, FAILURE_STEP);
    },
    recordFailure(entry) {
      entry.failuresInRow = 0;
      entry.failureShare = mergeMean(entry.failureShare, 1, FAILURE_STEP);
    },
    recordSilence(now, entry) {
      entry.failuresInRow += 1;
      entry.failureShare = mergeMean(entry.failureShare, 1, FAILURE_STEP);
      const beyond = entry.failuresInRow - EJECTION_FAILURES;
      if (beyond < 0) return false;
      entry.ejectedUntil = now + Math.min(LONGEST_EJECTION_MS, EJECTION_MS * 2 ** beyond);
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
    countPlaces(now, service) {
      const listed = listUsable(now).filter(({ server }) => server.service === service);
      return listed.reduce((sum, { server }) => sum + server.slots, 0);
    },
    listServers: () => [...entries.values()],
    countUsable: (now) => listUsable(now).length,
  };
}

function findNoLoad(): undefined {
  return undefined;
}

function describeCandidate(
  entry: ServerEntry,
  query: PlaceQuery,
  load: AgentLoad | undefined,
  dataCentre: string,
): Candidate | undefined {
  const { work, onTimeMs, lateWaitMs, leftMs } = query;
  const { slots } = entry.server;
  const held = load?.held ?? countHeld(entry);
  if (!load && held >= slots + AHEAD) return undefined;
  const firstMs = estimateFirstMs(entry, work);
  const onTime = chooseWait(load, query.rank) + firstMs <= onTimeMs;
  const rank = onTime || isTooLarge(entry, query) ? query.rank : query.lateRank;
  const expectedWaitMs = chooseWait(load, rank);
  if (!onTime && expectedWaitMs > lateWaitMs) return undefined;
  const finishMs = estimateFinishMs(entry, work, held) + expectedWaitMs;
  const free = expectedWaitMs === 0;
  const distance = entry.server.dataCentre === dataCentre ? 0 : DISTANCE_PART;
  const cost = finishMs * (1 + distance) + entry.failureShare * FAILURE_COST_MS;
  const inTime = finishMs <= leftMs * IN_TIME_PART;
  return { entry, load, onTime, rank, inTime, free, firstMs, finishMs, cost };
}

/** A request that is late by its size alone keeps its place among those on time. */
function isTooLarge(entry: ServerEntry, { work, objectiveMs }: PlaceQuery): boolean {
  return work.events > 0 && estimateReadingMs(entry, work.promptTokens) > objectiveMs;
}

/** Whole answers first, then those on time, then those without a wait, then the quickest. */
function isBetter(candidate: Candidate, best: Candidate): boolean {
  if (candidate.inTime !== best.inTime) return candidate.inTime;
  if (candidate.onTime !== best.onTime) return candidate.onTime;
  if (candidate.free !== best.free) return candidate.free;
  return candidate.cost < best.cost;
}

/** A server without an agent is only a candidate while it has a place. */
function chooseWait(load: AgentLoad | undefined, rank: number): number {
  return load?.waitsMs[Math.min(rank, load.waitsMs.length - 1)] ?? 0;
}
