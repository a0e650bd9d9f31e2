/**
 * Limits that backend servers name in their answers: the requests a second that a server takes from
 * all instances together. Each instance takes a part of it, in proportion to its demand, from a
 * bucket of its own. A bucket starts at, and overflows to, a random level: otherwise the buckets of
 * many instances would fill at the same time.
 */
import type { ServerEntry } from './server-entry.js';

/** Least rate at which a limited server is used, so that its answers show when the limit ends. */
const MIN_LIMIT_PER_S = 0.1;
/** Longest wait that is predicted, also where an instance has no part of the limit. */
const MAX_WAIT_MS = 10_000;
/** Time in which unused requests of a bucket accumulate, beyond the next one. */
const ACCUMULATION_MS = 1_000;

/** What an instance knows of a server's limit. Times are monotonic, in milliseconds. */
export interface ServerLimit {
  /** Requests a second from all instances; undefined where the server's answers name none. */
  perSecond: number | undefined;
  /** Time of the answer from which it is known. */
  heardAt: number;
  /** Requests that this instance may send now. */
  level: number;
  filledAt: number;
}

/** Where the part of an instance and its random levels come from. */
export interface LimitShare {
  /** Returns this instance's part of the limits of a service's servers, 0 to 1. */
  findPart: (service: string) => number;
  drawRandom: () => number;
}

/** Limit of a server without answers. */
export function createServerLimit(): ServerLimit {
  return { perSecond: undefined, heardAt: -Infinity, level: 0, filledAt: 0 };
}

/** Applies a limit unless a later one is known; returns whether it has changed. */
export function updateLimit(
  now: number,
  { limit }: ServerEntry,
  perSecond: number | undefined,
  heardAt: number,
  { drawRandom }: LimitShare,
): boolean {
  if (heardAt <= limit.heardAt) return false;
  const previous = limit.perSecond;
  limit.heardAt = heardAt;
  limit.perSecond = perSecond;
  if (previous === undefined) {
    limit.level = drawRandom();
    limit.filledAt = now;
  }
  return previous !== perSecond;
}

/** Returns the time until this instance may send a request to the server, in milliseconds. */
export function findLimitWaitMs(now: number, entry: ServerEntry, share: LimitShare): number {
  if (entry.limit.perSecond === undefined) return 0;
  const ratePerMs = refreshLevel(now, entry, share);
  const missing = 1 - entry.limit.level;
  return missing <= 0 ? 0 : Math.min(MAX_WAIT_MS, missing / ratePerMs);
}

/** Takes a request from the bucket of a limited server; false if there is none. */
export function tryTakeFromLimit(now: number, entry: ServerEntry, share: LimitShare): boolean {
  if (findLimitWaitMs(now, entry, share) > 0) return false;
  if (entry.limit.perSecond !== undefined) entry.limit.level -= 1;
  return true;
}

/** Fills the bucket up to now; returns its rate, in requests a millisecond. */
function refreshLevel(now: number, { limit, server }: ServerEntry, share: LimitShare): number {
  const perSecond = Math.max(limit.perSecond ?? 0, MIN_LIMIT_PER_S);
  const ratePerMs = (perSecond * share.findPart(server.service)) / 1_000;
  const maxLevel = 1 + ratePerMs * ACCUMULATION_MS;
  const level = limit.level + Math.max(0, now - limit.filledAt) * ratePerMs;
  limit.level = level > maxLevel ? share.drawRandom() * maxLevel : level;
  limit.filledAt = now;
  return ratePerMs;
}
