/** Load pattern: more requests than slots, some of which can no longer be on time. */
import { expect } from 'chai';
import { computeRank, RANK_COUNT } from '../src/rank.js';

describe('rank', () => {
  it('serves all requests that can be on time, by tier, before those that are late', () => {
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

  it('clamps tiers without a rank of their own to the last rank', () => {
    expect(computeRank(100, true)).to.equal(RANK_COUNT - 1);
    expect(computeRank(-1, false)).to.equal(0);
  });
});
