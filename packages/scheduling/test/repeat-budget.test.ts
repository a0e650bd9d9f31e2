import { expect } from 'chai';
import { createRepeatBudget } from '../src/repeat-budget.js';

const BOUND = { ratio: 0.2, slack: 60, windowMs: 10_000 };
const SERVICE = 'engine';

describe('repeat budget', () => {
  it('keeps all instances together within ratio and slack in every window', () => {
    const instances = Array.from({ length: 6 }, () => createRepeatBudget(BOUND));
    const repeats: number[] = [];
    const requests: number[] = [];
    for (let now = 0; now < 40_000; now += 100) {
      // The load stops for a while, and every request fails.
      const rate = now > 15_000 && now < 25_000 ? 0 : 2;
      let taken = 0;
      for (const instance of instances) {
        for (let count = 0; count < rate; count += 1) instance.recordRequest(now, SERVICE);
        for (let count = 0; count < 3; count += 1) {
          if (instance.tryTake(now, SERVICE, instances.length)) taken += 1;
        }
      }
      repeats.push(taken);
      requests.push(rate * instances.length);
    }
    const sum = (counts: number[], end: number) =>
      counts.slice(Math.max(0, end - 100), end).reduce((total, count) => total + count, 0);
    for (let end = 1; end <= repeats.length; end += 1) {
      const allowed =
        Math.max(sum(requests, end), sum(requests, end - 50), sum(requests, end - 100)) * 0.2 + 60;
      expect(sum(repeats, end), `window ending at ${end * 100} ms`).to.be.at.most(allowed);
    }
  });

  it('leaves room for single failures at rest', () => {
    const budget = createRepeatBudget(BOUND);
    expect(budget.tryTake(0, SERVICE, 6)).to.equal(true);
  });
});
