/**
 * Overloads a small fleet with streams of two tiers while an agent and an entry are replaced, and
 * checks over the whole run that a higher tier is never shed before a lower one.
 */
import { randomBytes } from 'node:crypto';
import { waitFor } from '@masticbend/standins/http';
import { restartProcess, stopProcess } from '../deployment.js';
import { RequestKind, isSuccess, type TestRequest } from '../faults/caller.js';
import { findViolations, type RequestHistory } from '../faults/checks.js';
import { ACCOUNT_KEYS } from '../faults/cluster.js';
import { startBalancer } from './balancer.js';
import { startFleet } from './fleet.js';
import { startSteadyLoad } from './steady-load.js';

const FLEET_SIZE = { entries: 2, engines: 3, services: 1 };
/** Three engines with two calls each, each call 0.4 s or more: at most 15 streams per second. */
const CONCURRENCY = 2;
const QUEUE_LIMIT = 4;
const RATE_PER_SECOND = 60;
const PHASE_MS = 5_000;

/** Requests of one tier by outcome. */
export interface TierCounts {
  sent: number;
  whole: number;
  shed: number;
}

/** Result of a run under overload. */
export interface OverloadResult {
  high: TierCounts;
  low: TierCounts;
  violations: string[];
}

/** Runs an overload in which `highTierPerTen` of ten requests belong to the higher tier. */
export async function runOverload(highTierPerTen: number): Promise<OverloadResult> {
  const fleet = await startFleet(FLEET_SIZE, { concurrency: CONCURRENCY, queueLimit: QUEUE_LIMIT });
  const { agents, entries } = fleet.deployment;
  const balancer = startBalancer(entries);
  const load = startSteadyLoad(balancer, RATE_PER_SECOND, (index) =>
    createStreamRequest(index % 10 < highTierPerTen ? 0 : 1),
  );
  try {
    await waitFor(PHASE_MS);
    for (const running of [agents[0]!, entries[0]!]) {
      await stopProcess(running);
      await restartProcess(running);
    }
    await waitFor(PHASE_MS);
    await load.stop();
  } finally {
    balancer.stop();
    await fleet.stop();
  }
  return {
    high: countTier(load.histories, 0),
    low: countTier(load.histories, 1),
    violations: findViolations(load.histories, fleet.readRecord()),
  };
}

function createStreamRequest(tier: number): TestRequest {
  const marker = `overload-${randomBytes(6).toString('hex')}`;
  const apiKey = tier === 0 ? ACCOUNT_KEYS.high : ACCOUNT_KEYS.low;
  return { kind: RequestKind.Stream, marker, apiKey, tier };
}

function countTier(histories: readonly RequestHistory[], tier: number): TierCounts {
  const answers = histories
    .filter(({ testRequest }) => testRequest.tier === tier)
    .flatMap((history) => history.answers);
  return {
    sent: answers.length,
    whole: answers.filter(isSuccess).length,
    shed: answers.filter(({ error }) => error?.kind === 'overloaded').length,
  };
}
