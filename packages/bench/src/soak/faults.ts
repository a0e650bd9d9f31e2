/** Faults of the soak test, drawn from the seed. They may overlap; the caller undoes each one. */
import { RelayMode } from './relay.js';
import type { SoakProcess, SoakCluster } from './cluster.js';

/** A fault in effect. */
export interface ActiveFault {
  name: string;
  undo: () => void;
}

type Draw = () => number;
type ApplyFault = (cluster: SoakCluster, draw: Draw) => ActiveFault;

/**
 * Fraction of requests that a server with a grey failure refuses, and of the rest that it fails.
 */
const GREY_FAILURE_FRACTION = 0.3;
/** Fractions of a server's streams that end within an event, and that have no chunks. */
const TRUNCATED_FRACTION = 0.3;
const UNFRAMED_FRACTION = 0.5;
/** Kills that follow the first one of a series, and the time between them in milliseconds. */
const REPEATED_KILLS = 3;
const KILL_INTERVAL_MS = 250;

const RELAY_FAULT_MODES = [
  RelayMode.Delay,
  RelayMode.Silence,
  RelayMode.Cut,
  RelayMode.OneWay,
  RelayMode.Refuse,
];

const FAULTS: readonly ApplyFault[] = [
  killProcesses,
  stopGracefully,
  stopTemporarily,
  setStoreRelayModes,
  setEngineRelayMode,
  resetEngineConnections,
  failStore,
  dropStoreHistory,
  setGreyFailure,
  setTruncation,
];

/** Applies a randomly drawn kind of fault. */
export function applyFault(cluster: SoakCluster, draw: Draw): ActiveFault {
  return FAULTS[Math.floor(draw() * FAULTS.length)]!(cluster, draw);
}

function killProcesses(cluster: SoakCluster, draw: Draw): ActiveFault {
  const chosen = listProcesses(cluster).filter(() => draw() < 0.5);
  const kill = (repetition: number) => {
    for (const { child } of chosen) child.kill('SIGKILL');
    return repetition < REPEATED_KILLS
      ? setTimeout(() => kill(repetition + 1), KILL_INTERVAL_MS)
      : undefined;
  };
  kill(draw() < 0.3 ? 0 : REPEATED_KILLS);
  return { name: `kill ${listNames(chosen)}`, undo: () => undefined };
}

function stopGracefully(cluster: SoakCluster, draw: Draw): ActiveFault {
  const chosen = chooseOne(listProcesses(cluster), draw);
  chosen.child.kill('SIGTERM');
  return { name: `stop ${chosen.name}`, undo: () => undefined };
}

function stopTemporarily(cluster: SoakCluster, draw: Draw): ActiveFault {
  const { name, child } = chooseOne(listProcesses(cluster), draw);
  child.kill('SIGSTOP');
  return { name: `freeze ${name}`, undo: () => child.kill('SIGCONT') };
}

function setStoreRelayModes(cluster: SoakCluster, draw: Draw): ActiveFault {
  const relays = cluster.storeRelays.filter(() => draw() < 0.5);
  const mode = chooseOne(RELAY_FAULT_MODES, draw);
  for (const relay of relays) relay.setMode(mode);
  return {
    name: `store ${mode} for ${relays.length} entries`,
    undo() {
      for (const relay of relays) {
        relay.setMode(RelayMode.Pass);
        relay.resetConnections();
      }
    },
  };
}

function setEngineRelayMode(cluster: SoakCluster, draw: Draw): ActiveFault {
  const index = Math.floor(draw() * cluster.engineRelays.length);
  const relay = cluster.engineRelays[index]!;
  const mode = chooseOne(RELAY_FAULT_MODES, draw);
  relay.setMode(mode);
  return {
    name: `engine ${index} ${mode}`,
    undo() {
      relay.setMode(RelayMode.Pass);
      relay.resetConnections();
    },
  };
}

function resetEngineConnections(cluster: SoakCluster, draw: Draw): ActiveFault {
  const engine = chooseOne(cluster.engines, draw);
  engine.resetConnections();
  return { name: `connections of ${engine.id} reset`, undo: () => undefined };
}

function failStore(cluster: SoakCluster, draw: Draw): ActiveFault {
  const { faults } = cluster.store;
  const kind = Math.floor(draw() * 3);
  if (kind === 0) faults.silent = true;
  else if (kind === 1) faults.status = draw() < 0.5 ? 503 : 429;
  else faults.loseAnswers = true;
  return {
    name: `store ${['silent', 'refusing', 'losing answers'][kind]}`,
    undo() {
      faults.silent = false;
      faults.status = undefined;
      faults.loseAnswers = false;
    },
  };
}

function dropStoreHistory(cluster: SoakCluster): ActiveFault {
  cluster.store.faults.dropHistory = true;
  return { name: 'history lost', undo: () => undefined };
}

function setGreyFailure(cluster: SoakCluster, draw: Draw): ActiveFault {
  const { id, faults } = chooseOne(cluster.engines, draw);
  faults.refusedFraction = GREY_FAILURE_FRACTION;
  faults.failedFraction = GREY_FAILURE_FRACTION;
  return {
    name: `${id} grey`,
    undo() {
      faults.refusedFraction = 0;
      faults.failedFraction = 0;
    },
  };
}

function setTruncation(cluster: SoakCluster, draw: Draw): ActiveFault {
  const { id, faults } = chooseOne(cluster.engines, draw);
  faults.truncatedFraction = TRUNCATED_FRACTION;
  faults.unframedFraction = UNFRAMED_FRACTION;
  return {
    name: `${id} truncates streams`,
    undo() {
      faults.truncatedFraction = 0;
      faults.unframedFraction = 0;
    },
  };
}

function listProcesses(cluster: SoakCluster): SoakProcess[] {
  return [...cluster.entries, ...cluster.agents];
}

function listNames(processes: readonly SoakProcess[]): string {
  return processes.map(({ name }) => name).join(' ');
}

function chooseOne<Item>(items: readonly Item[], draw: Draw): Item {
  return items[Math.floor(draw() * items.length)]!;
}
