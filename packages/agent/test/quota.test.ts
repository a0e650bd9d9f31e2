import { expect } from 'chai';
import fc from 'fast-check';
import { createQuotaAllocator, type QuotaAmounts } from '../src/quota.js';

const SEED = 20261205;
const LIMIT: QuotaAmounts = { requestRate: 100, tokenRate: 10_000, concurrency: 20 };
const LEASE_MS = 2_000;

function createDemand(requestRate: number): QuotaAmounts {
  return { requestRate, tokenRate: requestRate * 100, concurrency: Math.ceil(requestRate / 10) };
}

describe('quota holder', () => {
  it('gives one entry far above the limit the whole of it', () => {
    const holder = createQuotaAllocator();
    expect(holder.lease(0, 'a', 'e1', createDemand(900), LIMIT, LEASE_MS)).to.deep.equal(LIMIT);
  });

  it('meets small demands first and shares the rest evenly', () => {
    const holder = createQuotaAllocator();
    const demands: [string, number][] = [
      ['e1', 10],
      ['e2', 500],
      ['e3', 900],
    ];
    const rates = new Map<string, number>();
    for (const now of [0, 500, 1_000, 1_500]) {
      for (const [entry, rate] of demands) {
        const share = holder.lease(now, 'a', entry, createDemand(rate), LIMIT, LEASE_MS);
        rates.set(entry, share.requestRate);
      }
    }
    expect([...rates.values()]).to.deep.equal([10, 45, 45]);
  });

  it('gives the share of a lost entry to others once its lease is over', () => {
    const holder = createQuotaAllocator();
    holder.lease(0, 'a', 'e1', createDemand(900), LIMIT, LEASE_MS);
    const early = holder.lease(LEASE_MS - 1, 'a', 'e2', createDemand(900), LIMIT, LEASE_MS);
    expect(early.requestRate).to.equal(0);
    const late = holder.lease(LEASE_MS, 'a', 'e2', createDemand(900), LIMIT, LEASE_MS);
    expect(late.requestRate).to.equal(100);
  });

  it(`never has more out than the limit, seed ${SEED}`, () => {
    const step = fc.record({
      entry: fc.integer({ min: 0, max: 5 }),
      rate: fc.double({ min: 0, max: 300, noNaN: true }),
      waitMs: fc.integer({ min: 0, max: 1_500 }),
      validMs: fc.constantFrom(1_000, 2_000, 24_000),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const holder = createQuotaAllocator();
        const out = new Map<string, { share: QuotaAmounts; expiresAt: number }>();
        let now = 0;
        for (const { entry, rate, waitMs, validMs } of steps) {
          now += waitMs;
          const share = holder.lease(now, 'a', `${entry}`, createDemand(rate), LIMIT, validMs);
          out.set(`${entry}`, { share, expiresAt: now + validMs });
          const at = now;
          const live = [...out.values()].filter(({ expiresAt }) => expiresAt > at);
          for (const amount of ['requestRate', 'tokenRate', 'concurrency'] as const) {
            const sum = live.reduce((total, lease) => total + lease.share[amount], 0);
            expect(sum).to.be.at.most(LIMIT[amount] * (1 + 1e-9));
          }
        }
      }),
      { seed: SEED, numRuns: 500 },
    );
  });
});
