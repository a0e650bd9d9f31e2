/**
 * A relay between entries and one agent that decodes the frames it forwards, so that a fault can be
 * injected at a chosen message without any hook inside the product.
 */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { createFrameDecoder, encodeFrame, FrameError } from '@masticbend/protocol/frame';
import type { Message } from '@masticbend/protocol/message';

/** Action to apply to a message. */
export type RelayAction =
  | { kind: 'pass' }
  /** Forwards it twice. */
  | { kind: 'duplicate' }
  /** Forwards it, then closes the connection. */
  | { kind: 'cut' }
  /** Closes the connection instead of forwarding it. */
  | { kind: 'lose' }
  /** Delays it and the messages after it, of the same request or of the same direction. */
  | { kind: 'hold'; durationMs: number; scope: 'request' | 'direction' };

/** Decides on the action for each message, in order of arrival. */
export type DecideRelayAction = (agent: string, message: Message) => RelayAction;

/** A running relay. */
export interface MeshRelay {
  address: string;
  setTarget: (agentAddress: string) => void;
  cutConnections: () => void;
  close: () => Promise<void>;
}

/** Key of held messages for actions with the scope `direction`. */
const DIRECTION_KEY = '*';

/** Starts a relay in front of an agent; `setTarget` must be called before the first connection. */
export async function startMeshRelay(
  agent: string,
  decideAction: DecideRelayAction,
): Promise<MeshRelay> {
  const sockets = new Set<Socket>();
  let target = { host: '127.0.0.1', port: 0 };

  const server = createServer((entrySocket) => {
    const agentSocket = connect(target.port, target.host);
    const closeBoth = () => {
      entrySocket.destroy();
      agentSocket.destroy();
    };
    for (const socket of [entrySocket, agentSocket]) {
      sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', closeBoth);
      socket.on('close', () => {
        sockets.delete(socket);
        closeBoth();
      });
    }
    relayMessages(entrySocket, agentSocket, closeBoth, (message) => decideAction(agent, message));
    relayMessages(agentSocket, entrySocket, closeBoth, (message) => decideAction(agent, message));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const cutConnections = () => sockets.forEach((socket) => socket.destroy());
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    setTarget(agentAddress) {
      const [host, port] = agentAddress.split(':');
      target = { host: host!, port: Number(port) };
    },
    cutConnections,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        cutConnections();
      }),
  };
}

function relayMessages(
  from: Socket,
  to: Socket,
  closeBoth: () => void,
  decideAction: (message: Message) => RelayAction,
): void {
  const decoder = createFrameDecoder();
  const heldMessages = new Map<string, Message[]>();

  function scheduleRelease(key: string, message: Message, durationMs: number): void {
    const messages = [message];
    heldMessages.set(key, messages);
    setTimeout(() => {
      heldMessages.delete(key);
      for (const next of messages) writeMessage(to, next);
    }, durationMs);
  }

  function relay(message: Message): void {
    const request = 'request' in message ? message.request : '';
    const heldBefore = heldMessages.get(DIRECTION_KEY) ?? heldMessages.get(request);
    if (heldBefore) {
      heldBefore.push(message);
      return;
    }
    const action = decideAction(message);
    if (action.kind === 'hold') {
      const key = action.scope === 'direction' ? DIRECTION_KEY : request;
      scheduleRelease(key, message, action.durationMs);
      return;
    }
    if (action.kind !== 'lose') writeMessage(to, message);
    if (action.kind === 'duplicate') writeMessage(to, message);
    if (action.kind === 'lose') closeBoth();
    if (action.kind === 'cut') to.end(closeBoth);
  }

  from.on('data', (bytes: Buffer) => {
    try {
      decoder.push(bytes).forEach(relay);
    } catch (error) {
      if (!(error instanceof FrameError)) throw error;
      closeBoth();
    }
  });
}

function writeMessage(socket: Socket, message: Message): void {
  if (socket.writable) socket.write(encodeFrame(message));
}
