import { expect } from 'chai';
import { createLineSink, type WriteBytes } from '../src/line-sink.js';
import { createLogger, LogEvent } from '../src/log.js';
import { createElapsedTime, createVirtualClock } from '../src/clock.js';

/** Bytes that a sink may buffer for a reader that stopped reading, plus one line. */
const MAX_PENDING_BYTES = 256 * 1024 + 2_048;
const LINE = 'x'.repeat(100);

function waitForWrites(): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, 30);
  });
}

describe('line sink', () => {
  it('does not block on a reader that stopped reading, and counts dropped lines', async () => {
    let writtenBytes = 0;
    const writeNever: WriteBytes = (bytes) => {
      writtenBytes += bytes.length;
    };
    const sink = createLineSink({ writeBytes: writeNever, now: () => 0 });
    const startedAt = performance.now();
    for (let count = 0; count < 20_000; count += 1) sink.writeLine(LINE);
    expect(performance.now() - startedAt).to.be.below(2_000);
    await waitForWrites();
    expect(writtenBytes).to.be.at.most(MAX_PENDING_BYTES);
    expect(sink.countDropped()).to.be.above(15_000);
  });

  it('limits the rate, and reports the dropped lines once the rate allows it', async () => {
    let now = 0;
    let text = '';
    const writeAll: WriteBytes = (bytes, done) => {
      text += bytes.toString();
      setImmediate(() => done(null, bytes.length));
    };
    const sink = createLineSink({ writeBytes: writeAll, now: () => now });
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

  it('retries writes that failed with EAGAIN or were partial', async () => {
    let attempts = 0;
    let text = '';
    const writePart: WriteBytes = (bytes, done) => {
      attempts += 1;
      if (attempts === 1) {
        done(Object.assign(new Error('busy'), { code: 'EAGAIN' }), 0);
        return;
      }
      const part = bytes.subarray(0, 3);
      text += part.toString();
      setImmediate(() => done(null, part.length));
    };
    const sink = createLineSink({ writeBytes: writePart });
    sink.writeLine('one line');
    await sink.flush(500);
    expect(text).to.equal('one line\n');
  });

  it('receives log lines as key=value pairs, with values quoted where needed', () => {
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
  it('counts suspension and forward steps of the wall clock, and never decreases', () => {
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

  it('reports each step of the wall clock, but no drift', () => {
    const clock = createVirtualClock();
    let wallOffset = 0;
    const steps: number[] = [];
    const getElapsed = createElapsedTime(
      { ...clock, readWallTime: () => clock.now() + wallOffset },
      (stepMs) => steps.push(stepMs),
    );
    for (const [offset, advanceMs] of [
      [100, 50],
      [2_500, 50],
      [2_500, 400],
      [100, 50],
    ] as const) {
      wallOffset = offset;
      clock.advance(advanceMs);
      getElapsed();
    }
    expect(steps).to.deep.equal([2_400, -2_400]);
  });
});
