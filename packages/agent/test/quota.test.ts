import { expect } from 'chai';
import fc from 'fast-check';
import { createQuotaAllocator, type QuotaAmounts } from '../src/quota.js';

const SEED = 20261205;
const LIMIT: QuotaAmounts = { requestRate: 100, tokenRate: 10_000, concurrency: 20 };
const LEASE_MS = 2_000;

function createDemand(requestRate: number): QuotaAmounts {
  return { requestRate, tokenRate: requestRate * 100, concurrency: Math.ceil(requestRate / 10) };
}

describe('quota allocator', () => {
  it('gives the whole limit to a single entry with a demand far above it', () => {
    const allocator = createQuotaAllocator();
    expect(allocator.lease(0, 'a', 'e1', createDemand(900), LIMIT, LEASE_MS)).to.deep.equal(LIMIT);
  });

  it('meets small demands first and divides the rest evenly', () => {
    const allocator = createQuotaAllocator();
    const demands: [string, number][] = [
      ['e1', 10],
      ['e2', 500],
      ['e3', 900],
    ];
    const rates = new Map<string, number>();
    for (const now of [0, 500, 1_000, 1_500]) {
      for (const [entry, rate] of demands) {
        const share = allocator.lease(now, 'a', entry, createDemand(rate), LIMIT, LEASE_MS);
        rates.set(entry, share.requestRate);
      }
    }
    expect([...rates.values()]).to.deep.equal([10, 45, 45]);
  });

  it('gives the share of a lost entry to others once its lease has expired', () => {
    const allocator = createQuotaAllocator();
    allocator.lease(0, 'a', 'e1', createDemand(900), LIMIT, LEASE_MS);
    const early = allocator.lease(LEASE_MS - 1, 'a', 'e2', createDemand(900), LIMIT, LEASE_MS);
    expect(early.requestRate).to.equal(0);
    const late = allocator.lease(LEASE_MS, 'a', 'e2', createDemand(900), LIMIT, LEASE_MS);
    expect(late.requestRate).to.equal(100);
  });

  it(`never leases more than the limit, seed ${SEED}`, () => {
    const step = fc.record({
      entry: fc.integer({ min: 0, max: 5 }),
      rate: fc.double({ min: 0, max: 300, noNaN: true }),
      waitMs: fc.integer({ min: 0, max: 1_500 }),
      validMs: fc.constantFrom(1_000, 2_000, 24_000),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const allocator = createQuotaAllocator();
        const leases = new Map<string, { share: QuotaAmounts; expiresAt: number }>();
        let now = 0;
        for (const { entry, rate, waitMs, validMs } of steps) {
          now += waitMs;
          const share = allocator.lease(now, 'a', `${entry}`, createDemand(rate), LIMIT, validMs);
          leases.set(`${entry}`, { share, expiresAt: now + validMs });
          const at = now;
          const activeLeases = [...leases.values()].filter(({ expiresAt }) => expiresAt > at);
          for (const amount of ['requestRate', 'tokenRate', 'concurrency'] as const) {
            const sum = activeLeases.reduce((total, lease) => total + lease.share[amount], 0);
            expect(sum).to.be.at.most(LIMIT[amount] * (1 + 1e-9));
          }
        }
      }),
      { seed: SEED, numRuns: 500 },
    );
  });
});
