/**
 * Connections between the entries of a deployment. Of two entries, the one whose name sorts first
 * dials, and after a delay the other one as well, since the first may not know of it yet. Each
 * entry reports its running requests, its usage of the accounts' limits, the version of its
 * configuration and the notices of backend servers to the others; a peer is live while its reports
 * keep arriving.
 */
import { createServer, type Server, type Socket } from 'node:net';
import type { Clock } from '@masticbend/kernel/clock';
import type { ConnectionBounds } from '@masticbend/kernel/connection-bounds';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import { createConnection, type Connection } from '@masticbend/protocol/connection';
import { encodeFrame } from '@masticbend/protocol/frame';
import type {
  CrashEvidenceMessage,
  PeerReportMessage,
  TableReadMessage,
  TableRowsMessage,
  VersionRecordMessage,
} from '@masticbend/protocol/gateway-message';
import type { Message } from '@masticbend/protocol/message';
import type { AccountUsage } from '@masticbend/scheduling/shared-limit';
import { parseAddress } from '@masticbend/settings/address';
import type { Member } from './members.js';
import { dialSocket, startServer } from './network.js';
import { isOriginMessage, type OriginMessage } from './origin-exchange.js';
import { createReport, readReport, type OwnState, type PeerReport } from './peer-report.js';
import { isRolloutMessage, type RolloutMessage } from './rollout-reports.js';

/**
 * Shortest interval between reports while the state changes. It grows with each peer, so that the
 * traffic grows with the number of entries and not with its square. An unchanged state is reported
 * at the idle interval.
 */
const REPORT_INTERVAL_MS = 40;
const PEER_INTERVAL_MS = 6;
const IDLE_REPORT_INTERVAL_MS = 200;
/**
 * Time without a report after which a peer is no longer live, and its least multiple of the report
 * interval. A side of a partition uses the whole limits of accounts for this long.
 */
const PEER_TIMEOUT_MS = 700;
const PEER_TIMEOUT_INTERVALS = 2.2;
/** Time without a report after which a connection is closed, so that it is dialled again. */
const RECONNECT_TIMEOUT_MS = 1_500;
/** Interval at which an unconnected peer is dialled, and the timeout of one attempt. */
const DIAL_INTERVAL_MS = 300;
const DIAL_TIMEOUT_MS = 500;
/** Time without a connection after which the entry whose name sorts last dials as well. */
const LAST_DIAL_DELAY_MS = 1_000;

/** Connections of one entry to its peers. */
export interface PeerMesh {
  start: () => Promise<void>;
  stop: () => void;
  /** Names of the peers that are live. */
  listLive: () => string[];
  /** Names of the peers that get messages, now or once they read again. */
  listConnected: () => string[];
  /** Sends a message to a connected peer. */
  send: (peer: string, message: Message) => void;
  setMembers: (members: readonly Member[]) => void;
  dump: () => unknown;
}

/** Dependencies of the mesh. */
export interface PeerMeshOptions {
  self: Member;
  incarnation: string;
  clock: Clock;
  log: Logger;
  /** Bounds of the connections that others open. */
  bounds?: ConnectionBounds;
  describeState: () => OwnState;
  onReport: (peer: string, report: PeerReport) => void;
  onTableMessage: (peer: string, message: TableReadMessage | TableRowsMessage) => void;
  onOriginMessage: (peer: string, message: OriginMessage) => void;
  onCrashMessage: (peer: string, message: CrashEvidenceMessage) => void;
  onVersionRecord: (message: VersionRecordMessage) => void;
  onRolloutMessage: (peer: string, incarnation: string, message: RolloutMessage) => void;
  /** A connection to the peer was opened. */
  onOpened: (peer: string) => void;
  /** The peer is no longer live or connected; its last reports are no longer valid. */
  onLost: (peer: string) => void;
  /** Called in each round of checks and reports, with the number of live peers. */
  onRound: (livePeers: number) => void;
}

interface Peer {
  instance: string;
  incarnation: string;
  connection: Connection;
  lastReportAt: number;
  isLive: boolean;
  /** Total usage reported by the peer, by account; undefined before its first report. */
  usage: Map<string, AccountUsage> | undefined;
}

