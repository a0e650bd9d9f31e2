import { expect } from 'chai';
import { createLengthEstimator } from '../src/output-length.js';
import { createPrefixCacheModel, PREFIX_BLOCK_TOKENS } from '../src/prefix-cache.js';
import { createRateEstimate } from '../src/rate-estimate.js';
import { createRetryBudget } from '../src/retry-budget.js';

describe('estimates', () => {
  it('converge to the median and a high quantile of output lengths', () => {
    const lengths = createLengthEstimator();
    expect(lengths.estimate('reply')).to.equal(undefined);
    for (let count = 0; count < 2_000; count += 1) lengths.record('reply', (count * 37) % 100);
    const { median, high } = lengths.estimate('reply')!;
    expect(median).to.be.within(40, 60);
    expect(high).to.be.within(80, 100);
  });

  it('keep the rate of a few long prompts among many short ones', () => {
    const rates = createRateEstimate(() => 16);
    for (let count = 0; count < 5; count += 1) rates.recordPrefill(20_000, 2_000);
    for (let count = 0; count < 100; count += 1) rates.recordPrefill(50, 35);
    expect(rates.estimatePrefillMs(20_000)).to.be.within(1_800, 2_600);
    expect(rates.estimatePrefillMs(50)).to.be.within(20, 60);
  });

  it('follow a server that becomes slow within a few long prompts', () => {
    const rates = createRateEstimate(() => 16);
    for (let count = 0; count < 20; count += 1) rates.recordPrefill(10_000, 1_000);
    for (let count = 0; count < 8; count += 1) rates.recordPrefill(10_000, 5_000);
    expect(rates.estimatePrefillMs(10_000)).to.be.above(3_500);
  });

  it('correct the assumed size of a prefix cache by the cached tokens that calls report', () => {
    const cache = createPrefixCacheModel();
    const prefixes = Array.from({ length: 200 }, (_, index) => [`p${index}`]);
    for (const prefix of prefixes) cache.record(prefix);
    expect(cache.estimateCached(['p0'])).to.equal(PREFIX_BLOCK_TOKENS);
    for (let count = 0; count < 10; count += 1) cache.correct(PREFIX_BLOCK_TOKENS, 0);
    expect(cache.estimateCached(['p0'])).to.equal(0);
    expect(cache.estimateCached(['p199'])).to.equal(PREFIX_BLOCK_TOKENS);
  });

  it('spend a retry budget and refill it by successes', () => {
    const retries = createRetryBudget();
    let taken = 0;
    while (retries.tryTake()) taken += 1;
    expect(taken).to.equal(100);
    for (let count = 0; count < 25; count += 1) retries.recordSuccess();
    expect([retries.tryTake(), retries.tryTake(), retries.tryTake()]).to.deep.equal([
      true,
      true,
      false,
    ]);
  });
});
