/**
 * Connections between the entries of a deployment. Of two entries the one with the lesser name
 * dials. Each sends the others what it runs and what it has admitted; a peer counts as heard while
 * its reports keep coming.
 */
import { createServer, type Server, type Socket } from 'node:net';
import type { Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import { createConnection, type Connection } from '@masticbend/protocol/connection';
import type { PeerReportMessage } from '@masticbend/protocol/gateway-message';
import { parseAddress } from '@masticbend/settings/address';
import type { Member } from './members.js';
import { dialSocket, startServer } from './network.js';

/**
 * Interval of reports while something changes, more of it for each peer so that the traffic grows
 * with the number of entries and not its square, and the interval at rest, in milliseconds.
 */
const REPORT_INTERVAL_MS = 40;
const PEER_INTERVAL_MS = 3;
const REST_INTERVAL_MS = 200;
/** Silence after which a peer no longer counts as heard, in milliseconds. */
const HEARD_LIMIT_MS = 700;
/** Silence after which a connection is dialled anew, in milliseconds. */
const STUCK_LIMIT_MS = 1_500;
/** Pause between two tries to dial a peer, and the longest wait for one, in milliseconds. */
const DIAL_INTERVAL_MS = 300;
const DIAL_LIMIT_MS = 500;

/** What a peer has reported. */
export interface PeerReport {
  running: ReadonlyMap<string, number>;
  /** Units it admitted since its last report, by account. */
  admitted: ReadonlyMap<string, number>;
}

/** Mesh of one entry. */
export interface PeerMesh {
  start: () => Promise<void>;
  stop: () => void;
  setMembers: (members: readonly Member[]) => void;
  dump: () => unknown;
}

/** What the mesh needs. */
export interface PeerMeshOptions {
  self: Member;
  incarnation: string;
  clock: Clock;
  log: Logger;
  /** What this entry reports now. */
  describe: () => { running: ReadonlyMap<string, number>; admitted: ReadonlyMap<string, number> };
  onReport: (peer: string, report: PeerReport) => void;
  /** The peer's reports no longer hold. */
  onLost: (peer: string) => void;
  /** Called at each round of reports, with the number of peers heard. */
  onRound: (heard: number) => void;
}

interface Peer {
  instance: string;
  incarnation: string;
  connection: Connection;
  heardAt: number;
  heard: boolean;
  units: Map<string, number> | undefined;
}

/** Returns a mesh that does not listen yet. */
export function createPeerMesh(options: PeerMeshOptions): PeerMesh {
  const { self, incarnation, clock, log, describe, onReport, onLost, onRound } = options;
  const peers = new Map<string, Peer>();
  const dialledAt = new Map<string, number>();
  /** Units of each instance's last incarnation, kept while its connection is away. */
  const lastUnits = new Map<string, { incarnation: string; units: Map<string, number> }>();
  let members: readonly Member[] = [];
  let server: Server | undefined;
  let stopRound = () => {};
  let lastSentAt = 0;
  /** Units in the last report. */
  let reportedUnits = new Map<string, number>();
  let reportedRunning = '';

  function openConnection(socket: Socket): void {
    let peer: Peer | undefined;
    const connection = createConnection(socket, clock, {
      onMessage(message) {
        if (message.kind === 'peer-hello') {
          peer = addPeer(message.instance, message.incarnation, connection);
        } else if (message.kind === 'peer-report' && peer) {
          receiveReport(peer, message);
        }
      },
      onClose(reason) {
        if (peer && peers.get(peer.instance) === peer) dropPeer(peer, reason);
      },
    });
    connection.send({ kind: 'peer-hello', instance: self.instance, incarnation });
    connection.send(createReport(describe().running, reportedUnits));
  }

  function addPeer(instance: string, peerIncarnation: string, connection: Connection): Peer {
    const known = peers.get(instance);
    const last = lastUnits.get(instance);
    const peer: Peer = {
      instance,
      incarnation: peerIncarnation,
      connection,
      heardAt: clock.now(),
      heard: true,
      units: last?.incarnation === peerIncarnation ? last.units : undefined,
    };
    peers.set(instance, peer);
    if (known && known.connection !== connection) known.connection.close('replaced');
    log.info(LogEvent.PeerOpened, { peer: instance, incarnation: peerIncarnation });
    return peer;
  }

  function dropPeer(peer: Peer, reason: string): void {
    peers.delete(peer.instance);
    const ageMs = Math.round(clock.now() - peer.heardAt);
    log.info(LogEvent.PeerClosed, { peer: peer.instance, reason, ageMs });
    onLost(peer.instance);
  }

  function receiveReport(peer: Peer, message: PeerReportMessage): void {
    peer.heardAt = clock.now();
    peer.heard = true;
    const isFirst = peer.units === undefined;
    const units = peer.units ?? new Map<string, number>();
    const admitted = new Map<string, number>();
    message.accounts.forEach((account, index) => {
      const total = message.units[index] ?? 0;
      // What a peer admitted before it was first heard was taken from its own part.
      const before = isFirst ? total : (units.get(account) ?? 0);
      if (total !== before) admitted.set(account, total - before);
      units.set(account, total);
    });
    peer.units = units;
    lastUnits.set(peer.instance, { incarnation: peer.incarnation, units });
    const running = new Map(message.servers.map((id, index) => [id, message.running[index] ?? 0]));
    onReport(peer.instance, { running, admitted });
  }

  /** Reports what runs, and the given totals of admitted units. */
  function createReport(
    running: ReadonlyMap<string, number>,
    units: ReadonlyMap<string, number>,
  ): PeerReportMessage {
    return {
      kind: 'peer-report',
      servers: [...running.keys()],
      running: [...running.values()],
      accounts: [...units.keys()],
      units: [...units.values()],
    };
  }

  function dialMissing(now: number): void {
    for (const { instance, address } of members) {
      const due = (dialledAt.get(instance) ?? -Infinity) + DIAL_INTERVAL_MS <= now;
      if (self.instance < instance && !peers.has(instance) && due) {
        dialledAt.set(instance, now);
        dialSocket(clock, { ...parseAddress(address), limitMs: DIAL_LIMIT_MS }, openConnection);
      }
    }
  }

  function checkPeers(now: number): void {
    for (const peer of [...peers.values()]) {
      const silentMs = now - peer.heardAt;
      if (silentMs > STUCK_LIMIT_MS) peer.connection.close('no reports');
      else if (silentMs > HEARD_LIMIT_MS && peer.heard) {
        peer.heard = false;
        onLost(peer.instance);
      }
    }
  }

  /** Sends what changed since the last report; a new connection begins with all totals. */
  function sendReports(now: number): void {
    const sinceMs = now - lastSentAt;
    if (peers.size === 0 || sinceMs < REPORT_INTERVAL_MS + peers.size * PEER_INTERVAL_MS) return;
    const { running, admitted } = describe();
    const changed = [...admitted].filter(([name, units]) => units !== reportedUnits.get(name));
    const report = createReport(running, new Map(changed));
    const runningText = report.servers.join() + report.running.join();
    const isSame = changed.length === 0 && runningText === reportedRunning;
    if (isSame && sinceMs < REST_INTERVAL_MS) return;
    reportedUnits = new Map(admitted);
    reportedRunning = runningText;
    lastSentAt = now;
    for (const { connection } of peers.values()) connection.send(report);
  }

  function countHeard(): number {
    return [...peers.values()].filter(({ heard }) => heard).length;
  }

  function runRound(): void {
    const now = clock.now();
    checkPeers(now);
    dialMissing(now);
    sendReports(now);
    onRound(countHeard());
    stopRound = clock.startTimer(REPORT_INTERVAL_MS, runRound);
  }

  return {
    start() {
      server = createServer({ noDelay: true }, openConnection);
      runRound();
      return startServer(server, self.address);
    },
    stop() {
      stopRound();
      server?.close();
      for (const peer of [...peers.values()]) peer.connection.close('stopping');
    },
    setMembers(next) {
      members = next;
    },
    dump: () => ({
      members: members.length,
      peers: [...peers.values()].map(({ instance, heard }) => ({ instance, heard })),
    }),
  };
}
