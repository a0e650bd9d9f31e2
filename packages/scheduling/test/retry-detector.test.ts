/** Load pattern: callers that were refused under overload retry among first arrivals. */
import { expect } from 'chai';
import { createRetryDetector } from '../src/retry-detector.js';

const LIMIT_MS = 10_000;

describe('retry detector', () => {
  it('detects a retrying caller by its reduced time limit', () => {
    const detector = createRetryDetector();
    expect(detector.recordArrival('r', LIMIT_MS)).to.equal(false);
    expect(detector.recordArrival('r', LIMIT_MS * 0.9)).to.equal(false);
    expect(detector.recordArrival('r', LIMIT_MS * 0.7)).to.equal(true);
  });

  it('adapts when the callers of a route reduce their time limit', () => {
    const detector = createRetryDetector();
    detector.recordArrival('r', LIMIT_MS);
    for (let call = 0; call < 5_000; call += 1) detector.recordArrival('r', LIMIT_MS / 4);
    expect(detector.recordArrival('r', LIMIT_MS / 4)).to.equal(false);
  });

  it('treats routes separately, and the first caller of a route as a first arrival', () => {
    const detector = createRetryDetector();
    detector.recordArrival('long', LIMIT_MS);
    expect(detector.recordArrival('short', LIMIT_MS / 10)).to.equal(false);
  });
});
