import { expect } from 'chai';
import fc from 'fast-check';
import { createRepeatBudget, type RepeatBudget } from '../src/repeat-budget.js';

const BOUND = { ratio: 0.2, slack: 60, windowMs: 10_000 };
const SERVICE = 'engine';
const STEP_MS = 100;
const WINDOW_STEPS = BOUND.windowMs / STEP_MS;
const SEED = 59;

/** Returns the budget of one of `instances` processes that have run without repeats. */
function createOldBudget(bound: typeof BOUND, instances: number): RepeatBudget {
  const budget = createRepeatBudget(bound, -bound.windowMs, true);
  budget.setInstances(0, instances);
  return budget;
}

/** Checks that the repeats of each window are within the bound for its requests. */
function checkWindows(repeats: number[], requests: number[]): void {
  const sum = (counts: number[], end: number) =>
    counts.slice(Math.max(0, end - WINDOW_STEPS), Math.max(0, end)).reduce((a, b) => a + b, 0);
  for (let end = 1; end <= repeats.length; end += 1) {
    const counted = [end, end - WINDOW_STEPS / 2, end - WINDOW_STEPS].map((each) =>
      sum(requests, each),
    );
    const allowed = Math.max(...counted) * BOUND.ratio + BOUND.slack;
    expect(sum(repeats, end), `window ending at ${end * STEP_MS} ms`).to.be.at.most(allowed);
  }
}

/** Takes as many repeats as the budget allows. */
function takeAll(budget: RepeatBudget, now: number): number {
  let taken = 0;
  while (budget.tryTake(now, SERVICE)) taken += 1;
  return taken;
}

describe('repeat budget', () => {
  it('keeps the sum of all instances within ratio and slack in every window', () => {
    const instances = Array.from({ length: 6 }, () => createOldBudget(BOUND, 6));
    const repeats: number[] = [];
    const requests: number[] = [];
    for (let now = 0; now < 40_000; now += STEP_MS) {
      // Every request fails, and no requests arrive between 15 s and 25 s.
      const requestCount = now > 15_000 && now < 25_000 ? 0 : 2;
      let taken = 0;
      for (const instance of instances) {
        for (let count = 0; count < requestCount; count += 1) instance.recordRequest(now, SERVICE);
        taken += takeAll(instance, now);
      }
      repeats.push(taken);
      requests.push(requestCount * instances.length);
    }
    checkWindows(repeats, requests);
  });

  // Processes that replaced killed ones had the whole budget again (review/15).
  it('keeps the sum within the bound in every window while instances are killed', () => {
    const kill = fc.record({
      step: fc.integer({ min: 0, max: 499 }),
      instances: fc.uniqueArray(fc.nat(3), { minLength: 1 }),
    });
    const load = fc.record({ step: fc.integer({ min: 0, max: 499 }), perStep: fc.nat(12) });
    const property = fc.property(
      fc.array(kill, { maxLength: 30 }),
      fc.array(load, { maxLength: 6 }),
      (kills, loads) => {
        const budgets = Array.from({ length: 4 }, () => createOldBudget(BOUND, 4));
        const repeats: number[] = [];
        const requests: number[] = [];
        let perStep = 4;
        for (let step = 0; step < 500; step += 1) {
          const now = step * STEP_MS;
          perStep = loads.find((each) => each.step === step)?.perStep ?? perStep;
          for (const index of kills
            .filter((each) => each.step === step)
            .flatMap((each) => each.instances)) {
            budgets[index] = createRepeatBudget(BOUND, now);
          }
          let taken = 0;
          for (const budget of budgets) {
            budget.setInstances(now, budgets.length);
            for (let count = 0; count < perStep; count += 1) budget.recordRequest(now, SERVICE);
            taken += takeAll(budget, now);
          }
          repeats.push(taken);
          requests.push(perStep * budgets.length);
        }
        checkWindows(repeats, requests);
      },
    );
    fc.assert(property, { numRuns: 150, seed: SEED });
  });

  // The savings of the old processes and what the new ones earned came together in one window.
  it('keeps the sum within the bound whenever all instances are killed after a calm time', () => {
    for (let killedAt = STEP_MS; killedAt <= BOUND.windowMs; killedAt += STEP_MS) {
      let budgets = Array.from({ length: 4 }, () => createOldBudget(BOUND, 4));
      const repeats: number[] = [];
      const requests: number[] = [];
      for (let now = -BOUND.windowMs; now < 2 * BOUND.windowMs; now += STEP_MS) {
        if (now === killedAt) budgets = budgets.map(() => createRepeatBudget(BOUND, now));
        let taken = 0;
        for (const budget of budgets) {
          budget.setInstances(now, budgets.length);
          for (let count = 0; count < 4; count += 1) budget.recordRequest(now, SERVICE);
          if (now >= 0) taken += takeAll(budget, now);
        }
        repeats.push(taken);
        requests.push(4 * budgets.length);
      }
      checkWindows(repeats, requests);
    }
  });

  it('earns repeats from the start on, for callers of a new process', () => {
    const budget = createRepeatBudget(BOUND, 0);
    budget.setInstances(0, 1);
    let taken = 0;
    for (let now = 0; now < BOUND.windowMs; now += STEP_MS) {
      for (let count = 0; count < 10; count += 1) budget.recordRequest(now, SERVICE);
      taken += takeAll(budget, now);
    }
    // A quarter of the 260 repeats that the bound allows for the 1,000 requests.
    expect(taken).to.be.at.least(65);
  });

  // An added instance, or one that lost sight of the others, took a share that others still used.
  it('takes a share of the slack at once and gives it to others after a window', () => {
    const budget = createOldBudget({ ...BOUND, ratio: 0 }, 2);
    expect(takeAll(budget, 0)).to.equal(15);
    budget.setInstances(0, 4);
    expect(takeAll(budget, 5_000)).to.be.at.most(7);
    budget.setInstances(5_000, 1);
    expect(takeAll(budget, 9_000)).to.be.at.most(5);
    for (let now = 10_000; now < 40_000; now += 1_000) budget.setInstances(now, 1);
    expect(takeAll(budget, 40_000)).to.equal(30);
    budget.setInstances(50_000, undefined);
    expect(takeAll(budget, 60_000)).to.equal(0);
  });

  it('allows a single repeat without any load', () => {
    expect(createOldBudget(BOUND, 6).tryTake(0, SERVICE)).to.equal(true);
  });

  // A request that placed a repeat and did not need it used up the budget of the others.
  it('allows a repeat again that was returned unsent', () => {
    const budget = createOldBudget({ ...BOUND, ratio: 0, slack: 2 }, 1);
    expect(budget.tryTake(0, SERVICE)).to.equal(true);
    expect(budget.tryTake(0, SERVICE)).to.equal(false);
    budget.refund(0, SERVICE);
    expect(budget.tryTake(1_000, SERVICE)).to.equal(true);
  });

  // The refund of an old repeat was taken off a later one, and the bound was exceeded after it.
  it('takes the refund of a repeat off the interval in which it was taken', () => {
    const budget = createOldBudget({ ...BOUND, ratio: 0, slack: 2.6 }, 1);
    expect(budget.tryTake(0, SERVICE)).to.equal(true);
    expect(budget.tryTake(9_000, SERVICE)).to.equal(true);
    budget.refund(0, SERVICE);
    expect(budget.tryTake(12_000, SERVICE)).to.equal(true);
    expect(budget.tryTake(12_100, SERVICE)).to.equal(false);
  });
});
