/**
 * The entry's side of permits: one connection to the agent beside each engine. An agent counts as
 * usable while its reports keep coming; what waits at one that is not is handed back at once, so
 * that the request can go another way.
 */
import type { Socket } from 'node:net';
import type { Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import { createConnection, type Connection } from '@masticbend/protocol/connection';
import type {
  PermitRefusalMessage,
  PermitRequestMessage,
} from '@masticbend/protocol/gateway-message';
import type { Message } from '@masticbend/protocol/message';
import type { AgentLoad } from '@masticbend/scheduling/server-board';
import { parseAddress } from '@masticbend/settings/address';
import type { BackendServer } from '@masticbend/settings/routing';
import { dialSocket } from './network.js';

/** Silence after which an agent is not asked any more, in milliseconds. */
const HEARD_LIMIT_MS = 500;
/** Interval of the check of agents, and the pause between two tries to dial one. */
const CHECK_INTERVAL_MS = 50;
const DIAL_INTERVAL_MS = 400;
const DIAL_LIMIT_MS = 400;

/** Answers to wishes. */
export interface PermitEvents {
  onPermit: (server: string, request: string) => void;
  onRefusal: (server: string, request: string, waitMs: number) => void;
  /** The agent is gone or silent; the wish was dropped. */
  onLost: (server: string, request: string) => void;
}

/** Client of all agents. */
export interface PermitClient {
  setServers: (servers: readonly BackendServer[]) => void;
  /** Returns the load of a server whose agent can be asked. */
  findLoad: (server: string) => AgentLoad | undefined;
  ask: (server: string, wish: Omit<PermitRequestMessage, 'kind'>) => void;
  release: (server: string, request: string) => void;
  /** Notes a request that was sent without a permit, and its end by `release`. */
  addRunning: (server: string, request: string) => void;
  start: () => void;
  stop: () => void;
}

/** What the client needs. */
export interface PermitClientOptions {
  instance: string;
  /** Port of the agents, the same on all instances. */
  port: number;
  clock: Clock;
  log: Logger;
  events: PermitEvents;
}

interface AgentLink {
  server: BackendServer;
  connection: Connection | undefined;
  dialling: boolean;
  dialledAt: number;
  heardAt: number;
  usable: boolean;
  load: AgentLoad;
  wishes: Set<string>;
  running: Set<string>;
}

/** Returns a client that knows no agents. */
export function createPermitClient(options: PermitClientOptions): PermitClient {
  const { instance, port, clock, log, events } = options;
  const links = new Map<string, AgentLink>();
  let stopCheck = () => {};

  function dial(link: AgentLink): void {
    const { host } = parseAddress(link.server.address);
    link.dialling = true;
    link.dialledAt = clock.now();
    dialSocket(
      clock,
      { host, port, limitMs: DIAL_LIMIT_MS },
      (socket) => openLink(link, socket),
      () => {
        link.dialling = false;
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
        if (link.connection === connection) dropLink(link, reason);
      },
    });
    link.connection = connection;
    connection.send({
      kind: 'permit-hello',
      instance,
      server: link.server.id,
      slots: link.server.slots,
      running: [...link.running],
    });
  }

  function receiveMessage(link: AgentLink, message: Message): void {
    if (message.kind === 'permit') receivePermit(link, message.request, message);
    else if (message.kind === 'permit-report') receiveLoad(link, message);
    else if (message.kind === 'permit-refusal') receiveRefusal(link, message);
  }

  function receiveRefusal(link: AgentLink, message: PermitRefusalMessage): void {
    receiveLoad(link, message);
    if (!link.wishes.delete(message.request)) return;
    events.onRefusal(link.server.id, message.request, message.waitMs);
  }

  function receiveLoad(link: AgentLink, { held, waitsMs }: AgentLoad): void {
    link.heardAt = clock.now();
    link.load = { held, waitsMs };
    if (link.usable) return;
    link.usable = true;
    log.info(LogEvent.AgentChanged, { server: link.server.id, usable: true, held });
  }

  function receivePermit(link: AgentLink, request: string, load: AgentLoad): void {
    receiveLoad(link, load);
    if (link.wishes.delete(request)) {
      link.running.add(request);
      events.onPermit(link.server.id, request);
    } else if (!link.running.has(request)) {
      link.connection?.send({ kind: 'permit-release', request });
    }
  }

  function dropLink(link: AgentLink, reason: string): void {
    const wasUsable = link.usable;
    const ageMs = Math.round(clock.now() - link.heardAt);
    link.connection = undefined;
    link.usable = false;
    if (wasUsable) {
      log.info(LogEvent.AgentChanged, { server: link.server.id, usable: false, reason, ageMs });
    }
    dropWishes(link);
  }

  function dropWishes(link: AgentLink): void {
    const lost = [...link.wishes];
    link.wishes.clear();
    for (const request of lost) events.onLost(link.server.id, request);
  }

  function checkLinks(): void {
    const now = clock.now();
    for (const link of links.values()) {
      if (!link.connection && !link.dialling && now - link.dialledAt >= DIAL_INTERVAL_MS) {
        dial(link);
      } else if (link.connection && link.usable && now - link.heardAt > HEARD_LIMIT_MS) {
        // A silent agent may be frozen: a new connection tells it what runs when it wakes.
        link.connection.close('no reports');
      }
    }
    stopCheck = clock.startTimer(CHECK_INTERVAL_MS, checkLinks);
  }

  return {
    setServers(servers) {
      const kept = new Set(servers.map(({ id }) => id));
      for (const [id, link] of links) {
        if (!kept.has(id)) {
          links.delete(id);
          link.connection?.close('server is gone');
        }
      }
      for (const server of servers) {
        const link = links.get(server.id);
        if (link?.server.address === server.address) link.server = server;
        else {
          link?.connection?.close('address changed');
          links.set(server.id, createLink(server));
        }
      }
    },
    findLoad(server) {
      const link = links.get(server);
      return link?.usable ? link.load : undefined;
    },
    ask(server, wish) {
      const link = links.get(server);
      if (!link) return;
      link.wishes.add(wish.request);
      // Until the agent's next word, so that several requests at once do not take the same place.
      if (link.load.held < link.server.slots) link.load.held += 1;
      link.connection?.send({ kind: 'permit-request', ...wish });
    },
    release(server, request) {
      const link = links.get(server);
      if (!link) return;
      const known = link.wishes.delete(request) || link.running.delete(request);
      if (known) link.connection?.send({ kind: 'permit-release', request });
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
    dialling: false,
    dialledAt: -Infinity,
    heardAt: 0,
    usable: false,
    load: { held: 0, waitsMs: [0] },
    wishes: new Set(),
    running: new Set(),
  };
}
