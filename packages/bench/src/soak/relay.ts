/** Loopback relay between two processes, with switches for what a network does to a connection. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/** What the relay does with bytes. */
export const RelayMode = {
  Pass: 'pass',
  /** Holds every piece for a while. */
  Delay: 'delay',
  /** Takes bytes of open connections and passes nothing on; new connections work. */
  Silence: 'silence',
  /** Passes nothing, also on new connections. */
  Cut: 'cut',
  /** Passes only what the dialling side sends. */
  OneWay: 'one-way',
  /** Refuses new connections. */
  Refuse: 'refuse',
} as const;
export type RelayMode = (typeof RelayMode)[keyof typeof RelayMode];

/** Time that a delayed piece is held, in milliseconds. */
const DELAY_MS = 150;

/** A running relay. */
export interface Relay {
  address: string;
  setMode: (mode: RelayMode) => void;
  /** Resets every open connection. */
  reset: () => void;
  close: () => void;
}

interface Link {
  near: Socket;
  far: Socket;
  silenced: boolean;
}

/** Starts a relay on a host of loopback towards `target`, an `IP:port`. */
export async function startRelay(host: string, target: string): Promise<Relay> {
  const links = new Set<Link>();
  const state: { mode: RelayMode } = { mode: RelayMode.Pass };
  const [targetHost, targetPort] = target.split(':');

  function relayBytes(link: Link, from: Socket, to: Socket, isForward: boolean): void {
    from.on('data', (bytes) => {
      const isHeld =
        link.silenced ||
        state.mode === RelayMode.Cut ||
        (state.mode === RelayMode.OneWay && !isForward);
      if (isHeld) return;
      if (state.mode === RelayMode.Delay) setTimeout(() => to.write(bytes), DELAY_MS);
      else to.write(bytes);
    });
    from.on('error', () => to.destroy());
    from.on('end', () => to.end());
    from.on('close', (failed) => {
      links.delete(link);
      if (failed) to.resetAndDestroy();
    });
  }

  const server: Server = createServer({ allowHalfOpen: true }, (near) => {
    if (state.mode === RelayMode.Refuse) {
      near.resetAndDestroy();
      return;
    }
    const far = connect({ host: targetHost, port: Number(targetPort), allowHalfOpen: true });
    const link = { near, far, silenced: false };
    links.add(link);
    relayBytes(link, near, far, true);
    relayBytes(link, far, near, false);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, host, resolve);
  });
  const reset = () => {
    for (const { near, far } of links) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
  };
  return {
    address: `${host}:${(server.address() as AddressInfo).port}`,
    setMode(mode) {
      state.mode = mode;
      if (mode === RelayMode.Silence) for (const link of links) link.silenced = true;
    },
    reset,
    close() {
      reset();
      server.close();
    },
  };
}
