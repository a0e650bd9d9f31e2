import { expect } from 'chai';
import { createLineSink, type WriteBytes } from '../src/line-sink.js';
import { createLogger, LogEvent } from '../src/log.js';
import { createElapsedTime, createVirtualClock } from '../src/clock.js';

/** Bytes that a sink may hold for a reader that stopped, with room for one line more. */
const HELD_LIMIT_BYTES = 256 * 1024 + 2_048;
const LINE = 'x'.repeat(100);

function waitForWrites(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, 30);
  });
}

describe('line sink', () => {
  it('never waits for a reader that stopped, and counts what it drops', async () => {
    let taken = 0;
    const stuck: WriteBytes = (bytes) => {
      taken += bytes.length;
    };
    const sink = createLineSink({ writeBytes: stuck, now: () => 0 });
    const startedAt = performance.now();
    for (let count = 0; count < 20_000; count += 1) sink.writeLine(LINE);
    expect(performance.now() - startedAt).to.be.below(2_000);
    await waitForWrites();
    expect(taken).to.be.at.most(HELD_LIMIT_BYTES);
    expect(sink.countDropped()).to.be.above(15_000);
  });

  it('bounds the rate, and reports the dropped lines once there is room', async () => {
    let now = 0;
    let text = '';
    const take: WriteBytes = (bytes, done) => {
      text += bytes.toString();
      setImmediate(() => done(null, bytes.length));
    };
    const sink = createLineSink({ writeBytes: take, now: () => now });
    for (let round = 0; round < 40; round += 1) {
      for (let count = 0; count < 200; count += 1) sink.writeLine(LINE);
      await waitForWrites();
    }
    const dropped = sink.countDropped();
    expect(text.length).to.be.at.most(512 * 1024);
    expect(dropped).to.be.above(0);
    now += 1_000;
    sink.writeLine(LINE);
    await waitForWrites();
    const reports = [...text.matchAll(/event=log-lines-dropped count=(\d+)/g)];
    expect(reports.reduce((sum, [, count]) => sum + Number(count), 0)).to.equal(dropped);
  });

  it('tries again when the reader could not take a write', async () => {
    let tries = 0;
    let text = '';
    const reluctant: WriteBytes = (bytes, done) => {
      tries += 1;
      if (tries === 1) {
        done(Object.assign(new Error('busy'), { code: 'EAGAIN' }), 0);
        return;
      }
      const part = bytes.subarray(0, 3);
      text += part.toString();
      setImmediate(() => done(null, part.length));
    };
    const sink = createLineSink({ writeBytes: reluctant });
    sink.writeLine('one line');
    await sink.flush(500);
    expect(text).to.equal('one line\n');
  });

  it('gets key=value lines with quoted text where needed', () => {
    let line = '';
    const sink = {
      writeLine(text: string) {
        line = text;
        return true;
      },
      countDropped: () => 0,
      flush: () => Promise.resolve(),
    };
    createLogger({ process: 'e1' }, 'info', sink).info(LogEvent.RequestFinished, {
      status: 200,
      reason: 'two words',
      empty: '',
      missing: undefined,
    });
    expect(line.replace(/time=\S+/, 'time=T')).to.equal(
      'level=info time=T process=e1 event=request-finished status=200 reason="two words" empty=""',
    );
  });
});

describe('elapsed time', () => {
  it('counts suspension and forward steps of the wall clock, and never goes back', () => {
    const clock = createVirtualClock();
    let wallOffset = 0;
    const getElapsed = createElapsedTime({
      ...clock,
      readWallTime: () => clock.now() + wallOffset,
    });
    clock.advance(100);
    expect(getElapsed()).to.equal(100);
    wallOffset = 5_000;
    expect(getElapsed()).to.equal(5_100);
    wallOffset = -5_000;
    clock.advance(10);
    expect(getElapsed()).to.equal(5_110);
  });
});
