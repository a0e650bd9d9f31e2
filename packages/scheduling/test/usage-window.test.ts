import { expect } from 'chai';
import fc from 'fast-check';
import { computeCountedMs, createUsageWindow } from '../src/usage-window.js';

const WINDOW_MS = 8_000;
const SEED = 20_262;

describe('usage window', () => {
  it('never counts less than what was used in the window, nor units beyond its counted time', () => {
    const uses = fc.array(fc.tuple(fc.integer({ min: 0, max: 3_000 }), fc.nat(1_000)));
    fc.assert(
      fc.property(uses, (steps) => {
        const window = createUsageWindow(WINDOW_MS);
        const used: [number, number][] = [];
        let now = 0;
        return steps.every(([afterMs, units]) => {
          now += afterMs;
          window.add(now, units);
          used.push([now, units]);
          const sumSince = (start: number) =>
            used.reduce((sum, [at, each]) => sum + (at > start ? each : 0), 0);
          const isEnough = window.findTimeUntil(now, sumSince(now - WINDOW_MS) - 1) > 0;
          const most = sumSince(now - computeCountedMs(WINDOW_MS) - 1);
          return isEnough && window.findTimeUntil(now, most) === 0;
        });
      }),
      { seed: SEED, numRuns: 200 },
    );
  });

  it('tells when units leave the window', () => {
    const window = createUsageWindow(WINDOW_MS);
    window.add(1_000, 10);
    window.add(2_000, 20);
    const waitMs = window.findTimeUntil(3_000, 20);
    expect(waitMs).to.be.within(WINDOW_MS - 2_000, computeCountedMs(WINDOW_MS) - 2_000);
    expect(window.findTimeUntil(3_000 + waitMs - 1, 20)).to.be.above(0);
    expect(window.findTimeUntil(3_000 + waitMs, 20)).to.equal(0);
  });

  it('takes back the newest units first, and none below zero', () => {
    const window = createUsageWindow(WINDOW_MS);
    window.add(0, 10);
    window.add(4_000, 10);
    window.remove(4_000, 15);
    expect(window.findTimeUntil(4_000, 5)).to.equal(0);
    window.remove(4_000, 100);
    expect(window.findTimeUntil(4_000, 0)).to.equal(0);
  });
});
