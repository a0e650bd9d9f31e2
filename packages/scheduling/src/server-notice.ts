/**
 * Notices of backend servers about themselves, sent with their answers: that they are leaving, or
 * that the instance is to pause. A leaving incarnation gets no new requests from any instance. A
 * pause binds only the instance that was asked for it; its peers prefer other servers meanwhile. A
 * limit binds all instances together; the latest answer of the server decides.
 */
import type { ServerNotice } from '@masticbend/settings/routing';
import type { ServerEntry } from './server-entry.js';
import { updateLimit, type LimitShare } from './server-limit.js';

/** A notice as instances pass it on to each other. */
export interface SharedNotice extends ServerNotice {
  server: string;
  bornAt: number;
  /** Time since the answer from which the limit is known, in milliseconds. */
  limitAgeMs: number;
}

/** Time for which instances tell each other that a limit has ended. */
const LIMIT_END_MS = 10_000;

/** Applies a notice from an answer; returns true if the server is known to leave only now. */
export function recordNotice(
  now: number,
  entry: ServerEntry,
  { isLeaving, pauseMs }: ServerNotice,
): boolean {
  entry.pausedUntil = Math.max(entry.pausedUntil, now + pauseMs);
  entry.hasPaused ||= pauseMs > 0;
  const isNews = isLeaving && !entry.isLeaving;
  entry.isLeaving ||= isLeaving;
  return isNews;
}

/** Applies a peer's notice; returns true if the server is known to leave only now. */
export function recordPeerNotice(
  now: number,
  entry: ServerEntry,
  { bornAt, isLeaving, pauseMs }: SharedNotice,
): boolean {
  if (entry.server.bornAt !== bornAt) return false;
  entry.peerPausedUntil = Math.max(entry.peerPausedUntil, now + pauseMs);
  const isNews = isLeaving && !entry.isLeaving;
  entry.isLeaving ||= isLeaving;
  return isNews;
}

/** Applies the limit in an answer; returns whether it has changed. */
export function recordLimit(
  now: number,
  entry: ServerEntry,
  { limitPerS }: ServerNotice,
  share: LimitShare,
): boolean {
  if (limitPerS === undefined) return false;
  if (limitPerS === 'none' && entry.limit.perSecond === undefined) return false;
  return updateLimit(now, entry, readLimit(limitPerS), now, share);
}

/** Applies a limit that a peer knows; returns whether it has changed. */
export function recordPeerLimit(
  now: number,
  entry: ServerEntry,
  { bornAt, limitPerS, limitAgeMs }: SharedNotice,
  share: LimitShare,
): boolean {
  if (limitPerS === undefined || entry.server.bornAt !== bornAt) return false;
  return updateLimit(now, entry, readLimit(limitPerS), now - limitAgeMs, share);
}

/** Returns the notices that are in force, to be passed on to peers. */
export function listNotices(now: number, entries: readonly ServerEntry[]): SharedNotice[] {
  return entries
    .filter(
      (entry) =>
        entry.isLeaving || entry.pausedUntil > now || describeLimit(now, entry) !== undefined,
    )
    .map((entry) => ({ ...entry, limitPerS: describeLimit(now, entry) }))
    .map(({ server, isLeaving, pausedUntil, limit, limitPerS }) => ({
      server: server.id,
      bornAt: server.bornAt,
      isLeaving,
      pauseMs: Math.max(0, pausedUntil - now),
      limitPerS,
      limitAgeMs: limitPerS === undefined ? 0 : now - limit.heardAt,
    }));
}

function readLimit(limitPerS: number | 'none'): number | undefined {
  return limitPerS === 'none' ? undefined : limitPerS;
}

/** Returns the limit as peers are told it; undefined where they need not know it. */
function describeLimit(now: number, { limit }: ServerEntry): number | 'none' | undefined {
  if (limit.perSecond !== undefined) return limit.perSecond;
  return now - limit.heardAt < LIMIT_END_MS ? 'none' : undefined;
}
