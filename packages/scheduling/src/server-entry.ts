/**
 * What one instance believes of a backend server, and the times that follow for a request there.
 */
import type { BackendServer } from '@masticbend/settings/routing';

/** Estimates for a server not yet observed: those of a middling engine. */
const INITIAL_PACE_MS = 30;
const INITIAL_READING_MS = 60;
const INITIAL_WORK_MS = 100;
/** Slow-down of an engine by each request beside, as a share of its pace. */
const CROWDING = 0.03;

/** What placement needs to know of a request. */
export interface PlacedWork {
  /** Prompt tokens, 0 for plain services. */
  promptTokens: number;
  /** Events that are expected in the answer; 0 for plain services. */
  events: number;
}

/** State of one backend server. */
export interface ServerEntry {
  server: BackendServer;
  /** Requests this instance has sent and that still run. */
  running: number;
  /** Prompt tokens of those that have not yet answered. */
  readingTokens: number;
  /** Requests that peers run there. */
  peerRunning: Map<string, number>;
  paceMs: number | undefined;
  /** Time to the first event for each thousand prompt tokens in line. */
  readingMs: number | undefined;
  /** Time of a whole answer that is no stream. */
  workMs: number | undefined;
  failureShare: number;
  failuresInRow: number;
  ejectedUntil: number;
}

/** Returns what is held at a server by all instances, as far as known. */
export function countHeld(entry: ServerEntry): number {
  let held = entry.running;
  for (const running of entry.peerRunning.values()) held += running;
  return held;
}

/** Returns the entry of a server of which nothing is known yet. */
export function createServerEntry(server: BackendServer): ServerEntry {
  return {
    server,
    running: 0,
    readingTokens: 0,
    peerRunning: new Map(),
    paceMs: undefined,
    readingMs: undefined,
    workMs: undefined,
    failureShare: 0,
    failuresInRow: 0,
    ejectedUntil: 0,
  };
}

/** Time to the end of the answer with so many requests held, in milliseconds. */
export function estimateFinishMs(entry: ServerEntry, work: PlacedWork, held: number): number {
  const { slots } = entry.server;
  if (work.events === 0) {
    const workMs = entry.workMs ?? INITIAL_WORK_MS;
    const excess = Math.max(0, held + 1 - slots);
    return workMs * (1 + excess + (held / slots) * CROWDING);
  }
  const paceMs = (entry.paceMs ?? INITIAL_PACE_MS) * (1 + Math.min(held, slots) * CROWDING);
  return estimateFirstMs(entry, work) + paceMs * work.events;
}

/** Time to the first event, or to the whole answer of a plain service, in milliseconds. */
export function estimateFirstMs(entry: ServerEntry, work: PlacedWork): number {
  if (work.events === 0) return entry.workMs ?? INITIAL_WORK_MS;
  return estimateReadingMs(entry, entry.readingTokens + work.promptTokens);
}

/** Time to the first event with so many prompt tokens to read, in milliseconds. */
export function estimateReadingMs(entry: ServerEntry, tokens: number): number {
  return (tokens / 1_000 + 1) * (entry.readingMs ?? INITIAL_READING_MS);
}
