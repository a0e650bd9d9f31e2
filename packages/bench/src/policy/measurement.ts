/**
 * Measures every policy in every combination of deployment, condition and load.
 */
import { Condition, measureCapacity, runCell, type Cell } from './cell.js';
import { createMasticbendPolicy } from './masticbend-policy.js';
import type { CreatePolicy } from './policy.js';
import { chooseLeastLoad, chooseByTwoChoices, createPushPolicy } from './push-policy.js';
import type { RunMetrics } from './run-recorder.js';
import { ADEYEMI_OKAFOR, NASCHPROBE, type Deployment } from './workload.js';

/** The compared policies. */
export const PolicyName = {
  Naive: 'naive',
  TwoChoices: 'two-choices',
  Masticbend: 'masticbend',
} as const;
export type PolicyName = (typeof PolicyName)[keyof typeof PolicyName];

const POLICIES: Record<PolicyName, CreatePolicy> = {
  naive: (context) => createPushPolicy(context, chooseLeastLoad),
  'two-choices': (context) => createPushPolicy(context, chooseByTwoChoices),
  masticbend: (context) => createMasticbendPolicy(context),
};

const DEPLOYMENTS = [NASCHPROBE, ADEYEMI_OKAFOR];
/** Arrival rates as multiples of the capacity. */
const LOAD_FACTORS = [0.5, 0.8, 1, 1.3, 2];
/** Duration of a run in virtual time, in a full and in a quick measurement. */
const RUN_DURATION_MS = 120_000;
const QUICK_RUN_DURATION_MS = 40_000;
const QUICK_LOAD_FACTORS = [0.8, 1.3];
const QUICK_CONDITIONS = [Condition.Steady, Condition.Killed];

/** Metrics of every policy in one cell. */
export interface CellResult {
  deployment: string;
  condition: Condition;
  load: number;
  policies: Record<PolicyName, RunMetrics>;
}

/** Results of a measurement. */
export interface Measurement {
  seed: number;
  /** Capacity in requests per second, by deployment. */
  capacity: Record<string, number>;
  cells: CellResult[];
}

/** Runs the full measurement, or a quick one with fewer cells and shorter runs. */
export function measurePolicies(seed: number, quick: boolean): Measurement {
  const capacity: Record<string, number> = {};
  const cells: CellResult[] = [];
  for (const deployment of DEPLOYMENTS) {
    capacity[deployment.name] = measureCapacity(deployment, seed);
    for (const condition of quick ? QUICK_CONDITIONS : Object.values(Condition)) {
      for (const load of quick ? QUICK_LOAD_FACTORS : LOAD_FACTORS) {
        const durationMs = quick ? QUICK_RUN_DURATION_MS : RUN_DURATION_MS;
        const cell = { deployment, load, condition, durationMs, seed };
        cells.push(measureCell(cell, capacity[deployment.name]!));
      }
    }
  }
  return { seed, capacity, cells };
}

function measureCell(
  cell: Cell & { deployment: Deployment },
  capacityPerSecond: number,
): CellResult {
  const run = (name: PolicyName) => runCell(cell, capacityPerSecond, POLICIES[name]);
  return {
    deployment: cell.deployment.name,
    condition: cell.condition,
    load: cell.load,
    policies: {
      naive: run(PolicyName.Naive),
      'two-choices': run(PolicyName.TwoChoices),
      masticbend: run(PolicyName.Masticbend),
    },
  };
}
