/**
 * Guards against instances that together admit more than an account's limit during network
 * partitions. The bound holds for all instances together in any window: rate × window + burst, with
 * a tenth more, plus a fixed allowance. Runs are random partitions on a virtual clock with a fixed
 * fast-check seed.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { LimitUnit, type AccountLimit } from '@masticbend/settings/routing';
import { countUnits, createSharedLimits, type SharedLimits } from '../src/shared-limit.js';

const LIMIT: AccountLimit = {
  unit: LimitUnit.Tokens,
  ratePerSecond: 10_000,
  burst: 10_000,
  defaultTokens: 200,
};
const ACCOUNT = 'bakery';
const STEP_MS = 10;
const STEPS = 3_000;
const WINDOW_MS = 8_000;
/** Steps until a partition is detected, and steps between two reports. */
const DETECTION_STEPS = 70;
const REPORT_INTERVAL_STEPS = 4;
const TOLERANCE = 0.1;
/** Fixed allowance in the bound, scaled to the rate like the platform's. */
const SLACK = 9_000;
const SEED = 20_261;

interface Partition {
  at: number;
  steps: number;
  isolated: number;
}

/** Simulates instances that all request far more than the limit; returns units admitted by step. */
function runInstances(
  count: number,
  partitions: Partition[],
  create: () => SharedLimits,
): number[] {
  const instances = Array.from({ length: count }, create);
  const reported = instances.map(() => instances.map(() => 0));
  for (const instance of instances) {
    instance.setShare(0, 1);
    instance.setLimits(0, new Map([[ACCOUNT, LIMIT]]));
  }
  const admitted: number[] = [];
  for (let step = 0; step < STEPS; step += 1) {
    const now = step * STEP_MS;
    const partition = partitions.find(({ at, steps }) => step >= at && step < at + steps);
    const isDetected = partition && step >= partition.at + DETECTION_STEPS;
    const areConnected = (left: number, right: number) =>
      !partition || (left === partition.isolated) === (right === partition.isolated);
    let units = 0;
    instances.forEach((instance, index) => {
      const connected = instances.filter((_, other) => areConnected(index, other)).length;
      instance.setShare(now, (isDetected ? connected : count) / count);
      for (let tries = 0; tries < 3; tries += 1) {
        if (instance.tryTake(now, ACCOUNT, LIMIT, 500) === undefined) units += 500;
      }
    });
    if (step % REPORT_INTERVAL_STEPS === 0) {
      instances.forEach((instance, index) => {
        const total = instance.listAdmitted().get(ACCOUNT) ?? 0;
        instances.forEach((other, peer) => {
          if (peer === index || !areConnected(index, peer)) return;
          other.recordPeerAdmitted(now, ACCOUNT, total - reported[index]![peer]!);
          reported[index]![peer] = total;
        });
      });
    }
    admitted.push(units);
  }
  return admitted;
}

function findLargestWindow(admitted: number[]): number {
  const steps = WINDOW_MS / STEP_MS;
  let sum = 0;
  let largest = 0;
  admitted.forEach((units, step) => {
    sum += units - (admitted[step - steps] ?? 0);
    largest = Math.max(largest, sum);
  });
  return largest;
}

const BOUND = (LIMIT.ratePerSecond * (WINDOW_MS / 1_000) + LIMIT.burst) * (1 + TOLERANCE) + SLACK;

const partitionsOf = (count: number) =>
  fc.array(
    fc.record({
      at: fc.integer({ min: 0, max: STEPS }),
      steps: fc.integer({ min: 1, max: 1_500 }),
      isolated: fc.integer({ min: 0, max: count - 1 }),
    }),
    { maxLength: 3 },
  );

describe('shared limits', () => {
  it('hold over all instances under random partitions', () => {
    fc.assert(
      fc.property(partitionsOf(6), (partitions) => {
        const largest = findLargestWindow(runInstances(6, partitions, createSharedLimits));
        return largest <= BOUND;
      }),
      { seed: SEED, numRuns: 40 },
    );
  });

  it('would not hold if an isolated instance kept the whole rate', () => {
    const createGreedy = () => {
      const limits = createSharedLimits();
      return { ...limits, setShare: (now: number) => limits.setShare(now, 1) };
    };
    const partitions = [{ at: 100, steps: 2_800, isolated: 0 }];
    expect(findLargestWindow(runInstances(6, partitions, createGreedy))).to.be.above(BOUND);
  });

  it('admit the whole rate across instances without a partition', () => {
    const admitted = runInstances(6, [], createSharedLimits);
    const perSecond = admitted.slice(1_000).reduce((sum, units) => sum + units, 0) / 20;
    expect(perSecond).to.be.within(LIMIT.ratePerSecond * 0.95, LIMIT.ratePerSecond * 1.05);
  });

  it('start empty and return the time until a retry can succeed', () => {
    const limits = createSharedLimits();
    limits.setShare(0, 1);
    limits.setLimits(0, new Map([[ACCOUNT, LIMIT]]));
    expect(limits.tryTake(0, ACCOUNT, LIMIT, 1_000)).to.equal(100);
    expect(limits.tryTake(100, ACCOUNT, LIMIT, 1_000)).to.equal(undefined);
    expect(limits.tryTake(100, ACCOUNT, LIMIT, 1_000)).to.equal(100);
  });

  it('admit a request larger than the bucket once the bucket is full', () => {
    const limits = createSharedLimits();
    limits.setShare(0, 1);
    limits.setLimits(0, new Map([[ACCOUNT, LIMIT]]));
    expect(limits.tryTake(500, ACCOUNT, LIMIT, 30_000)).to.equal(500);
    expect(limits.tryTake(1_000, ACCOUNT, LIMIT, 30_000)).to.equal(undefined);
    expect(limits.tryTake(2_000, ACCOUNT, LIMIT, 500)).to.be.above(1_000);
  });

  it('admit nothing while the share of the limit is 0', () => {
    const limits = createSharedLimits();
    limits.setLimits(0, new Map([[ACCOUNT, LIMIT]]));
    expect(limits.tryTake(5_000, ACCOUNT, LIMIT, 1)).to.be.above(0);
  });

  it('count the tokens that a request states, or the default', () => {
    expect(countUnits(LIMIT, 1_460, 80)).to.equal(1_540);
    expect(countUnits(LIMIT)).to.equal(200);
    expect(countUnits({ ...LIMIT, unit: LimitUnit.Requests }, 1_460, 80)).to.equal(1);
  });
});
