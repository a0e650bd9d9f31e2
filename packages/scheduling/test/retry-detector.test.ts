/** Load pattern: callers that were refused under overload retry among first arrivals. */
import { expect } from 'chai';
import { createRetryDetector } from '../src/retry-detector.js';

const LIMIT_MS = 10_000;

describe('return estimate', () => {
  it('detects a retrying caller by its reduced time limit', () => {
    const estimate = createRetryDetector();
    expect(estimate.recordArrival('r', LIMIT_MS)).to.equal(false);
    expect(estimate.recordArrival('r', LIMIT_MS * 0.9)).to.equal(false);
    expect(estimate.recordArrival('r', LIMIT_MS * 0.7)).to.equal(true);
  });

  it('adapts when the callers of a route reduce their time limit', () => {
    const returns = createRetryDetector();
    returns.recordArrival('r', LIMIT_MS);
    for (let call = 0; call < 5_000; call += 1) returns.recordArrival('r', LIMIT_MS / 4);
    expect(returns.recordArrival('r', LIMIT_MS / 4)).to.equal(false);
  });

  it('treats routes separately, and the first caller of a route as a first arrival', () => {
    const returns = createRetryDetector();
    returns.recordArrival('long', LIMIT_MS);
    expect(returns.recordArrival('short', LIMIT_MS / 10)).to.equal(false);
  });
});
