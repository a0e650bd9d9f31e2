/**
 * The bound that matters is over all instances and any window: rate × window + burst, with a tenth
 * more. Runs are random partitions and demands on a virtual clock, seeds fixed by fast-check.
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
/** Time after which a cut is noticed, and reports travel, in steps. */
const NOTICE_STEPS = 70;
const REPORT_STEPS = 4;
const OVERSHOOT = 0.1;
/** Fixed allowance of the bound, scaled like the platform's to the rate. */
const SLACK = 9_000;
const SEED = 20_261;

interface Cut {
  at: number;
  steps: number;
  alone: number;
}

/** Plays instances that all ask for far more than the limit; returns what each step admitted. */
function runInstances(count: number, cuts: Cut[], create: () => SharedLimits): number[] {
  const instances = Array.from({ length: count }, create);
  const reported = instances.map(() => instances.map(() => 0));
  for (const instance of instances) {
    instance.setShare(0, 1);
    instance.setLimits(0, new Map([[ACCOUNT, LIMIT]]));
  }
  const admitted: number[] = [];
  for (let step = 0; step < STEPS; step += 1) {
    const now = step * STEP_MS;
    const cut = cuts.find(({ at, steps }) => step >= at && step < at + steps);
    const noticed = cut && step >= cut.at + NOTICE_STEPS;
    const areInTouch = (left: number, right: number) =>
      !cut || (left === cut.alone) === (right === cut.alone);
    let units = 0;
    instances.forEach((instance, index) => {
      const heard = instances.filter((_, other) => areInTouch(index, other)).length;
      instance.setShare(now, (noticed ? heard : count) / count);
      for (let tries = 0; tries < 3; tries += 1) {
        if (instance.tryTake(now, ACCOUNT, LIMIT, 500) === undefined) units += 500;
      }
    });
    if (step % REPORT_STEPS === 0) {
      instances.forEach((instance, index) => {
        const total = instance.listAdmitted().get(ACCOUNT) ?? 0;
        instances.forEach((other, peer) => {
          if (peer === index || !areInTouch(index, peer)) return;
          other.receive(now, ACCOUNT, total - reported[index]![peer]!);
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

const BOUND = (LIMIT.ratePerSecond * (WINDOW_MS / 1_000) + LIMIT.burst) * (1 + OVERSHOOT) + SLACK;

const cutsOf = (count: number) =>
  fc.array(
    fc.record({
      at: fc.integer({ min: 0, max: STEPS }),
      steps: fc.integer({ min: 1, max: 1_500 }),
      alone: fc.integer({ min: 0, max: count - 1 }),
    }),
    { maxLength: 3 },
  );

describe('shared limits', () => {
  it('hold over all instances under random partitions', () => {
    fc.assert(
      fc.property(cutsOf(6), (cuts) => {
        const largest = findLargestWindow(runInstances(6, cuts, createSharedLimits));
        return largest <= BOUND;
      }),
      { seed: SEED, numRuns: 40 },
    );
  });

  it('would not hold if an instance that is cut off kept the whole rate', () => {
    const createGreedy = () => {
      const limits = createSharedLimits();
      return { ...limits, setShare: (now: number) => limits.setShare(now, 1) };
    };
    const cuts = [{ at: 100, steps: 2_800, alone: 0 }];
    expect(findLargestWindow(runInstances(6, cuts, createGreedy))).to.be.above(BOUND);
  });

  it('gives the whole rate to those who ask, wherever they ask', () => {
    const admitted = runInstances(6, [], createSharedLimits);
    const perSecond = admitted.slice(1_000).reduce((sum, units) => sum + units, 0) / 20;
    expect(perSecond).to.be.within(LIMIT.ratePerSecond * 0.95, LIMIT.ratePerSecond * 1.05);
  });

  it('begin empty, and say when to come back', () => {
    const limits = createSharedLimits();
    limits.setShare(0, 1);
    limits.setLimits(0, new Map([[ACCOUNT, LIMIT]]));
    expect(limits.tryTake(0, ACCOUNT, LIMIT, 1_000)).to.equal(100);
    expect(limits.tryTake(100, ACCOUNT, LIMIT, 1_000)).to.equal(undefined);
    expect(limits.tryTake(100, ACCOUNT, LIMIT, 1_000)).to.equal(100);
  });

  it('let a request larger than the bucket pass once the bucket is full', () => {
    const limits = createSharedLimits();
    limits.setShare(0, 1);
    limits.setLimits(0, new Map([[ACCOUNT, LIMIT]]));
    expect(limits.tryTake(500, ACCOUNT, LIMIT, 30_000)).to.equal(500);
    expect(limits.tryTake(1_000, ACCOUNT, LIMIT, 30_000)).to.equal(undefined);
    expect(limits.tryTake(2_000, ACCOUNT, LIMIT, 500)).to.be.above(1_000);
  });

  it('admit nothing while no part of the limit is held', () => {
    const limits = createSharedLimits();
    limits.setLimits(0, new Map([[ACCOUNT, LIMIT]]));
    expect(limits.tryTake(5_000, ACCOUNT, LIMIT, 1)).to.be.above(0);
  });

  it('count what a request says, or the default', () => {
    expect(countUnits(LIMIT, 1_460, 80)).to.equal(1_540);
    expect(countUnits(LIMIT)).to.equal(200);
    expect(countUnits({ ...LIMIT, unit: LimitUnit.Requests }, 1_460, 80)).to.equal(1);
  });
});
