/**
 * Notices of backend servers about themselves, sent with their answers: that they are leaving, or
 * that the instance is to pause. A leaving incarnation gets no new requests from any instance. A
 * pause binds only the instance that was asked for it; its peers prefer other servers meanwhile.
 */
import type { ServerNotice } from '@masticbend/settings/routing';
import type { ServerEntry } from './server-entry.js';

/** A notice as instances pass it on to each other. */
export interface SharedNotice extends ServerNotice {
  server: string;
  bornAt: number;
}

/** Applies a notice from an answer; returns true if the server is known to leave only now. */
export function recordNotice(
  now: number,
  entry: ServerEntry,
  { isLeaving, pauseMs }: ServerNotice,
): boolean {
  entry.pausedUntil = Math.max(entry.pausedUntil, now + pauseMs);
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

/** Returns the notices that are in force, to be passed on to peers. */
export function listNotices(now: number, entries: readonly ServerEntry[]): SharedNotice[] {
  return entries
    .filter(({ isLeaving, pausedUntil }) => isLeaving || pausedUntil > now)
    .map(({ server, isLeaving, pausedUntil }) => ({
      server: server.id,
      bornAt: server.bornAt,
      isLeaving,
      pauseMs: Math.max(0, pausedUntil - now),
    }));
}
