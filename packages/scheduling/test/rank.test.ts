/** Load pattern: more requests than places, some of which can no longer be on time. */
import { expect } from 'chai';
import { computeRank, RANKS } from '../src/rank.js';

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
