/** Load pattern: callers that were refused under overload come back among first arrivals. */
import { expect } from 'chai';
import { computeRank, createReturnEstimate, RANKS } from '../src/rank.js';

const LIMIT_MS = 10_000;

describe('rank', () => {
  it('serves all that can be on time, by tier, before what is late in any case', () => {
    const order = [
      computeRank(0, false),
      computeRank(1, false),
      computeRank(2, false),
      computeRank(0, true),
      computeRank(1, true),
    ];
    expect(order).to.deep.equal([...order].sort((left, right) => left - right));
    expect(new Set(order).size).to.equal(order.length);
  });

  it('shares the last rank between tiers beyond those told apart', () => {
    expect(computeRank(100, true)).to.equal(RANKS - 1);
    expect(computeRank(-1, false)).to.equal(0);
  });
});

describe('return estimate', () => {
  it('knows a returned caller by the part of its time limit that is spent', () => {
    const returns = createReturnEstimate();
    expect(returns.recordArrival('r', LIMIT_MS)).to.equal(false);
    expect(returns.recordArrival('r', LIMIT_MS * 0.9)).to.equal(false);
    expect(returns.recordArrival('r', LIMIT_MS * 0.7)).to.equal(true);
  });

  it('keeps routes apart and takes the first caller of a route for a first arrival', () => {
    const returns = createReturnEstimate();
    returns.recordArrival('long', LIMIT_MS);
    expect(returns.recordArrival('short', LIMIT_MS / 10)).to.equal(false);
  });
});
