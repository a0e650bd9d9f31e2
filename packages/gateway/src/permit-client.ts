/**
 * Client side of the permit protocol: one connection to the agent of each engine. An agent is
 * usable while its reports keep arriving. When it stops being usable, its pending permit requests
 * are reported as lost at once, so that the requests can be placed elsewhere.
 */
import type { Socket } from 'node:net';
import type { Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import { createConnection, type Connection } from '@masticbend/protocol/connection';
import type {
  PermitRefusalMessage,
  PermitReportMessage,
  PermitRequestMessage,
} from '@masticbend/protocol/gateway-message';
import type { Message } from '@masticbend/protocol/message';
import type { PermitOutcome } from '@masticbend/scheduling/permit-queue';
import type { ClosedRank } from '@masticbend/scheduling/rank-admission';
import type { AgentLoad } from '@masticbend/scheduling/server-candidate';
import { parseAddress } from '@masticbend/settings/address';
import type { BackendServer } from '@masticbend/settings/routing';
import { dialSocket } from './network.js';

/**
 * Time without a message after which an agent with waiting requests of this entry is no longer
 * usable; for other agents, the multiple of the interval that they announce.
 */
const AGENT_TIMEOUT_MS = 500;
const AGENT_TIMEOUT_INTERVALS = 2.5;
/** Assumed interval until an agent has announced its own. */
const INITIAL_REPORT_INTERVAL_MS = 200;
/** Intervals at which agents are checked, and at which an unreachable one is dialled again. */
const CHECK_INTERVAL_MS = 50;
const DIAL_INTERVAL_MS = 400;
const DIAL_TIMEOUT_MS = 400;

/** Answers to permit requests. */
export interface PermitEvents {
  onPermit: (server: string, request: string) => void;
  onRefusal: (server: string, request: string, waitMs: number) => void;
  /** The agent reports that its server is leaving. */
  onLeaving: (server: string) => void;
  /** The permit request was dropped: its agent is lost, or its server is leaving. */
  onLost: (server: string, request: string) => void;
}

/** Client of all agents. */
export interface PermitClient {
  setServers: (servers: readonly BackendServer[]) => void;
  /** Returns the load of a server whose agent is usable; undefined for any other. */
  findLoad: (server: string) => AgentLoad | undefined;
  /** Returns the highest closed rank of a usable agent's queue; undefined where all are open. */
  findClosedRank: (server: string) => ClosedRank | undefined;
  requestPermit: (server: string, permitRequest: Omit<PermitRequestMessage, 'kind'>) => void;
  /**
   * Withdraws a permit request, or returns the permit of a request that has ended. `isPlaced` is
   * false where a withdrawn request got no slot elsewhere.
   */
  release: (server: string, request: string, outcome?: PermitOutcome, isPlaced?: boolean) => void;
  /** Tells the agent of a server that the server is leaving. */
  reportLeaving: (server: string) => void;
  /** The first output of a request has arrived. */
  reportFirstOutput: (server: string, request: string) => void;
  /** Registers a request as running at a server, with or without a permit, until `release`. */
  addRunning: (server: string, request: string) => void;
  start: () => void;
  stop: () => void;
}

/** Dependencies of the client. */
export interface PermitClientOptions {
  instance: string;
  /** Port on which all agents listen. */
  port: number;
  clock: Clock;
  log: Logger;
  events: PermitEvents;
}

/** Load and closed rank in a message of an agent. */
type ReportedLoad = AgentLoad & Pick<PermitReportMessage, 'closedRank' | 'closedPlaced'>;

interface AgentLink {
  server: BackendServer;
  connection: Connection | undefined;
  isDialling: boolean;
  lastDialAt: number;
  lastReportAt: number;
  /** Interval at which the agent reports while no request of this entry waits there. */
  reportIntervalMs: number;
  /** Time at which the first of the requests that now wait there was sent. */
  pendingSince: number;
  usable: boolean;
  /** The server is known to be leaving. */
  isLeaving: boolean;
  load: AgentLoad;
  closed?: ClosedRank;
  pendingRequests: Set<string>;
  running: Set<string>;
  /** Most of them at once when one was answered, since the last failure. */
  proven: number;
}

/** Returns a client without agents. */
export function createPermitClient(options: PermitClientOptions): PermitClient {
  const { instance, port, clock, log, events } = options;
  const links = new Map<string, AgentLink>();
  let stopCheck = () => {};

  function dial(link: AgentLink): void {
    const { host } = parseAddress(link.server.address);
    link.isDialling = true;
    link.lastDialAt = clock.now();
    dialSocket(
      clock,
      { host, port, timeoutMs: DIAL_TIMEOUT_MS },
      (socket) => openLink(link, socket),
      () => {
        link.isDialling = false;
      },
    );
  }

  function openLink(link: AgentLink, socket: Socket): void {
    if (links.get(link.server.id) !== link) {
      socket.destroy();
      return;
    }
    const connection = createConnection(socket, clock, {
      onMessage: (message) => receiveMessage(link, message),
      onClose(reason) {
        if (link.connection === connection) handleDisconnect(link, reason);
      },
    });
    link.connection = connection;
    connection.send({
      kind: 'permit-hello',
      instance,
      server: link.server.id,
      bornAt: link.server.bornAt,
      leaving: link.isLeaving,
      slots: link.server.slots,
      running: [...link.running],
      proven: link.proven,
    });
  }

  function receiveMessage(link: AgentLink, message: Message): void {
    if (message.kind === 'permit') receivePermit(link, message.request, message);
    else if (message.kind === 'permit-report') receiveReport(link, message);
    else if (message.kind === 'permit-refusal') receiveRefusal(link, message);
  }

  function receiveReport(link: AgentLink, message: PermitReportMessage): void {
    link.reportIntervalMs = message.intervalMs;
    receiveLoad(link, message);
  }

  function receiveRefusal(link: AgentLink, message: PermitRefusalMessage): void {
    receiveLoad(link, message);
    if (message.leaving && !link.isLeaving) {
      link.isLeaving = true;
      events.onLeaving(link.server.id);
    }
    if (!link.pendingRequests.delete(message.request)) return;
    if (message.leaving) events.onLost(link.server.id, message.request);
    else events.onRefusal(link.server.id, message.request, message.waitMs);
  }

  function receiveLoad(link: AgentLink, load: ReportedLoad): void {
    const { closedRank, closedPlaced = 0 } = load;
    const { held, pendingTokens, heldTokens, prefillMs, waitsMs } = load;
    link.lastReportAt = clock.now();
    link.load = { held, pendingTokens, heldTokens, prefillMs, waitsMs };
    link.closed = closedRank === undefined ? undefined : { rank: closedRank, placed: closedPlaced };
    if (link.usable) return;
    link.usable = true;
    log.info(LogEvent.AgentChanged, { server: link.server.id, usable: true, held });
  }

  function receivePermit(link: AgentLink, request: string, load: ReportedLoad): void {
    receiveLoad(link, load);
    if (link.pendingRequests.delete(request)) {
      link.running.add(request);
      events.onPermit(link.server.id, request);
    } else if (!link.running.has(request)) {
      link.connection?.send({ kind: 'permit-release', request });
    }
  }

  function handleDisconnect(link: AgentLink, reason: string): void {
    const wasUsable = link.usable;
    const ageMs = Math.round(clock.now() - link.lastReportAt);
    link.connection = undefined;
    link.usable = false;
    if (wasUsable) {
      log.info(LogEvent.AgentChanged, { server: link.server.id, usable: false, reason, ageMs });
    }
    dropPendingRequests(link);
  }

  function dropPendingRequests(link: AgentLink): void {
    const lostRequests = [...link.pendingRequests];
    link.pendingRequests.clear();
    for (const request of lostRequests) events.onLost(link.server.id, request);
  }

  function checkLinks(): void {
    const now = clock.now();
    for (const link of links.values()) {
      if (!link.connection && !link.isDialling && now - link.lastDialAt >= DIAL_INTERVAL_MS) {
        dial(link);
      } else if (link.connection && link.usable && isSilent(now, link)) {
        // The agent may be suspended. The hello message of a new connection reports the running
        // requests to it once it resumes.
        link.connection.close('no reports');
      }
    }
    stopCheck = clock.startTimer(CHECK_INTERVAL_MS, checkLinks);
  }

  function isSilent(now: number, link: AgentLink): boolean {
    const silentMs = now - link.lastReportAt;
    if (silentMs > link.reportIntervalMs * AGENT_TIMEOUT_INTERVALS) return true;
    if (link.pendingRequests.size === 0) return false;
    return Math.min(silentMs, now - link.pendingSince) > AGENT_TIMEOUT_MS;
  }

  return {
    setServers(servers) {
      const listedIds = new Set(servers.map(({ id }) => id));
      for (const [id, link] of links) {
        if (!listedIds.has(id)) {
          links.delete(id);
          link.connection?.close('server is gone');
        }
      }
      for (const server of servers) {
        const link = links.get(server.id);
        const isSame =
          link?.server.address === server.address && link.server.bornAt === server.bornAt;
        if (isSame) link.server = server;
        else {
          link?.connection?.close('server was replaced');
          links.set(server.id, createLink(server));
        }
      }
    },
    findLoad(server) {
      const link = links.get(server);
      return link?.usable ? link.load : undefined;
    },
    findClosedRank(server) {
      const link = links.get(server);
      return link?.usable ? link.closed : undefined;
    },
    requestPermit(server, permitRequest) {
      const link = links.get(server);
      if (!link) return;
      if (link.pendingRequests.size === 0) link.pendingSince = clock.now();
      link.pendingRequests.add(permitRequest.request);
      // Counts the request until the agent's next message, so that several simultaneous requests do
      // not assume the same free slot.
      if (link.load.held < link.server.slots) link.load.held += 1;
      link.load.pendingTokens += permitRequest.promptTokens;
      link.load.heldTokens = (link.load.heldTokens ?? 0) + permitRequest.tokens;
      link.connection?.send({ kind: 'permit-request', ...permitRequest });
    },
    reportFirstOutput(server, request) {
      const link = links.get(server);
      if (link?.running.has(request)) link.connection?.send({ kind: 'permit-started', request });
    },
    release(server, request, outcome, isPlaced) {
      const link = links.get(server);
      if (!link) return;
      if (outcome === 'answered') link.proven = Math.max(link.proven, link.running.size);
      else if (outcome === 'failed') link.proven = 0;
      const wasKnown = link.pendingRequests.delete(request) || link.running.delete(request);
      if (wasKnown) {
        link.connection?.send({ kind: 'permit-release', request, outcome, placed: isPlaced });
      }
    },
    reportLeaving(server) {
      const link = links.get(server);
      if (!link || link.isLeaving) return;
      link.isLeaving = true;
      link.connection?.send({ kind: 'permit-leaving', bornAt: link.server.bornAt });
    },
    addRunning(server, request) {
      links.get(server)?.running.add(request);
    },
    start: checkLinks,
    stop() {
      stopCheck();
      for (const link of links.values()) link.connection?.close('stopping');
    },
  };
}

function createLink(server: BackendServer): AgentLink {
  return {
    server,
    connection: undefined,
    isDialling: false,
    lastDialAt: -Infinity,
    lastReportAt: 0,
    reportIntervalMs: INITIAL_REPORT_INTERVAL_MS,
    pendingSince: 0,
    usable: false,
    isLeaving: false,
    load: { held: 0, pendingTokens: 0, waitsMs: [0] },
    pendingRequests: new Set(),
    running: new Set(),
    proven: 0,
  };
}
