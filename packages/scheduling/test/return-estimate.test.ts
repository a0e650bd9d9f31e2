/** Load pattern: callers that were refused under overload come back among first arrivals. */
import { expect } from 'chai';
import { createReturnEstimate } from '../src/return-estimate.js';

const LIMIT_MS = 10_000;

describe('return estimate', () => {
  it('knows a returned caller by the part of its time limit that is spent', () => {
    const returns = createReturnEstimate();
    expect(returns.recordArrival('r', LIMIT_MS)).to.equal(false);
    expect(returns.recordArrival('r', LIMIT_MS * 0.9)).to.equal(false);
    expect(returns.recordArrival('r', LIMIT_MS * 0.7)).to.equal(true);
  });

  it('learns that the callers of a route allow less time than before', () => {
    const returns = createReturnEstimate();
    returns.recordArrival('r', LIMIT_MS);
    for (let call = 0; call < 5_000; call += 1) returns.recordArrival('r', LIMIT_MS / 4);
    expect(returns.recordArrival('r', LIMIT_MS / 4)).to.equal(false);
  });

  it('keeps routes apart and takes the first caller of a route for a first arrival', () => {
    const returns = createReturnEstimate();
    returns.recordArrival('long', LIMIT_MS);
    expect(returns.recordArrival('short', LIMIT_MS / 10)).to.equal(false);
  });
});
