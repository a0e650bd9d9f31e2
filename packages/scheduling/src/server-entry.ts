/**
 * State of one backend server as an instance tracks it, and the times estimated from it for a
 * request on that server.
 */
import { ServerState, type BackendServer } from '@masticbend/settings/routing';
import type { EventTimes } from './event-times.js';
import { createRecentFailures, type RecentFailures } from './recent-failures.js';
import { createServerLimit, type ServerLimit } from './server-limit.js';
import type { Pace } from './server-pace.js';

/** Estimates for a server without observations: those of an average engine. */
const INITIAL_EVENT_INTERVAL_MS = 30;
const INITIAL_PREFILL_MS_PER_THOUSAND = 60;
const INITIAL_ANSWER_MS = 100;
/** Relative slow-down of an engine by each concurrent request. */
const SLOWDOWN_PER_REQUEST = 0.03;

/**
 * Maximum connections of an instance to one server. No more requests are sent there at once: one
 * without a connection waits where it can still be placed elsewhere or refused.
 */
export const MAX_CONNECTIONS_PER_SERVER = 40;

/** Size of a request, as placement needs it. */
export interface PlacedWork {
  /** Prompt tokens, 0 for plain services. */
  promptTokens: number;
  /** Expected number of events in the answer; 0 for plain services. */
  events: number;
}

/** State of one backend server. */
export interface ServerEntry {
  server: BackendServer;
  /** Requests of this instance that are in flight. */
  running: number;
  /** Prompt tokens of the requests that have no first event yet. */
  pendingPromptTokens: number;
  /** Requests in flight from each peer. */
  peerRunning: Map<string, number>;
  /** Time between two events of a stream. */
  eventIntervalMs: number | undefined;
  /** Time to the first event per thousand prompt tokens; the fixed time counts as one thousand. */
  prefillMsPerThousand: number | undefined;
  /** Time of a complete, non-streamed answer. */
  answerMs: number | undefined;
  /** Moving average of failed requests, 0 to 1. */
  failureRate: number;
  /** Consecutive failures without a response; those of one event count once. */
  consecutiveFailures: number;
  /** Time at which the last of them became known. */
  failedAt: number;
  ejectedUntil: number;
  /** Requests of this instance in flight for which the server has sent nothing for a while. */
  silent: number;
  /** A connection to the server was refused or broke, and it has not responded since. */
  isUnreachable: boolean;
  /** End of the exclusion after a request that the server did not run. */
  excludedUntil: number;
  /** The server said that it is leaving; its registration may not show it yet. */
  isLeaving: boolean;
  /** End of the pause that the server asked this instance for, and of those it asked peers for. */
  pausedUntil: number;
  peerPausedUntil: number;
  /** The server asked for a pause, after which its pace has not begun again yet. */
  hasPaused: boolean;
  /** What the server takes from all instances. */
  limit: ServerLimit;
  /** Limit of concurrent requests found from its answers; undefined where paces are off. */
  pace?: Pace;
  /** Times of its streams; undefined where pauses are not predicted. */
  eventTimes?: EventTimes;
  recentFailures: RecentFailures;
}

/** Returns whether the server may get new requests. */
export function isUsable(now: number, entry: ServerEntry): boolean {
  const { ejectedUntil, excludedUntil, pausedUntil } = entry;
  return !isGoing(entry) && Math.max(ejectedUntil, excludedUntil, pausedUntil) <= now;
}

/** Returns whether another request can be sent to the server at once. */
export function hasFreeConnection({ running }: ServerEntry): boolean {
  return running < MAX_CONNECTIONS_PER_SERVER;
}

/** Returns when a server that asked for a pause may be used again; undefined for any other. */
export function findPauseEnd(now: number, entry: ServerEntry): number | undefined {
  if (isGoing(entry) || entry.pausedUntil <= now) return undefined;
  return Math.max(entry.pausedUntil, entry.ejectedUntil, entry.excludedUntil);
}

/** Returns whether the server is leaving, by its registration or by its own answers. */
export function isGoing({ server, isLeaving }: ServerEntry): boolean {
  return isLeaving || server.state !== ServerState.Ready;
}

/** Returns the requests in flight at a server, from this instance and as reported by its peers. */
export function countHeld(entry: ServerEntry): number {
  let held = entry.running;
  for (const running of entry.peerRunning.values()) held += running;
  return held;
}

/** Returns the state of a server without observations. */
export function createServerEntry(
  server: BackendServer,
  pace?: Pace,
  eventTimes?: EventTimes,
): ServerEntry {
  return {
    server,
    running: 0,
    pendingPromptTokens: 0,
    peerRunning: new Map(),
    eventIntervalMs: undefined,
    prefillMsPerThousand: undefined,
    answerMs: undefined,
    failureRate: 0,
    consecutiveFailures: 0,
    failedAt: -Infinity,
    ejectedUntil: 0,
    silent: 0,
    isUnreachable: false,
    excludedUntil: 0,
    isLeaving: false,
    pausedUntil: 0,
    peerPausedUntil: 0,
    hasPaused: false,
    limit: createServerLimit(),
    pace,
    eventTimes,
    recentFailures: createRecentFailures(),
  };
}

/**
 * Estimates the time to the end of the answer beside `held` other requests, in milliseconds.
 * `pendingTokens` are the prompt tokens ahead where more than this instance's own are known.
 */
export function estimateFinishMs(
  entry: ServerEntry,
  work: PlacedWork,
  held: number,
  pendingTokens = entry.pendingPromptTokens,
): number {
  const { slots } = entry.server;
  if (work.events === 0) {
    const answerMs = entry.answerMs ?? INITIAL_ANSWER_MS;
    const excessRequests = Math.max(0, held + 1 - slots);
    return answerMs * (1 + excessRequests + (held / slots) * SLOWDOWN_PER_REQUEST);
  }
  const eventIntervalMs =
    (entry.eventIntervalMs ?? INITIAL_EVENT_INTERVAL_MS) *
    (1 + Math.min(held, slots) * SLOWDOWN_PER_REQUEST);
  return estimateFirstMs(entry, work, pendingTokens) + eventIntervalMs * work.events;
}

/**
 * Estimates the time to the first event, or to a plain service's complete answer, in milliseconds.
 */
export function estimateFirstMs(
  entry: ServerEntry,
  work: PlacedWork,
  pendingTokens = entry.pendingPromptTokens,
): number {
  if (work.events === 0) return entry.answerMs ?? INITIAL_ANSWER_MS;
  return estimatePrefillMs(entry, pendingTokens + work.promptTokens);
}

/**
 * Estimates the time to the first event with `tokens` prompt tokens to process, in milliseconds.
 */
export function estimatePrefillMs(entry: ServerEntry, tokens: number): number {
  return (tokens / 1_000 + 1) * (entry.prefillMsPerThousand ?? INITIAL_PREFILL_MS_PER_THOUSAND);
}
