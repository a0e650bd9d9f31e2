/**
 * Accepts connections of entries: challenges each, checks its proof and passes on its messages. A
 * connection that times out, sends malformed frames or fails the proof is closed without affecting
 * any other.
 */
import { createServer, type Server, type Socket } from 'node:net';
import type { Clock } from '@masticbend/kernel/clock';
import type { ConnectionBounds } from '@masticbend/kernel/connection-bounds';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import {
  createConnection,
  type Connection,
  type ConnectionEvents,
} from '@masticbend/protocol/connection';
import {
  MAX_SILENCE_MS,
  PROTOCOL_VERSION,
  type HelloMessage,
  type Message,
  type WelcomeMessage,
} from '@masticbend/protocol/message';
import { isValidProof, createNonce, createProof } from '@masticbend/protocol/proof';

/** Most connections open at a time. */
export const MAX_ENTRY_CONNECTIONS = 1_024;

/** Identity of this agent in the mesh. */
export interface MeshIdentity {
  instance: string;
  backendServer: string;
  secret: string;
}

/** Events of the server. `owner` identifies a connection. */
export interface MeshServerEvents {
  onOpen: (owner: string, hello: HelloMessage) => void;
  onMessage: (owner: string, message: Message) => void;
  onClose: (owner: string) => void;
  /** Returns the state to include in the welcome message to a new entry. */
  describe: () => Pick<WelcomeMessage, 'revision' | 'load'>;
}

/** Mesh server of one agent. */
export interface MeshServer {
  listen: (host: string, port: number) => Promise<void>;
  /** Sends a message to one entry; returns false when it is disconnected. */
  send: (owner: string, message: Message) => boolean;
  /** Stops accepting connections, sends the queued messages and closes. */
  close: () => Promise<void>;
  /** Lists the entries that are connected and not silent. */
  listOwners: () => string[];
  dump: () => unknown;
}

/** Creates a server that is not listening yet. */
export function createMeshServer(
  identity: MeshIdentity,
  clock: Clock,
  log: Logger,
  bounds: ConnectionBounds,
  events: MeshServerEvents,
): MeshServer {
  const authenticated = new Map<string, Connection>();
  const unauthenticated = new Set<Connection>();
  /** Owners that send no heartbeats; their calls go on, and their claims lapse. */
  const silent = new Set<string>();
  let nextOwner = 1;
  const server: Server = createServer(acceptSocket);
  server.maxConnections = MAX_ENTRY_CONNECTIONS;

  function acceptSocket(socket: Socket): void {
    const nonce = createNonce();
    const owner = `${nextOwner}`;
    nextOwner += 1;
    const connectionEvents: ConnectionEvents = {
      onMessage: (message) => receive(message),
      onSilent: (silentMs) => handleSilence(silentMs),
      onResumed: () => silent.delete(owner),
      onClose: (reason) => handleClose(reason),
    };
    const accepted = { bounds, isKnown: () => authenticated.has(owner) };
    const connection = createConnection(socket, clock, connectionEvents, accepted);
    unauthenticated.add(connection);
    connection.send({ kind: 'challenge', nonce });

    function receive(message: Message): void {
      if (authenticated.has(owner)) events.onMessage(owner, message);
      else if (message.kind === 'hello') acceptHello(message);
      else connection.close('message before hello');
    }

    function acceptHello(hello: HelloMessage): void {
      const isProofValid = isValidProof(identity.secret, nonce, hello.instance, hello.proof);
      if (!isProofValid || hello.version !== PROTOCOL_VERSION) {
        log.warn(LogEvent.ConnectionRefused, { peer: connection.peer });
        connection.close('hello refused');
        return;
      }
      unauthenticated.delete(connection);
      authenticated.set(owner, connection);
      const { instance, backendServer, secret } = identity;
      const proof = createProof(secret, nonce, backendServer);
      connection.send({ kind: 'welcome', instance, backendServer, proof, ...events.describe() });
      log.info(LogEvent.ConnectionOpened, { entry: hello.instance, peer: connection.peer });
      events.onOpen(owner, hello);
    }

    /** Returns whether the connection stays open. */
    function handleSilence(silentMs: number): boolean {
      if (!authenticated.has(owner)) return false;
      silent.add(owner);
      return silentMs < MAX_SILENCE_MS;
    }

    function handleClose(reason: string): void {
      silent.delete(owner);
      unauthenticated.delete(connection);
      if (!authenticated.delete(owner)) return;
      log.info(LogEvent.ConnectionClosed, { peer: connection.peer, reason });
      events.onClose(owner);
    }
  }

  return {
    listen: (host, port) =>
      new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(port, host, resolve);
      }),
    send: (owner, message) => authenticated.get(owner)?.send(message) ?? false,
    async close() {
      const closed = new Promise((resolve) => {
        server.close(resolve);
      });
      for (const connection of unauthenticated) connection.close('stopping');
      await Promise.all([...authenticated.values()].map((connection) => connection.finish()));
      await closed;
    },
    listOwners: () => [...authenticated.keys()].filter((owner) => !silent.has(owner)),
    dump: () =>
      [...authenticated.values()].map(({ peer, measureTraffic }) => ({
        peer,
        ...measureTraffic(),
      })),
  };
}
