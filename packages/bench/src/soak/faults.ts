/** Faults of the soak test, drawn from the seed. They may overlap; the caller undoes each one. */
import { RelayMode } from './relay.js';
import { BASE_CONFIGURATION, type SoakProcess, type SoakCluster } from './cluster.js';
import { recordMoment, startSpan } from './history.js';

/** A fault in effect. */
export interface ActiveFault {
  name: string;
  /** How long it lasts, in milliseconds; drawn by the caller if it is missing. */
  durationMs?: number;
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
/** Duration of a pause of engines, in milliseconds. */
const PAUSE_DURATION_RANGE_MS = [600, 2_500] as const;
/** Values of a changed configuration. */
const CHANGED_VALUE_RANGES = {
  timeoutMs: [1_500, 4_000],
  idleMs: [1_000, 10_000],
  ratePerS: [5, 100],
  secondFraction: [0, 1],
} as const;

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
  sendReload,
  applyConfiguration,
  setPause,
  setPauseDuringChange,
];

/** Planned changes, which must not cost a request its answer while engines are silent. */
const PLANNED_CHANGES: readonly ApplyFault[] = [applyConfiguration, stopGracefully, sendReload];

/** Applies a randomly drawn kind of fault. */
export function applyFault(cluster: SoakCluster, draw: Draw): ActiveFault {
  return FAULTS[Math.floor(draw() * FAULTS.length)]!(cluster, draw);
}

function killProcesses(cluster: SoakCluster, draw: Draw): ActiveFault {
  const chosen = listProcesses(cluster).filter(() => draw() < 0.5);
  const kill = (repetition: number) => {
    for (const { child, address } of chosen) {
      if (child.kill('SIGKILL')) recordMoment(cluster.history.entryOutages, address);
    }
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
  chosen.child.once('exit', startSpan(cluster.history.entryStops, chosen.address));
  return { name: `stop ${chosen.name}`, undo: () => undefined };
}

function stopTemporarily(cluster: SoakCluster, draw: Draw): ActiveFault {
  const { name, child, address } = chooseOne(listProcesses(cluster), draw);
  child.kill('SIGSTOP');
  const endOutage = startSpan(cluster.history.entryOutages, address);
  child.once('exit', endOutage);
  return {
    name: `freeze ${name}`,
    undo() {
      child.kill('SIGCONT');
      endOutage();
    },
  };
}

function setStoreRelayModes(cluster: SoakCluster, draw: Draw): ActiveFault {
  const chosen = cluster.entries.filter(() => draw() < 0.5);
  const relays = chosen.map((entry) => cluster.storeRelays[cluster.entries.indexOf(entry)]!);
  const mode = chooseOne(RELAY_FAULT_MODES, draw);
  for (const relay of relays) relay.setMode(mode);
  const endFaults = startStoreFaults(cluster, chosen);
  return {
    name: `store ${mode} for ${relays.length} entries`,
    undo() {
      for (const relay of relays) {
        relay.setMode(RelayMode.Pass);
        relay.resetConnections();
      }
      endFaults();
    },
  };
}

/** Records that entries cannot use the store; the returned function records the end of that. */
function startStoreFaults({ history }: SoakCluster, entries: readonly SoakProcess[]): () => void {
  const ends = entries.map(({ address }) => startSpan(history.storeFaults, address));
  return () => {
    for (const end of ends) end();
  };
}

function setEngineRelayMode(cluster: SoakCluster, draw: Draw): ActiveFault {
  const index = Math.floor(draw() * cluster.engineRelays.length);
  const relay = cluster.engineRelays[index]!;
  const mode = chooseOne(RELAY_FAULT_MODES, draw);
  relay.setMode(mode);
  const { engineBreaks, engineRefusals } = cluster.history;
  const { id } = cluster.engines[index]!;
  const endBreak = startSpan(engineBreaks, id);
  const endRefusal = mode === RelayMode.Refuse ? startSpan(engineRefusals, id) : undefined;
  return {
    name: `engine ${index} ${mode}`,
    undo() {
      relay.setMode(RelayMode.Pass);
      relay.resetConnections();
      endBreak();
      endRefusal?.();
    },
  };
}

function resetEngineConnections(cluster: SoakCluster, draw: Draw): ActiveFault {
  const engine = chooseOne(cluster.engines, draw);
  engine.resetConnections();
  recordMoment(cluster.history.engineBreaks, engine.id);
  return { name: `connections of ${engine.id} reset`, undo: () => undefined };
}

function failStore(cluster: SoakCluster, draw: Draw): ActiveFault {
  const { faults } = cluster.store;
  const kind = Math.floor(draw() * 3);
  if (kind === 0) faults.silent = true;
  else if (kind === 1) faults.status = draw() < 0.5 ? 503 : 429;
  else faults.loseAnswers = true;
  const endFaults = startStoreFaults(cluster, cluster.entries);
  return {
    name: `store ${['silent', 'refusing', 'losing answers'][kind]}`,
    undo() {
      faults.silent = false;
      faults.status = undefined;
      faults.loseAnswers = false;
      endFaults();
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

function sendReload({ entries }: SoakCluster, draw: Draw): ActiveFault {
  const { name, child } = chooseOne(entries, draw);
  child.kill('SIGHUP');
  return { name: `reload ${name}`, undo: () => undefined };
}

function applyConfiguration(cluster: SoakCluster, draw: Draw): ActiveFault {
  const fields = Object.keys(CHANGED_VALUE_RANGES) as (keyof typeof CHANGED_VALUE_RANGES)[];
  const field = chooseOne(fields, draw);
  const value = Number(drawBetween(CHANGED_VALUE_RANGES[field], draw).toFixed(2));
  cluster.changeConfiguration({ [field]: value });
  return {
    name: `${field} ${value}`,
    undo: () => cluster.changeConfiguration({ [field]: BASE_CONFIGURATION[field] }),
  };
}

/** Lets one engine, some or all fall silent; they go on by themselves. */
export function setPause(cluster: SoakCluster, draw: Draw): ActiveFault {
  const { engines, engineRelays } = cluster;
  const fraction = chooseOne([0, 0.5, 1], draw);
  const always = Math.floor(draw() * engines.length);
  const chosen = engines.flatMap((engine, index) =>
    index === always || draw() < fraction ? [{ engine, relay: engineRelays[index]! }] : [],
  );
  const cutsChunks = draw() < 0.5;
  for (const { engine, relay } of chosen) {
    engine.faults.isPaused = true;
    relay.pause(cutsChunks);
  }
  return {
    name: `pause ${chosen.map(({ engine }) => engine.id).join(' ')}`,
    durationMs: drawBetween(PAUSE_DURATION_RANGE_MS, draw),
    undo() {
      for (const { engine, relay } of chosen) {
        engine.faults.isPaused = false;
        relay.resume();
      }
    },
  };
}

function setPauseDuringChange(cluster: SoakCluster, draw: Draw): ActiveFault {
  const pause = setPause(cluster, draw);
  const applyChange = chooseOne(PLANNED_CHANGES, draw);
  let change: ActiveFault | undefined;
  const timer = setTimeout(() => {
    change = applyChange(cluster, draw);
  }, draw() * pause.durationMs!);
  return {
    name: `${pause.name} with ${applyChange.name}`,
    durationMs: pause.durationMs,
    undo() {
      clearTimeout(timer);
      pause.undo();
      change?.undo();
    },
  };
}

function drawBetween([least, most]: readonly [number, number], draw: Draw): number {
  return least + draw() * (most - least);
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
