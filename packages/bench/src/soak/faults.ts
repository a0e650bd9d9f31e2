/** Faults of the soak: drawn by seed, in series that overlap, each undone after its time. */
import { RelayMode } from './relay.js';
import type { SoakProcess, World } from './world.js';

/** A fault in effect. */
export interface ActiveFault {
  name: string;
  undo: () => void;
}

type Draw = () => number;
type ApplyFault = (world: World, draw: Draw) => ActiveFault;

/** Parts of the requests that a grey server refuses or fails. */
const GREY_PART = 0.3;
/** Steps of a series and the time between them, in milliseconds. */
const SERIES_STEPS = 3;
const SERIES_STEP_MS = 250;

const STORE_MODES = [
  RelayMode.Delay,
  RelayMode.Silence,
  RelayMode.Cut,
  RelayMode.OneWay,
  RelayMode.Refuse,
];

const FAULTS: readonly ApplyFault[] = [
  abortSome,
  stopGracefully,
  stopForAWhile,
  setStoreRelay,
  setEngineRelay,
  resetEngines,
  failStore,
  dropHistory,
  setGrey,
];

/** Applies a fault drawn from all kinds. */
export function applyFault(world: World, draw: Draw): ActiveFault {
  return FAULTS[Math.floor(draw() * FAULTS.length)]!(world, draw);
}

function abortSome(world: World, draw: Draw): ActiveFault {
  const chosen = listProcesses(world).filter(() => draw() < 0.5);
  const kill = (step: number) => {
    for (const { child } of chosen) child.kill('SIGKILL');
    return step < SERIES_STEPS ? setTimeout(() => kill(step + 1), SERIES_STEP_MS) : undefined;
  };
  kill(draw() < 0.3 ? 0 : SERIES_STEPS);
  return { name: `kill ${listNames(chosen)}`, undo: () => undefined };
}

function stopGracefully(world: World, draw: Draw): ActiveFault {
  const chosen = chooseOne(listProcesses(world), draw);
  chosen.child.kill('SIGTERM');
  return { name: `stop ${chosen.name}`, undo: () => undefined };
}

function stopForAWhile(world: World, draw: Draw): ActiveFault {
  const { name, child } = chooseOne(listProcesses(world), draw);
  child.kill('SIGSTOP');
  return { name: `freeze ${name}`, undo: () => child.kill('SIGCONT') };
}

function setStoreRelay(world: World, draw: Draw): ActiveFault {
  const relays = world.storeRelays.filter(() => draw() < 0.5);
  const mode = chooseOne(STORE_MODES, draw);
  for (const relay of relays) relay.setMode(mode);
  return {
    name: `store ${mode} for ${relays.length} entries`,
    undo() {
      for (const relay of relays) {
        relay.setMode(RelayMode.Pass);
        relay.reset();
      }
    },
  };
}

function setEngineRelay(world: World, draw: Draw): ActiveFault {
  const index = Math.floor(draw() * world.engineRelays.length);
  const relay = world.engineRelays[index]!;
  const mode = chooseOne(STORE_MODES, draw);
  relay.setMode(mode);
  return {
    name: `engine ${index} ${mode}`,
    undo() {
      relay.setMode(RelayMode.Pass);
      relay.reset();
    },
  };
}

function resetEngines(world: World, draw: Draw): ActiveFault {
  const engine = chooseOne(world.engines, draw);
  engine.crash();
  return { name: `connections of ${engine.id} reset`, undo: () => undefined };
}

function failStore(world: World, draw: Draw): ActiveFault {
  const { faults } = world.store;
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

function dropHistory(world: World): ActiveFault {
  world.store.faults.dropHistory = true;
  return { name: 'history lost', undo: () => undefined };
}

function setGrey(world: World, draw: Draw): ActiveFault {
  const { id, faults } = chooseOne(world.engines, draw);
  faults.refused = GREY_PART;
  faults.failed = GREY_PART;
  return {
    name: `${id} grey`,
    undo() {
      faults.refused = 0;
      faults.failed = 0;
    },
  };
}

function listProcesses(world: World): SoakProcess[] {
  return [...world.entries, ...world.agents];
}

function listNames(processes: readonly SoakProcess[]): string {
  return processes.map(({ name }) => name).join(' ');
}

function chooseOne<Item>(items: readonly Item[], draw: Draw): Item {
  return items[Math.floor(draw() * items.length)]!;
}
