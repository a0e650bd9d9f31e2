/**
 * Measures planned replacement of every process, the loss of a third of the agents and an outage of
 * the platform, under a steady load on a few dozen processes. Exits with code 1 if a guarantee was
 * violated or a request failed during a planned replacement.
 */
import meow from 'meow';
import { restartProcess, stopProcess, type RunningProcess } from './deployment.js';
import { findViolations } from './faults/checks.js';
import { startBalancer } from './recovery/balancer.js';
import { runOverload } from './recovery/overload.js';
import { startFleet, type Fleet } from './recovery/fleet.js';
import { startSteadyLoad, computeSummary, type SteadyLoad } from './recovery/steady-load.js';

const cli = meow(
  `
  Usage
    $ npm run recovery -- [--entries N] [--engines N] [--services N] [--rate N] [--outage-ms N]
    $ npm run recovery -- --overload
`,
  {
    importMeta: import.meta,
    flags: {
      overload: { type: 'boolean', default: false },
      entries: { type: 'number', default: 4 },
      engines: { type: 'number', default: 10 },
      services: { type: 'number', default: 10 },
      rate: { type: 'number', default: 120 },
      outageMs: { type: 'number', default: 60_000 },
    },
  },
);

/** Requests of the higher tier in each ten, one overload run for each value. */
const HIGH_TIER_REQUESTS_PER_TEN = [1, 5];
/** Time observed without a fault, in milliseconds. */
const FAULT_FREE_MS = 4_000;
/** Time observed after an outage, in milliseconds. */
const RECOVERY_MS = 12_000;
/** Time after which the platform restarts a lost instance, in milliseconds. */
const RESTART_DELAY_MS = 2_000;
const COUNT_INTERVAL_MS = 1_000;

/** Capacity of the platform's table service. */
const MAX_WRITES_PER_SECOND = 300;
const MAX_READS_PER_SECOND = 2_000;

/** Start of the phase being measured, which is the end of the previous one. */
let phaseStartedAt = 0;

function wait(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

async function measurePhase(name: string, load: SteadyLoad, work: () => Promise<void>) {
  const from = phaseStartedAt;
  await work();
  await wait(FAULT_FREE_MS);
  phaseStartedAt = performance.now();
  const summary = computeSummary(load.histories, from, phaseStartedAt);
  console.log(`${name}: ${JSON.stringify(summary)}`);
  return summary;
}

async function replaceProcesses(processes: readonly RunningProcess[]): Promise<void> {
  for (const running of processes) {
    await stopProcess(running);
    await restartProcess(running);
  }
}

async function killThird(processes: readonly RunningProcess[]): Promise<void> {
  const lost = processes.filter((_, index) => index % 3 === 0);
  for (const { child } of lost) child.kill('SIGKILL');
  await wait(RESTART_DELAY_MS);
  await Promise.all(lost.map(restartProcess));
}

/** Takes the platform down and up again; counts the reads and writes of the table per second. */
async function measureOutage({ table, objects }: Fleet, load: SteadyLoad): Promise<void> {
  const rates: { reads: number; writes: number }[] = [];
  let last = { ...table.counters };
  const timer = setInterval(() => {
    const { reads, writes } = table.counters;
    rates.push({ reads: reads - last.reads, writes: writes - last.writes });
    last = { reads, writes };
  }, COUNT_INTERVAL_MS);
  await wait(FAULT_FREE_MS);
  const rateBefore = { ...rates.at(-1)! };
  for (const { faults } of [table, objects]) faults.down = true;
  await wait(cli.flags.outageMs);
  for (const { faults } of [table, objects]) faults.down = false;
  const endedAt = performance.now();
  rates.length = 0;
  await wait(RECOVERY_MS);
  clearInterval(timer);
  const reads = Math.max(...rates.map((rate) => rate.reads));
  const writes = Math.max(...rates.map((rate) => rate.writes));
  const isWithinLimits = reads <= MAX_READS_PER_SECOND && writes <= MAX_WRITES_PER_SECOND;
  console.log(
    `table a second: calm ${JSON.stringify(rateBefore)}, highest after the outage ` +
      `${JSON.stringify({ reads, writes })}: ${isWithinLimits ? 'within' : 'above'} its limits`,
  );
  const after = computeSummary(load.histories, endedAt, performance.now());
  console.log(`after the outage: ${JSON.stringify(after)}`);
}

async function runRecovery(): Promise<number> {
  const { entries, engines, services, rate, outageMs } = cli.flags;
  const fleet = await startFleet({ entries, engines, services });
  const { deployment } = fleet;
  const balancer = startBalancer(deployment.entries);
  const load = startSteadyLoad(balancer, rate);
  console.log(`${entries + engines + services} processes, ${rate} requests/s`);
  const { entries: entryProcesses, agents } = deployment;
  await measurePhase('calm', load, () => wait(FAULT_FREE_MS));
  const plannedSummaries = [
    await measurePhase('agents replaced one by one', load, () => replaceProcesses(agents)),
    await measurePhase('entries replaced one by one', load, () => replaceProcesses(entryProcesses)),
  ];
  await measurePhase('a third of the agents killed', load, () => killThird(agents));
  await measurePhase(`platform down for ${outageMs} ms`, load, () => measureOutage(fleet, load));
  await load.stop();
  balancer.stop();
  const violations = findViolations(load.histories, fleet.readRecord());
  for (const violation of violations) console.log(`BROKEN ${violation}`);
  await fleet.stop();
  const failed = plannedSummaries.reduce(
    (sum, { answered, succeeded }) => sum + answered - succeeded,
    0,
  );
  console.log(`${violations.length} promises broken, ${failed} requests failed by replacement`);
  return violations.length + failed > 0 ? 1 : 0;
}

/** Runs one overload with the higher tier within capacity and one with it above capacity. */
async function runOverloads(): Promise<number> {
  let violationCount = 0;
  for (const highTierPerTen of HIGH_TIER_REQUESTS_PER_TEN) {
    const { violations, ...counts } = await runOverload(highTierPerTen);
    console.log(`overload, ${highTierPerTen} in 10 of the higher tier: ${JSON.stringify(counts)}`);
    for (const violation of violations) console.log(`BROKEN ${violation}`);
    violationCount += violations.length;
  }
  console.log(`${violationCount} promises broken under overload`);
  return violationCount > 0 ? 1 : 0;
}

process.exitCode = cli.flags.overload ? await runOverloads() : await runRecovery();
