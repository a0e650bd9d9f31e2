/**
 * Measures how long callers' connections wait until they are accepted, and reports when the entry
 * falls behind and when it has caught up. The estimate is in `accept-wait.ts`.
 */
import type { Socket } from 'node:net';
import { performance } from 'node:perf_hooks';
import type { Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import { Backlog, createAcceptWait } from '@masticbend/scheduling/accept-wait';
import { parseAddress } from '@masticbend/settings/address';
import { dialSocket } from './network.js';

/** Timeout of a probe, which the system drops where its queue is full. */
const DIAL_TIMEOUT_MS = 500;

/** What an accepted connection is for the entry. */
export const ConnectionKind = { Caller: 'caller', Excess: 'excess', Probe: 'probe' } as const;
export type ConnectionKind = (typeof ConnectionKind)[keyof typeof ConnectionKind];

/** Wait of the callers' connections. */
export interface AcceptMonitor {
  /** Classifies an accepted connection; probes are closed. */
  classifyConnection: (socket: Socket) => ConnectionKind;
  /** Time that a connection which is accepted now has waited at least, in milliseconds. */
  getWaitMs: () => number;
  /** Returns whether connections wait too long for callers to be served. */
  isBehind: () => boolean;
  stop: () => void;
}

interface Probe {
  socket: Socket;
  openedAt: number;
}

/** Dependencies of the monitor. */
export interface AcceptMonitorOptions {
  /** Caller address as `IP:port`. */
  address: string;
  clock: Clock;
  log: Logger;
}

/** Returns a monitor of a server that has accepted nothing yet. */
export function createAcceptMonitor({ address, clock, log }: AcceptMonitorOptions): AcceptMonitor {
  const { host, port } = parseAddress(address);
  const wait = createAcceptWait();
  /** Probes that wait to be accepted, by their local port. */
  const waiting = new Map<number, Probe>();
  /** Number of the probe that is being opened, and of the last one. */
  let dialling: number | undefined;
  let lastProbe = 0;
  /** Connections that were accepted while the last probe was being opened, by remote port. */
  const accepted = new Map<number, Socket>();
  let behindSince: number | undefined;
  let maxWaitMs = 0;
  /** Connections in excess since the entry fell behind. */
  let excess = 0;

  function openProbe(): void {
    lastProbe += 1;
    const probe = lastProbe;
    dialling = probe;
    accepted.clear();
    dialSocket(clock, { host, port, timeoutMs: DIAL_TIMEOUT_MS }, addProbe, () => {
      if (dialling === probe) dialling = undefined;
    });
  }

  function addProbe(socket: Socket): void {
    const { localPort = 0 } = socket;
    const ownEnd = accepted.get(localPort);
    accepted.clear();
    if (ownEnd) {
      ownEnd.destroy();
      socket.destroy();
      return;
    }
    const openedAt = clock.now();
    waiting.set(localPort, { socket, openedAt });
    wait.recordProbeOpened(openedAt);
    socket.unref();
    socket.resume();
    socket.once('close', () => finishProbe(localPort));
  }

  function finishProbe(localPort: number): void {
    const probe = waiting.get(localPort);
    if (!probe) return;
    waiting.delete(localPort);
    wait.recordProbeEnded(probe.openedAt);
    probe.socket.destroy();
    update(clock.now());
  }

  /** Closes the accepted end of a probe; returns false for any other connection. */
  function takeProbe(socket: Socket): boolean {
    const { remotePort = 0, remoteAddress } = socket;
    const probe = waiting.get(remotePort);
    if (probe && probe.socket.localAddress === remoteAddress) {
      finishProbe(remotePort);
      socket.destroy();
      return true;
    }
    if (dialling !== undefined) accepted.set(remotePort, socket);
    return false;
  }

  function update(now: number): Backlog {
    const backlog = wait.updateBacklog(now);
    const isBehind = backlog !== Backlog.None;
    maxWaitMs = Math.max(maxWaitMs, wait.getWaitMs(now));
    if (isBehind && behindSince === undefined) {
      behindSince = now;
      log.warn(LogEvent.EntryBehind, { waitMs: Math.round(wait.getWaitMs(now)) });
    } else if (!isBehind && behindSince !== undefined) {
      const forMs = Math.round(now - behindSince);
      behindSince = undefined;
      log.info(LogEvent.EntryCaughtUp, { forMs, maxWaitMs: Math.round(maxWaitMs), excess });
    }
    if (!isBehind) {
      maxWaitMs = 0;
      excess = 0;
    }
    return backlog;
  }

  return {
    classifyConnection(socket) {
      const now = clock.now();
      wait.recordAccepted(now, countTurns());
      const backlog = update(now);
      if (dialling !== undefined || waiting.size > 0 || wait.isProbeDue(now)) {
        if (takeProbe(socket)) return ConnectionKind.Probe;
        if (dialling === undefined && wait.isProbeDue(now)) openProbe();
      }
      if (backlog !== Backlog.Excessive) return ConnectionKind.Caller;
      excess += 1;
      return ConnectionKind.Excess;
    },
    getWaitMs() {
      wait.recordTurn(countTurns());
      return wait.getWaitMs(clock.now());
    },
    isBehind() {
      wait.recordTurn(countTurns());
      return update(clock.now()) !== Backlog.None;
    },
    stop() {
      for (const { socket } of [...waiting.values()]) socket.destroy();
    },
  };
}

/** Returns the turns of the process's event loop so far. */
function countTurns(): number {
  return performance.nodeTiming.uvMetricsInfo.loopCount;
}
