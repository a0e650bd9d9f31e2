/**
 * Finds out whether backend servers to which connections were lost have crashed. The connections of
 * a crashed server may end before its address does, and another incarnation may accept connections
 * there before it is dialled: a server is probed several times, and its registration is compared.
 */
import { isGoing, type ServerEntry } from '@masticbend/scheduling/server-entry';
import type { BackendServer } from '@masticbend/settings/routing';

/** Times after a lost connection at which the server is dialled, unless it was found to crash. */
const PROBE_AFTER_MS = [0, 250, 1_000, 3_000];

/** What is registered of an incarnation of a server. */
export const Registration = { Serving: 'serving', Leaving: 'leaving', Gone: 'gone' } as const;
export type Registration = (typeof Registration)[keyof typeof Registration];

/** Dependencies of the losses. */
export interface ServerLossesOptions {
  /** Calls `onResult` with whether the server refuses connections. */
  probe: (server: BackendServer, onResult: (isRefused: boolean) => void) => void;
  /** A server that leaves is expected to end. */
  getRegistration: (server: BackendServer) => Registration;
  /** Returns whether another entry has found that the server crashed. */
  isCrashed: (server: BackendServer) => boolean;
  startTimer: (delayMs: number, run: () => void) => void;
  onCrash: (server: BackendServer, loss: Loss) => void;
}

/** What was lost with a server. */
export interface Loss {
  suspects: ReadonlySet<string>;
  /** Those of `suspects` of which a trial was lost, with all suspects of the tried request. */
  tried: ReadonlyMap<string, readonly string[]>;
}

/** The trial of a suspect that was lost with a server. */
export interface LostTrial {
  suspect: string;
  /** All suspects of the tried request. */
  own: readonly string[];
}

/** Servers to which connections were lost and that may have crashed. */
export interface ServerLosses {
  /** Adds a request by its suspects, and by the one that it was to try with all of its own. */
  add: (server: BackendServer, suspects: readonly string[], trial?: LostTrial) => void;
  /** Takes the crash of a server for certain, since another entry has found it. */
  settle: (crash: string) => void;
  hasAny: () => boolean;
  /** Returns the number of servers that were lost with a suspect and did not accept since. */
  count: (suspect: string) => number;
}

interface OpenLoss {
  server: BackendServer;
  suspects: Set<string>;
  tried: Map<string, readonly string[]>;
}

/** Returns a collection without lost servers. */
export function createServerLosses(options: ServerLossesOptions): ServerLosses {
  const { probe, isCrashed, startTimer, onCrash } = options;
  /** By incarnation. */
  const lost = new Map<string, OpenLoss>();
  /** Incarnations of `lost` whose addresses accepted a connection since. */
  const accepting = new Set<string>();

  function drop(crash: string): void {
    lost.delete(crash);
    accepting.delete(crash);
  }

  function probeServer(loss: OpenLoss, round = 0): void {
    const { server } = loss;
    const crash = formatCrash(server);
    probe(server, (isRefused) => {
      if (lost.get(crash) !== loss) return;
      if (!isRefused) accepting.add(crash);
      const registration = options.getRegistration(server);
      const [afterMs, nextMs] = PROBE_AFTER_MS.slice(round, round + 2);
      if (isRefused || registration === Registration.Gone || isCrashed(server)) {
        drop(crash);
        onCrash(server, loss);
      } else if (nextMs === undefined || registration === Registration.Leaving) {
        drop(crash);
      } else {
        startTimer(nextMs - afterMs!, () => probeServer(loss, round + 1));
      }
    });
  }

  return {
    add(server, suspects, trial) {
      if (options.getRegistration(server) !== Registration.Serving) return;
      const crash = formatCrash(server);
      const known = lost.get(crash);
      const loss = known ?? { server, suspects: new Set(), tried: new Map() };
      for (const suspect of suspects) loss.suspects.add(suspect);
      if (trial) loss.tried.set(trial.suspect, trial.own);
      if (known) return;
      lost.set(crash, loss);
      probeServer(loss);
    },
    settle(crash) {
      const loss = lost.get(crash);
      if (!loss) return;
      drop(crash);
      onCrash(loss.server, loss);
    },
    hasAny: () => lost.size > 0,
    count(suspect) {
      const found = [...lost].filter(([, { suspects }]) => suspects.has(suspect));
      return found.filter(([crash]) => !accepting.has(crash)).length;
    },
  };
}

/** Returns what is registered of an incarnation; another one at the same name has replaced it. */
export function getRegistration(entry: ServerEntry | undefined, bornAt: number): Registration {
  if (entry?.server.bornAt !== bornAt) return Registration.Gone;
  return isGoing(entry) ? Registration.Leaving : Registration.Serving;
}

/** Names an incarnation of a server. */
export function formatCrash({ id, bornAt }: BackendServer): string {
  return `${id}@${bornAt}`;
}
