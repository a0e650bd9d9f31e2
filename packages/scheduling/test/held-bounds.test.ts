import { expect } from 'chai';
import { computeHeldBounds, DEFAULT_LIMITS } from '../src/held-bounds.js';

const MIB = 1024 * 1024;

describe('the bounds of a process', () => {
  it('follow from its memory and its descriptors', () => {
    const cases = [DEFAULT_LIMITS, { memoryMb: 88, descriptors: 300 }].concat(
      { memoryMb: 200, descriptors: 4_100 },
      { memoryMb: 602, descriptors: 8_192 },
    );
    const found = cases.map((limits) => {
      const { processBytes, maxConnections } = computeHeldBounds(limits);
      return [processBytes / MIB, maxConnections];
    });
    expect(found).to.deep.equal([
      [39, 2_457],
      [8, 180],
      [50, 2_460],
      [64, 4_915],
    ]);
  });
});
