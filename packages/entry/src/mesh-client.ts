/**
 * Maintains one connection to each agent: answers the agent's challenge, verifies its proof,
 * redials with jittered exponential back-off after a loss, and delivers messages with the agent's
 * name.
 */
import { connect } from 'node:net';
import type { Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import { createConnection, type Connection } from '@masticbend/protocol/connection';
import {
  MAX_SILENCE_MS,
  PROTOCOL_VERSION,
  type ChallengeMessage,
  type Message,
  type WelcomeMessage,
} from '@masticbend/protocol/message';
import { isValidProof, createProof } from '@masticbend/protocol/proof';

/** Initial mean delay before a redial, with jitter of half of it either way; doubled on failure. */
const MIN_REDIAL_DELAY_MS = 100;
/** Maximum mean delay before a redial. */
const MAX_REDIAL_DELAY_MS = 2_000;
/** Interval at which a retired link is checked for open requests. */
const RETIREMENT_CHECK_INTERVAL_MS = 250;

/** Identity of the dialling entry, with the secret it shares with the agents. */
export interface DialIdentity {
  instance: string;
  dataCentre: string;
  secret: string;
}

/** Callbacks of the mesh client. */
export interface MeshClientEvents {
  onOpen: (agent: string, welcome: WelcomeMessage) => void;
  onMessage: (agent: string, message: Message) => void;
  onClose: (agent: string) => void;
  /** The agent sends no heartbeats; it is closed, unless requests are open there. */
  onSilent: (agent: string) => void;
  /** The agent receives no new requests; its connection closes once `countOpen` returns 0. */
  onRetire: (agent: string) => void;
  /** Returns the number of requests that wait or run at an agent. */
  countOpen: (agent: string) => number;
  /** Returns the configuration revision in force at this entry. */
  getRevision: () => number;
}

/** Address of each agent by the name of its backend server. */
export type AgentAddresses = ReadonlyMap<string, { host: string; port: number }>;

/** Client side of the mesh connections. */
export interface MeshClient {
  /** Sets the agents to connect to; connections to other agents are retired. */
  setAgents: (addresses: AgentAddresses) => void;
  /** Returns false if the agent is not connected or the message was not accepted. */
  send: (agent: string, message: Message) => boolean;
  /** Returns whether an agent is connected and not silent. */
  isConnected: (agent: string) => boolean;
  countConnected: () => number;
  /** Returns the bytes buffered for sending to an agent. */
  countBufferedBytes: (agent: string) => number;
  close: () => void;
  dump: () => unknown;
}

interface Link {
  host: string;
  port: number;
  connection?: Connection;
  /** The agent's proof has been accepted. */
  ready: boolean;
  /** The link is kept only until its open requests have finished. */
  retired: boolean;
  /** The agent sends no heartbeats; the link is kept for what is open there. */
  silent: boolean;
  redialDelayMs: number;
  cancelRedial?: () => void;
  cancelRetirement?: () => void;
}

/** Returns a client without connections; `drawRandom` provides the jitter of redials. */
export function createMeshClient(
  identity: DialIdentity,
  clock: Clock,
  log: Logger,
  drawRandom: () => number,
  events: MeshClientEvents,
): MeshClient {
  const links = new Map<string, Link>();
  let desiredAddresses: AgentAddresses = new Map();

  function dial(agent: string, link: Link): void {
    const socket = connect(link.port, link.host);
    let nonce = '';
    const connection = createConnection(socket, clock, {
      onMessage(message) {
        if (link.ready) receive(message);
        else if (message.kind === 'challenge') answerChallenge(message);
        else if (message.kind === 'welcome') acceptWelcome(message);
        else connection.close('message before welcome');
      },
      onSilent: (silentMs) => handleSilence(agent, link, silentMs),
      onResumed() {
        link.silent = false;
        log.info(LogEvent.ConnectionResumed, { backendServer: agent });
      },
      onClose: (reason) => handleClose(agent, link, connection, reason),
    });
    link.connection = connection;

    function receive(message: Message): void {
      if (!link.retired || message.kind !== 'load') events.onMessage(agent, message);
    }

    function answerChallenge(challenge: ChallengeMessage): void {
      nonce = challenge.nonce;
      const { instance, dataCentre, secret } = identity;
      const proof = createProof(secret, nonce, instance);
      const revision = events.getRevision();
      const version = PROTOCOL_VERSION;
      const peers = links.size;
      connection.send({ kind: 'hello', version, instance, dataCentre, proof, revision, peers });
    }

    function acceptWelcome(welcome: WelcomeMessage): void {
      const isProofValid = isValidProof(identity.secret, nonce, agent, welcome.proof);
      if (!isProofValid || welcome.backendServer !== agent) {
        log.warn(LogEvent.ConnectionRefused, { backendServer: agent, peer: connection.peer });
        connection.close('welcome refused');
        return;
      }
      link.ready = true;
      link.redialDelayMs = MIN_REDIAL_DELAY_MS;
      log.info(LogEvent.ConnectionOpened, { backendServer: agent });
      events.onOpen(agent, welcome);
    }
  }

  /** Stops the use of a silent agent; returns whether its link stays open. */
  function handleSilence(agent: string, link: Link, silentMs: number): boolean {
    if (!link.ready) return false;
    const open = events.countOpen(agent);
    if (!link.silent) {
      link.silent = true;
      log.info(LogEvent.ConnectionSilent, { backendServer: agent, open });
      events.onSilent(agent);
    }
    return open > 0 && silentMs < MAX_SILENCE_MS;
  }

  function handleClose(agent: string, link: Link, connection: Connection, reason: string): void {
    if (link.connection !== connection) return;
    const wasReady = link.ready;
    link.ready = false;
    link.silent = false;
    delete link.connection;
    if (wasReady) {
      log.info(LogEvent.ConnectionClosed, { backendServer: agent, reason });
      events.onClose(agent);
    }
    if (links.get(agent) !== link) return;
    if (link.retired) {
      retireLink(agent, link);
      return;
    }
    const delayMs = link.redialDelayMs * (0.5 + drawRandom());
    link.redialDelayMs = Math.min(MAX_REDIAL_DELAY_MS, link.redialDelayMs * 2);
    link.cancelRedial = clock.startTimer(delayMs, () => dial(agent, link));
  }

  function dropLink(agent: string, link: Link): void {
    links.delete(agent);
    link.cancelRedial?.();
    link.connection?.close('agent no longer used');
  }

  /** Retires a link, and closes it once no request is open on it. */
  function retireLink(agent: string, link: Link): void {
    if (!link.retired) events.onRetire(agent);
    link.retired = true;
    if (events.countOpen(agent) === 0) {
      dropLink(agent, link);
      dialMissing();
      return;
    }
    link.cancelRetirement ??= clock.startTimer(RETIREMENT_CHECK_INTERVAL_MS, () => {
      delete link.cancelRetirement;
      if (links.get(agent) === link) retireLink(agent, link);
    });
  }

  function dialMissing(): void {
    for (const [agent, { host, port }] of desiredAddresses) {
      if (links.has(agent)) continue;
      const link: Link = {
        host,
        port,
        ready: false,
        silent: false,
        retired: false,
        redialDelayMs: MIN_REDIAL_DELAY_MS,
      };
      links.set(agent, link);
      dial(agent, link);
    }
  }

  return {
    setAgents(addresses) {
      desiredAddresses = addresses;
      for (const [agent, link] of [...links]) {
        const address = addresses.get(agent);
        const isKept = address?.host === link.host && address.port === link.port;
        if (!isKept || link.retired) retireLink(agent, link);
      }
      dialMissing();
    },
    send(agent, message) {
      const link = links.get(agent);
      return link?.ready ? link.connection!.send(message) : false;
    },
    countConnected: () => [...links.values()].filter(isHeard).length,
    countBufferedBytes: (agent) => links.get(agent)?.connection?.countBufferedBytes() ?? 0,
    isConnected(agent) {
      const link = links.get(agent);
      return link !== undefined && isHeard(link);
    },
    close() {
      for (const [agent, link] of [...links]) dropLink(agent, link);
    },
    dump: () => Object.fromEntries([...links].map(([agent, link]) => [agent, describeLink(link)])),
  };
}

function isHeard({ ready, silent }: Link): boolean {
  return ready && !silent;
}

function describeLink({ connection, ready }: Link) {
  return { ready, ...connection?.measureTraffic() };
}
