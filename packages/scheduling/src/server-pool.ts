/**
 * State of the configured backend servers as one instance tracks it: which are ready, how many
 * requests each holds (from the instance's own count and its peers' reports), how fast each one is
 * and how often it fails. Chooses the server on which a request is expected to finish first.
 */
import type { BackendServer } from '@masticbend/settings/routing';
import { updateMovingAverage } from './moving-average.js';
import {
  createCandidate,
  getExpectedWaitMs,
  isPackedBefore,
  hasMemory,
  isPreferred,
  type Candidate,
  type FindLoad,
  type PlacementQuery,
} from './server-candidate.js';
import { createEventTimes } from './event-times.js';
import type { PacedServers } from './paced-servers.js';
import {
  countHeld,
  createServerEntry,
  estimateFinishMs,
  estimateFirstMs,
  findPauseEnd,
  hasFreeConnection,
  isUsable,
  type PlacedWork,
  type ServerEntry,
} from './server-entry.js';
import {
  isOnlySilent,
  recordFailure,
  recordNoResponse,
  recordResumed,
  recordSilent,
  recordSuccess,
  removeSilent,
} from './server-failures.js';
import { findLimitWaitMs, tryTakeFromLimit, type LimitShare } from './server-limit.js';
import type { StreamPauses } from './stream-pauses.js';

/** Smoothing factors of the moving averages: the weight of the latest observation. */
const EVENT_INTERVAL_SMOOTHING = 0.1;
const PREFILL_SMOOTHING = 0.15;

/** The chosen server; where `load` is present, its agent must grant a permit first. */
export type ServerChoice = { kind: 'server' } & Candidate;

/** The result of a choice: a server, or why there is none. */
export type Choice =
  | ServerChoice
  /** All slots are taken; `waitMs` is the shortest wait that an agent expects, if any reported. */
  | { kind: 'full'; waitMs?: number }
  /** Each server is paused or at its limit; `waitMs` is the time until one may be used. */
  | { kind: 'paused'; waitMs: number }
  /** Each server is silent, and one of them may go on at any moment. */
  | { kind: 'silent' }
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
  /** Takes a request from this instance's part of the server's limit; false if there is none. */
  tryTakeFromLimit: (now: number, entry: ServerEntry) => boolean;
  recordSuccess: (entry: ServerEntry) => void;
  /** The server responded with an error. */
  recordFailure: (entry: ServerEntry) => void;
  /** The server was unreachable or broke its connection; true when this ejects it. */
  recordNoResponse: (now: number, entry: ServerEntry, sentAt: number) => boolean;
  /** The server is silent about a request in progress; true when it is ejected now. */
  recordSilent: (now: number, entry: ServerEntry) => boolean;
  /** A silent server goes on: it is no longer ejected. */
  recordResumed: (now: number, entry: ServerEntry) => void;
  /** A request about which the server was silent has ended. */
  removeSilent: (entry: ServerEntry) => void;
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
  /** Total slots of the usable servers of a service; without any, of those only silent. */
  countSlots: (now: number, service: string) => number;
  listServers: () => readonly ServerEntry[];
  /** Number of servers that are ready and not ejected. */
  countUsable: (now: number) => number;
}

/**
 * Returns a pool without servers; `dataCentre` is the instance's own. Without `limitShare` the
 * limits of servers are not applied, and without `createPace` they have no paces. Those that the
 * first list names and that are not cold were in use before this instance. Without `pauses` the
 * pauses of streams do not count.
 */
