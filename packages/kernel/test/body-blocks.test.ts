import { expect } from 'chai';
import { createBodyBlocks } from '../src/body-blocks.js';

const MIB = 1024 * 1024;

describe('the blocks of a body', () => {
  // Each chunk of one byte kept a buffer, and around it all that was read with it.
  it('cost little more than the bytes, whatever the size of the pieces', () => {
    const blocks = createBodyBlocks();
    const piece = Buffer.from('x');
    for (let count = 0; count < MIB; count += 1) blocks.add(piece);
    expect(blocks.countBytes()).to.equal(MIB);
    expect(blocks.countMemory()).to.be.at.most(MIB + 64 * 1024);
    expect(blocks.take().equals(Buffer.alloc(MIB, 'x'))).to.equal(true);
    expect(blocks.countMemory()).to.equal(0);
  });

  it('keep the order of pieces of any size', () => {
    const blocks = createBodyBlocks();
    const pieces = [3, 0, 5_000, 1, 100_000, 700].map((size, index) =>
      Buffer.alloc(size, String(index)),
    );
    for (const piece of pieces) blocks.add(piece);
    expect(blocks.take().equals(Buffer.concat(pieces))).to.equal(true);
  });

  it('keep nothing after a drop, and count on', () => {
    const blocks = createBodyBlocks();
    blocks.add(Buffer.alloc(10));
    blocks.drop();
    blocks.add(Buffer.alloc(10));
    expect([blocks.countBytes(), blocks.countMemory()]).to.deep.equal([20, 0]);
  });
});
