/**
 * Fault soak: the bundled programs as separate processes on loopback, faults from outside drawn
 * by seed, and the promises checked on what callers and backend servers saw. Exit code 1 when one
 * was broken; the folder with the logs is printed and kept.
 */
import meow from 'meow';
import { uniformFloat32 } from 'pure-rand/distribution/uniformFloat32';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { startCallers } from './soak/callers.js';
import { findBroken } from './soak/checks.js';
import { applyFault, type ActiveFault } from './soak/faults.js';
import { startWorld } from './soak/world.js';

/** Keys in force at the start; one is taken away during the run. */
const KEYS = ['key-a', 'key-b', 'key-c'];
const LONGEST_LISTING = 10;
/** Time for the processes to start, and watched after the last fault, in milliseconds. */
const START_MS = 2_500;
const CALM_MS = 4_000;
/** Time after the last fault from which requests must be served again, in milliseconds. */
const RECOVERY_MS = 3_500;
/** Bounds of a fault's time and of the pause before the next, in milliseconds. */
const FAULT_MS = [300, 2_500] as const;
const PAUSE_MS = [100, 1_200] as const;

const cli = meow(
  `
  Usage
    $ npm run soak -- [--seed N] [--seeds N] [--seconds N] [--entries N] [--engines N] [--rate N]

  Options
    --seed N     first seed (default: drawn from the time)
    --seeds N    seeds to run, one after the other (default 1)
    --seconds N  time with faults for each seed (default 8)
    --rate N     requests a second (default 60)
`,
  {
    importMeta: import.meta,
    flags: {
      seed: { type: 'number' },
      seeds: { type: 'number', default: 1 },
      seconds: { type: 'number', default: 8 },
      entries: { type: 'number', default: 3 },
      engines: { type: 'number', default: 4 },
      rate: { type: 'number', default: 60 },
    },
  },
);

function wait(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

async function runSeed(seed: number): Promise<boolean> {
  const { seconds, entries, engines, rate } = cli.flags;
  const generator = xoroshiro128plus(seed);
  const draw = () => uniformFloat32(generator);
  const drawTime = ([least, most]: readonly [number, number]) => least + draw() * (most - least);
  const world = await startWorld(seed, entries, engines, draw);
  const keys = [...KEYS];
  world.writeConfiguration(keys);
  await wait(START_MS);
  const callers = startCallers(1_000 / rate, Math.random, () => ({
    entry: world.entries[Math.floor(Math.random() * entries)]!.address,
    key: KEYS[Math.floor(Math.random() * KEYS.length)]!,
  }));
  const active = new Set<ActiveFault>();
  const named: string[] = [];
  const revokedAt = new Map<string, number>();
  const endsAt = performance.now() + seconds * 1_000;
  const revokeAt = performance.now() + draw() * seconds * 1_000;

  function removeKey(): void {
    const key = keys.pop()!;
    world.writeConfiguration(keys);
    revokedAt.set(key, performance.now());
    named.push(`${key} taken away`);
  }

  while (performance.now() < endsAt) {
    if (revokedAt.size === 0 && performance.now() > revokeAt) removeKey();
    const fault = applyFault(world, draw);
    named.push(fault.name);
    active.add(fault);
    setTimeout(() => {
      if (active.delete(fault)) fault.undo();
    }, drawTime(FAULT_MS));
    await wait(drawTime(PAUSE_MS));
  }
  for (const fault of active) fault.undo();
  active.clear();
  const calmFrom = performance.now() + RECOVERY_MS;
  await wait(RECOVERY_MS);
  const [left] = world.engines;
  world.leaving.set(left!.id, performance.now());
  const leavingAt = new Map([[left!.id, performance.now() + 400]]);
  await wait(CALM_MS);
  await callers.stop();
  const runs = world.engines.flatMap((engine) => engine.runs);
  const broken = findBroken({ records: callers.records, runs, revokedAt, leavingAt, calmFrom });
  await world.close();
  const served = callers.records.filter(({ status }) => status === 200).length;
  const { length } = callers.records;
  console.log(`seed ${seed}: ${served} of ${length} served, ${broken.length} broken promises`);
  if (broken.length === 0) return true;
  for (const line of broken.slice(0, LONGEST_LISTING)) console.log(`  ${line}`);
  console.log(`  faults: ${named.join(', ')}`);
  console.log(`  logs: ${world.folder}`);
  return false;
}

const first = cli.flags.seed ?? Math.floor(Date.now() / 1_000);
let failures = 0;
for (let seed = first; seed < first + cli.flags.seeds; seed += 1) {
  if (!(await runSeed(seed))) failures += 1;
}
console.log(`${cli.flags.seeds - failures} of ${cli.flags.seeds} seeds kept every promise`);
process.exit(failures > 0 ? 1 : 0);
