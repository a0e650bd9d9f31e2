/**
 * Applies what backend servers say about themselves, learned from their answers, from peers and
 * from agents. What waits for a leaving server is then refused by its agent and placed elsewhere.
 */
import type { Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import type { ServerEntry } from '@masticbend/scheduling/server-entry';
import {
  recordLimit,
  recordNotice,
  recordPeerLimit,
  recordPeerNotice,
  type SharedNotice,
} from '@masticbend/scheduling/server-notice';
import type { LimitShare } from '@masticbend/scheduling/server-limit';
import type { ServerPool } from '@masticbend/scheduling/server-pool';
import type { ServerNotice } from '@masticbend/settings/routing';
import type { PermitClient } from './permit-client.js';

/** Handlers of notices, by their source. */
export interface ServerNotices {
  handleAnswer: (entry: ServerEntry, notice: ServerNotice) => void;
  handlePeer: (peer: string, notice: SharedNotice) => void;
  /** The agent of a server refuses permits because the server is leaving. */
  handleAgent: (server: string) => void;
}

/** Dependencies of the handlers. */
export interface ServerNoticesOptions {
  clock: Clock;
  log: Logger;
  serverPool: Pick<ServerPool, 'find'>;
  limitShare: LimitShare;
  reportLeaving: PermitClient['reportLeaving'];
}

/** Returns the handlers of notices. */
export function createServerNotices(options: ServerNoticesOptions): ServerNotices {
  const { clock, log, serverPool, limitShare, reportLeaving } = options;

  function handleLeaving(entry: ServerEntry, source: string): void {
    const { server } = entry;
    log.info(LogEvent.LeavingChanged, { server: server.id, born: server.bornAt, source });
    // The answer of an earlier incarnation may arrive when the next one has registered.
    if (serverPool.find(server.id) === entry) reportLeaving(server.id);
  }

  function writeLimit({ server, limit }: ServerEntry, source: string): void {
    log.info(LogEvent.ServerLimited, { server: server.id, limitPerS: limit.perSecond, source });
  }

  return {
    handleAnswer(entry, notice) {
      const { server } = entry;
      if (notice.pauseMs > 0) {
        log.info(LogEvent.ServerPaused, { server: server.id, pauseMs: notice.pauseMs });
      }
      if (recordNotice(clock.now(), entry, notice)) handleLeaving(entry, 'answer');
      if (recordLimit(clock.now(), entry, notice, limitShare)) writeLimit(entry, 'answer');
    },
    handlePeer(peer, notice) {
      const entry = serverPool.find(notice.server);
      if (!entry) return;
      const now = clock.now();
      if (recordPeerNotice(now, entry, notice)) handleLeaving(entry, peer);
      if (recordPeerLimit(now, entry, notice, limitShare)) writeLimit(entry, peer);
    },
    handleAgent(server) {
      const entry = serverPool.find(server);
      const notice = { isLeaving: true, pauseMs: 0 };
      if (entry && recordNotice(clock.now(), entry, notice)) handleLeaving(entry, 'agent');
    },
  };
}
