import { expect } from 'chai';
import { createStreamOrigins } from '../src/stream-origins.js';

const ORIGIN = { service: 'engine', softwareVersion: 'v1' };
/** Longest time for which any caller goes on with a stream. */
const LONGEST_STREAM_MS = 30_000;

describe('stream origins', () => {
  it('are known for as long as a caller may take up its stream, then dropped', () => {
    const origins = createStreamOrigins();
    for (let second = 0; second < 600; second += 1) {
      origins.set(second * 1_000, `s${second}`, ORIGIN);
    }
    const now = 599_000;
    expect(origins.find(now, 's599')).to.include(ORIGIN);
    expect(origins.find(now, `s${599 - LONGEST_STREAM_MS / 1_000}`)).to.include(ORIGIN);
    expect(origins.find(now, 's500')).to.equal(undefined);
    expect(origins.count()).to.be.below(100);
  });

  it('are kept from the last time that they were set', () => {
    const origins = createStreamOrigins();
    origins.set(0, 'a', ORIGIN);
    origins.set(50_000, 'b', ORIGIN);
    origins.set(50_000, 'a', ORIGIN);
    expect(origins.find(50_000 + LONGEST_STREAM_MS, 'a')).to.include(ORIGIN);
    expect(origins.count()).to.equal(2);
  });
});
