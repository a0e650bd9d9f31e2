/** Load pattern: a burst exceeds the capacity of the servers; its callers are refused together. */
import { expect } from 'chai';
import { createRetryAdvisor, MIN_RETRY_AFTER_MS } from '../src/retry-advisor.js';

const LEFT_MS = 9_000;

describe('retry advice', () => {
  it('lets a single refused caller retry soon', () => {
    expect(createRetryAdvisor(() => 0).drawRetryAfterMs(0, LEFT_MS)).to.equal(MIN_RETRY_AFTER_MS);
    expect(createRetryAdvisor(() => 0).drawRetryAfterMs(700, LEFT_MS)).to.equal(700);
  });

  it('spreads the retries of a burst over the time that callers have left', () => {
    const draws = [0, 0.25, 0.5, 0.75, 0.99];
    let next = 0;
    const advice = createRetryAdvisor(() => {
      next += 1;
      return draws[next % draws.length]!;
    });
    for (let count = 0; count < 100; count += 1) advice.recordRefused();
    const returns = draws.map(() => advice.drawRetryAfterMs(100, LEFT_MS));
    expect(Math.max(...returns)).to.equal(LEFT_MS / 3);
    expect(Math.max(...returns) - Math.min(...returns)).to.be.above(LEFT_MS / 8);
  });

  it('never advises a caller to wait longer than a third of its remaining time', () => {
    const advice = createRetryAdvisor(() => 0);
    for (let count = 0; count < 100; count += 1) advice.recordRefused();
    expect(advice.drawRetryAfterMs(60_000, 3_000)).to.equal(1_000);
  });

  it('advises early retries again once requests are sent', () => {
    const advice = createRetryAdvisor(() => 0);
    for (let count = 0; count < 100; count += 1) advice.recordRefused();
    for (let count = 0; count < 200; count += 1) advice.recordSent();
    expect(advice.drawRetryAfterMs(0, LEFT_MS)).to.equal(MIN_RETRY_AFTER_MS);
  });
});