/** Returns a mesh that is not listening yet. */
export function createPeerMesh(options: PeerMeshOptions): PeerMesh {
  const { self, incarnation, clock, log, describeState, onReport, onLost, onRound } = options;
  const peers = new Map<string, Peer>();
  const lastDialAt = new Map<string, number>();
  /** Times since which members are not connected. */
  const missingSince = new Map<string, number>();
  /** Usage of each instance's last incarnation, kept while it is not connected. */
  const lastUsage = new Map<string, { incarnation: string; usage: Map<string, AccountUsage> }>();
  let members: readonly Member[] = [];
  let server: Server | undefined;
  let stopRoundTimer = () => {};
  let lastSentAt = 0;
  /** Total usage in this entry's last report. */
  let reportedUsage = new Map<string, AccountUsage>();
  /** The other fields of the last report, for comparison. */
  let reportedState = '';

  function acceptConnection(socket: Socket): void {
    openConnection(socket, options.bounds);
  }

  function openConnection(socket: Socket, bounds?: ConnectionBounds): void {
    let peer: Peer | undefined;
    const accepted = bounds && { bounds, isKnown: () => peer !== undefined };
    const connection = createConnection(
      socket,
      clock,
      {
        onMessage(message) {
          if (message.kind === 'peer-hello') {
            peer = addPeer(message.instance, message.incarnation, connection);
          } else if (message.kind === 'peer-report' && peer) {
            receiveReport(peer, message);
          } else if (isTableMessage(message) && peer) {
            options.onTableMessage(peer.instance, message);
          } else if (isOriginMessage(message) && peer) {
            options.onOriginMessage(peer.instance, message);
          } else if (message.kind === 'crash-evidence' && peer) {
            options.onCrashMessage(peer.instance, message);
          } else if (message.kind === 'version-record' && peer) {
            options.onVersionRecord(message);
          } else if (isRolloutMessage(message) && peer) {
            options.onRolloutMessage(peer.instance, peer.incarnation, message);
          }
        },
        onClose(reason) {
          if (peer && peers.get(peer.instance) === peer) dropPeer(peer, reason);
        },
      },
      accepted,
    );
    connection.send({ kind: 'peer-hello', instance: self.instance, incarnation });
    connection.send(createReport({ ...describeState(), usage: reportedUsage }));
  }

  function addPeer(instance: string, peerIncarnation: string, connection: Connection): Peer {
    const previous = peers.get(instance);
    const last = lastUsage.get(instance);
    const peer: Peer = {
      instance,
      incarnation: peerIncarnation,
      connection,
      lastReportAt: clock.now(),
      isLive: true,
      usage: last?.incarnation === peerIncarnation ? last.usage : undefined,
    };
    peers.set(instance, peer);
    if (previous && previous.connection !== connection) previous.connection.close('replaced');
    log.info(LogEvent.PeerOpened, { peer: instance, incarnation: peerIncarnation });
    options.onOpened(instance);
    return peer;
  }

  function dropPeer(peer: Peer, reason: string): void {
    peers.delete(peer.instance);
    const ageMs = Math.round(clock.now() - peer.lastReportAt);
    log.info(LogEvent.PeerClosed, { peer: peer.instance, reason, ageMs });
    onLost(peer.instance);
  }

  function receiveReport(peer: Peer, message: PeerReportMessage): void {
    peer.lastReportAt = clock.now();
    peer.isLive = true;
    const { report, totals } = readReport(message, peer.usage);
    peer.usage = totals;
    lastUsage.set(peer.instance, { incarnation: peer.incarnation, usage: totals });
    onReport(peer.instance, report);
  }

  function dialMissingPeers(now: number): void {
    for (const { instance, address } of members) {
      if (peers.has(instance)) missingSince.delete(instance);
      else if (!missingSince.has(instance)) missingSince.set(instance, now);
      const delayMs = self.instance < instance ? 0 : LAST_DIAL_DELAY_MS;
      const dialAt = Math.max(
        (missingSince.get(instance) ?? Infinity) + delayMs,
        (lastDialAt.get(instance) ?? -Infinity) + DIAL_INTERVAL_MS,
      );
      if (dialAt <= now) {
        lastDialAt.set(instance, now);
        dialSocket(clock, { ...parseAddress(address), timeoutMs: DIAL_TIMEOUT_MS }, (socket) =>
          openConnection(socket),
        );
      }
    }
  }

  function checkPeers(now: number): void {
    for (const peer of [...peers.values()]) {
      const sinceReportMs = now - peer.lastReportAt;
      if (sinceReportMs > RECONNECT_TIMEOUT_MS) peer.connection.close('no reports');
      else if (sinceReportMs > computePeerTimeoutMs() && peer.isLive) {
        peer.isLive = false;
        onLost(peer.instance);
      }
    }
  }

  function computeReportIntervalMs(): number {
    return REPORT_INTERVAL_MS + peers.size * PEER_INTERVAL_MS;
  }

  function computePeerTimeoutMs(): number {
    return Math.max(PEER_TIMEOUT_MS, computeReportIntervalMs() * PEER_TIMEOUT_INTERVALS);
  }

  /** Reports the changes since the last report; a new connection starts with all totals. */
  function sendReports(now: number): void {
    const elapsedMs = now - lastSentAt;
    if (peers.size === 0 || elapsedMs < computeReportIntervalMs()) return;
    const state = describeState();
    const changed = [...state.usage].filter(([name, total]) => total !== reportedUsage.get(name));
    const report = createReport({ ...state, usage: new Map(changed) });
    const { servers, running, version, noticeServers, noticeLeaving, noticeLimitPerS } = report;
    const notices = [noticeServers, noticeLeaving, noticeLimitPerS];
    const stateText = [version, servers, running, ...notices].join(';');
    const isUnchanged = changed.length === 0 && stateText === reportedState;
    if (isUnchanged && elapsedMs < IDLE_REPORT_INTERVAL_MS) return;
    reportedUsage = new Map(state.usage);
    reportedState = stateText;
    lastSentAt = now;
    const frame = encodeFrame(report);
    for (const { connection } of peers.values()) connection.sendFrame(frame);
  }

  function listLive(): string[] {
    return [...peers.values()].filter(({ isLive }) => isLive).map(({ instance }) => instance);
  }

  function runRound(): void {
    const now = clock.now();
    checkPeers(now);
    dialMissingPeers(now);
    sendReports(now);
    onRound(listLive().length);
    stopRoundTimer = clock.startTimer(REPORT_INTERVAL_MS, runRound);
  }

  return {
    start() {
      server = createServer({ noDelay: true }, acceptConnection);
      runRound();
      return startServer(server, self.address);
    },
    stop() {
      stopRoundTimer();
      server?.close();
      for (const peer of [...peers.values()]) peer.connection.close('stopping');
    },
    listLive,
    listConnected: () => [...peers.keys()],
    send(peer, message) {
      peers.get(peer)?.connection.send(message);
    },
    setMembers(next) {
      members = next;
    },
    dump: () => ({
      members: members.length,
      peers: [...peers.values()].map(({ instance, isLive }) => ({ instance, heard: isLive })),
    }),
  };
}

function isTableMessage(message: Message): message is TableReadMessage | TableRowsMessage {
  return message.kind === 'table-read' || message.kind === 'table-rows';
}
