import { expect } from 'chai';
import fc from 'fast-check';
import { createEventSplitter } from '../src/event-splitter.js';

const SEED = 7;
const STREAM =
  'id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\nid: 29\rdata: c\r\rid: 30\ndata: d\n\n';

describe('event splitter', () => {
  it('returns complete events only, wherever the stream is split into chunks', () => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 80 }), (sizes) => {
        const splitter = createEventSplitter();
        let output = '';
        let count = 0;
        let lastId: string | undefined;
        let start = 0;
        for (const size of sizes) {
          const completeEvents = splitter.push(Buffer.from(STREAM.slice(start, start + size)));
          start += size;
          if (completeEvents) {
            expect(completeEvents.bytes.toString()).to.match(/(\n|\r)(\n|\r\n?)$/);
            output += completeEvents.bytes.toString();
            count += completeEvents.count;
            lastId = completeEvents.lastId ?? lastId;
          }
        }
        expect({ output, count, lastId }).to.deep.equal({
          output: STREAM,
          count: 5,
          lastId: '30',
        });
      }),
      { seed: SEED, numRuns: 100 },
    );
  });

  it('holds an incomplete event back', () => {
    const splitter = createEventSplitter();
    expect(splitter.push(Buffer.from('id: 1\ndata: to'))).to.equal(undefined);
    expect(splitter.isWithinEvent()).to.equal(true);
    expect(splitter.countPendingBytes()).to.equal(14);
    expect(splitter.takeRemainder().toString()).to.equal('id: 1\ndata: to');
    expect(splitter.takeRemainder().length).to.equal(0);
    expect(splitter.isWithinEvent()).to.equal(false);
  });

  it('tells an incomplete event from blank lines and comments', () => {
    const describeEnd = (text: string) => {
      const splitter = createEventSplitter();
      splitter.push(Buffer.from(`id: 1\ndata: a\n\n${text}`));
      return splitter.isWithinEvent();
    };
    for (const text of ['', '\n', '\r\n', ': ping\n', ': ping\r\n\r\n: ping\n']) {
      expect(describeEnd(text), JSON.stringify(text)).to.equal(false);
    }
    for (const text of ['i', 'id: 2\n', 'data: b\n', ': ping\ndata', ': pi', '\nid: 2\r\n']) {
      expect(describeEnd(text), JSON.stringify(text)).to.equal(true);
    }
  });
});