export function createServerPool(
  dataCentre: string,
  limitShare?: LimitShare,
  createPace?: PacedServers['createPace'],
  pauses?: StreamPauses,
): ServerPool {
  let hasList = false;
  let entries = new Map<string, ServerEntry>();
  const peerLoads = new Map<string, ReadonlyMap<string, number>>();

  function createEntry(server: BackendServer): ServerEntry {
    const pace = createPace?.(server, !hasList && server.coldMs === 0);
    return createServerEntry(server, pace, pauses && createEventTimes());
  }

  function listUsable(now: number): ServerEntry[] {
    return [...entries.values()].filter((entry) => isUsable(now, entry));
  }

  function findLimitEnd(now: number, entry: ServerEntry): number {
    return limitShare ? now + findLimitWaitMs(now, entry, limitShare) : now;
  }

  /** Returns when a server that is paused or at its limit may be used; undefined for any other. */
  function findReturn(now: number, entry: ServerEntry): number | undefined {
    const pauseEnd = findPauseEnd(now, entry);
    const limitEnd = findLimitEnd(now, entry);
    if (pauseEnd === undefined && (limitEnd <= now || !isUsable(now, entry))) return undefined;
    return Math.max(pauseEnd ?? now, limitEnd);
  }

  /** Describes why no server of a service can be chosen at all. */
  function describeShortage(now: number, query: PlacementQuery): Choice {
    const eligible = [...entries.values()].filter(({ server }) => isEligible(server, query));
    if (query.waitsForSilent && eligible.some((entry) => isOnlySilent(now, entry))) {
      return { kind: 'silent' };
    }
    const pauseEnds = eligible
      .map((entry) => findReturn(now, entry))
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
        const entry = isSame ? known : createEntry(server);
        entry.server = server;
        entry.pace?.setSlots(server.slots);
        applyPeerLoads(entry);
        next.set(server.id, entry);
      }
      entries = next;
      hasList ||= servers.length > 0;
    },
    choose(now, query) {
      const { findLoad = findNoLoad } = query;
      const isBetter = query.isPacked ? isPackedBefore : isPreferred;
      let best: Candidate | undefined;
      let usable = 0;
      let minWaitMs: number | undefined;
      let isRoomShort = false;
      const estimate = pauses?.recordRequest(now, query, entries.values(), findLoad);
      for (const entry of entries.values()) {
        const { server } = entry;
        if (isEligible(server, query) && isUsable(now, entry) && findLimitEnd(now, entry) <= now) {
          usable += 1;
          const load = findLoad(server.id);
          if (load) {
            const waitMs = getExpectedWaitMs(load, query.lateRank);
            minWaitMs = Math.min(minWaitMs ?? waitMs, waitMs);
          }
          const hasRoom = hasMemory(query, load) && hasFreeConnection(entry);
          isRoomShort ||= !hasRoom;
          const candidate =
            (hasRoom || undefined) &&
            createCandidate(now, entry, query, load, dataCentre, estimate);
          if (candidate && (!best || isBetter(candidate, best))) best = candidate;
        }
      }
      if (!best && usable === 0) return describeShortage(now, query);
      // Agents do not queue what does not fit: the request waits here for memory or a connection.
      if (!best && isRoomShort) return { kind: 'full' };
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
    tryTakeFromLimit: (now, entry) => !limitShare || tryTakeFromLimit(now, entry, limitShare),
    recordSuccess,
    recordFailure,
    recordNoResponse,
    recordSilent,
    recordResumed,
    removeSilent,
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
      const all = [...entries.values()].filter(({ server }) => server.service === service);
      const usable = all.filter((entry) => isUsable(now, entry));
      const counted = usable.length > 0 ? usable : all.filter((entry) => isOnlySilent(now, entry));
      return counted.reduce((sum, { server }) => sum + server.slots, 0);
    },
    listServers: () => [...entries.values()],
    countUsable: (now) => listUsable(now).length,
  };
}

/** Returns whether a server may run a request at all. */
function isEligible(
  { id, service, softwareVersion }: BackendServer,
  query: PlacementQuery,
): boolean {
  if (service !== query.service || query.excluded.has(id)) return false;
  return query.acceptsVersion?.(softwareVersion) ?? true;
}

function findNoLoad(): undefined {
  return undefined;
}
