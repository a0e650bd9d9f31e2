/**
 * One cell of the measurement matrix: a deployment, a load and a condition. Every policy measured
 * in a cell gets the same arrivals.
 */
import { createEngineModel } from './engine-model.js';
import { createEventQueue } from './event-queue.js';
import type { CreatePolicy, PolicyContext } from './policy.js';
import { createRunRecorder, type RunMetrics } from './run-recorder.js';
import { createArrival, createArrivals, createRandom, type Deployment } from './workload.js';

/** Load pattern or fault of a cell. */
export const Condition = {
  Steady: 'steady',
  Burst: 'burst',
  Straggler: 'straggler',
  StaleLoad: 'stale-load',
  Killed: 'killed',
} as const;
export type Condition = (typeof Condition)[keyof typeof Condition];

/** Parameters of one run. */
export interface Cell {
  deployment: Deployment;
  /** Arrival rate as a multiple of the capacity. */
  load: number;
  condition: Condition;
  durationMs: number;
  seed: number;
}

/** Range of the one-way network delay between instances. */
const LINK_DELAY_RANGE_MS = [0.8, 1.4] as const;
const STRAGGLER_SLOWDOWN_FACTOR = 5;
/** Additional delay of load reports under `Condition.StaleLoad`. */
const STALE_REPORT_LAG_MS = 3_000;
/** The last BURST_DURATION_MS of every cycle are a burst. */
const BURST_CYCLE_MS = 40_000;
const BURST_DURATION_MS = 10_000;
/** Arrival rates within and outside a burst, relative to the mean rate of the run. */
const BURST_RATE_FACTOR = 2.2;
const BASE_RATE_FACTOR = 0.6;
/** Begin and end of the fault, as fractions of the run's duration. */
const FAULT_WINDOW_FRACTIONS = [0.3, 0.7] as const;
/** Calls kept in progress at an engine while its throughput at saturation is measured. */
const SATURATION_IN_FLIGHT_CALLS = 32;
const SATURATION_DURATION_MS = 240_000;
/** Offsets from the run's seed that give arrivals and policy separate random sequences. */
const ARRIVAL_SEED_OFFSET = 1_000_003;
const POLICY_SEED_OFFSET = 2_000_003;

/** Runs one policy in a cell of a deployment with the given capacity, in requests per second. */
export function runCell(
  cell: Cell,
  capacityPerSecond: number,
  createPolicy: CreatePolicy,
): RunMetrics {
  const { deployment, load, condition, durationMs, seed } = cell;
  const events = createEventQueue();
  const engines = deployment.engines.map((options) => createEngineModel(events, options));
  const recorder = createRunRecorder(deployment.tiers);
  let usefulPrefillTokens = 0;
  const context: PolicyContext = {
    events,
    deployment,
    engines,
    random: createRandom(seed + POLICY_SEED_OFFSET),
    linkDelayMs: createLinkDelays(deployment, seed),
    reportLagMs: condition === Condition.StaleLoad ? STALE_REPORT_LAG_MS : 0,
    onAnswer(arrival, computedTokens) {
      if (recorder.recordAnswer(events.now(), arrival)) usefulPrefillTokens += computedTokens;
    },
    onRefusal: (arrival) => recorder.recordRefusal(events.now(), arrival),
  };
  const policy = createPolicy(context);
  const computeRateFactor = condition === Condition.Burst ? computeBurstRateFactor : () => 1;
  const random = createRandom(seed + ARRIVAL_SEED_OFFSET);
  for (const arrival of createArrivals(
    deployment,
    load * capacityPerSecond,
    durationMs,
    computeRateFactor,
    random,
  )) {
    events.schedule(arrival.arrivedAt, () => {
      recorder.recordOffered(arrival);
      policy.offer(arrival);
    });
  }
  scheduleFault(cell, context, policy);
  const maxDeadlineMs = Math.max(...deployment.workClasses.map(({ deadlineMs }) => deadlineMs));
  events.runUntil(durationMs + maxDeadlineMs);
  const prefillTotals = engines.map(({ totals }) => totals);
  return recorder.summarize(durationMs, prefillTotals, usefulPrefillTokens);
}

/**
 * Returns the capacity in requests per second: the sum over the engines of the throughput of each
 * at saturation, with requests of the deployment's mix, in order of arrival and without deadlines.
 */
export function measureCapacity(deployment: Deployment, seed: number): number {
  return deployment.engines.reduce((sum, options, index) => {
    const events = createEventQueue();
    const engine = createEngineModel(events, options);
    const random = createRandom(seed + index);
    let finishedCalls = 0;
    let submittedCalls = 0;
    const submit = () => {
      submittedCalls += 1;
      engine.submit({
        ...createArrival(deployment, `s${submittedCalls}`, events.now(), random),
        onFirstByte: () => undefined,
        onFinish() {
          finishedCalls += 1;
          events.schedule(0, submit);
        },
      });
    };
    for (let call = 0; call < SATURATION_IN_FLIGHT_CALLS; call += 1) submit();
    events.runUntil(SATURATION_DURATION_MS);
    return sum + (finishedCalls / SATURATION_DURATION_MS) * 1_000;
  }, 0);
}

function createLinkDelays(deployment: Deployment, seed: number) {
  const random = createRandom(seed);
  const [low, high] = LINK_DELAY_RANGE_MS;
  const delays = Array.from({ length: deployment.entries }, () =>
    deployment.engines.map(() => low + (high - low) * random()),
  );
  return (entry: number, server: number) => delays[entry]![server]!;
}

function scheduleFault(
  { condition, durationMs, deployment }: Cell,
  { events, engines }: PolicyContext,
  policy: ReturnType<CreatePolicy>,
): void {
  const [beginMs, endMs] = FAULT_WINDOW_FRACTIONS.map((fraction) => fraction * durationMs) as [
    number,
    number,
  ];
  const server = Math.floor(deployment.engines.length / 4);
  if (condition === Condition.Straggler) {
    events.schedule(beginMs, () => engines[server]!.setSlowdown(STRAGGLER_SLOWDOWN_FACTOR));
    events.schedule(endMs, () => engines[server]!.setSlowdown(1));
  } else if (condition === Condition.Killed) {
    events.schedule(beginMs, () => policy.kill(server));
    events.schedule(endMs, () => policy.restart(server));
  }
}

function computeBurstRateFactor(atMs: number): number {
  return atMs % BURST_CYCLE_MS >= BURST_CYCLE_MS - BURST_DURATION_MS
    ? BURST_RATE_FACTOR
    : BASE_RATE_FACTOR;
}
