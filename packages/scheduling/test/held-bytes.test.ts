import { expect } from 'chai';
import type { HeldSample } from '@masticbend/kernel/connection-bounds';
import { createHeldBytes } from '../src/held-bytes.js';

const KIB = 1024;
const BOUNDS = {
  connectionBytes: 512 * KIB,
  maxConnectionBytes: 8 * KIB * KIB,
  processBytes: 64 * KIB * KIB,
  writeMs: 5_000,
};
const STEP_MS = 100;
const ANSWER_BYTES = 256 * KIB;

interface Reader {
  bytesPerStep: number;
  queued: number;
  taken: number;
}

function describeReader({ queued, taken }: Reader): HeldSample {
  return {
    outputBytes: queued,
    dueBytes: queued,
    otherBytes: 0,
    movedBytes: taken,
    takenBytes: taken,
    isRefusable: false,
  };
}

describe('held bytes', () => {
  // 2,000 answers of 256 KiB are 500 MiB: without a bound, the process exceeds its memory.
  it('stay within the process bound with 1,800 slow readers, and spare the 200 fast ones', () => {
    const held = createHeldBytes<number>(BOUNDS);
    const readers = new Map<number, Reader>();
    const dropped: number[] = [];
    for (let step = 0; step < 60; step += 1) {
      const now = step * STEP_MS;
      for (let each = 0; each < 50; each += 1) {
        const id = step * 50 + each;
        const isFast = id % 10 === 0;
        const bytesPerStep = isFast ? 128 * KIB : 100 + (id % 7);
        if (id < 2_000) readers.set(id, { bytesPerStep, queued: ANSWER_BYTES, taken: 0 });
      }
      for (const [id, reader] of readers) {
        held.update(now, id, describeReader(reader));
        const moved = Math.min(reader.queued, reader.bytesPerStep);
        reader.queued -= moved;
        reader.taken += moved;
      }
      for (const { id } of held.takeDropped(now)) {
        dropped.push(id);
        readers.delete(id);
      }
      expect(held.count()).to.be.at.most(BOUNDS.processBytes);
    }
    expect(dropped.length).to.be.greaterThan(1_000);
    expect(dropped.filter((id) => id % 10 === 0)).to.deep.equal([]);
  });

  it('drop the slowest reader first, and only until the bound is kept', () => {
    const held = createHeldBytes<string>({ ...BOUNDS, processBytes: 1_000 });
    for (const now of [0, 400]) {
      for (const [id, pace] of Object.entries({ fast: 2, slow: 0.1, medium: 0.5 })) {
        held.update(now, id, describeReader({ bytesPerStep: 0, queued: 380, taken: pace * now }));
      }
    }
    expect(held.takeDropped(400)).to.deep.equal([
      { id: 'slow', reason: 'process-bound', heldBytes: 380 },
    ]);
  });

  // A request that a server is running is lost when it is dropped; one that waits is refused.
  it('drop bodies that wait here before those of requests that were sent', () => {
    const held = createHeldBytes<string>({ ...BOUNDS, processBytes: 1_000 });
    const body = { outputBytes: 0, dueBytes: 0, otherBytes: 600, movedBytes: 600, takenBytes: 0 };
    for (const now of [0, 400]) {
      held.update(now, 'sent', { ...body, isRefusable: false });
      held.update(now, 'waiting', { ...body, isRefusable: true });
    }
    expect(held.takeDropped(400).map(({ id }) => id)).to.deep.equal(['waiting']);
  });

  it('drop a reader that takes nothing within the time limit, and none that takes a little', () => {
    const held = createHeldBytes<string>(BOUNDS);
    for (let now = 0; now <= BOUNDS.writeMs; now += STEP_MS) {
      held.update(now, 'still', describeReader({ bytesPerStep: 0, queued: 10, taken: 0 }));
      held.update(now, 'slow', describeReader({ bytesPerStep: 0, queued: 10, taken: now }));
      if (now < BOUNDS.writeMs) expect(held.takeDropped(now)).to.deep.equal([]);
    }
    expect(held.takeDropped(BOUNDS.writeMs)).to.deep.equal([
      { id: 'still', reason: 'write-timeout', heldBytes: 10 },
    ]);
  });

  // A process that was suspended found all its callers idle for as long.
  it('keep a reader while the entry itself does not run', () => {
    const held = createHeldBytes<string>(BOUNDS);
    const sample = describeReader({ bytesPerStep: 0, queued: 10, taken: 0 });
    for (const now of [0, 2 * BOUNDS.writeMs]) {
      held.update(now, 'a', sample);
      expect(held.takeDropped(now)).to.deep.equal([]);
    }
  });

  // The caller can take nothing while the server of its first request is at work.
  it('keep answers that wait for an earlier one beyond the time limit', () => {
    const held = createHeldBytes<string>(BOUNDS);
    for (let now = 0; now <= 2 * BOUNDS.writeMs; now += STEP_MS) {
      const sample = describeReader({ bytesPerStep: 0, queued: 10, taken: 0 });
      held.update(now, 'a', { ...sample, dueBytes: 0 });
      expect(held.takeDropped(now)).to.deep.equal([]);
    }
  });

  it('pause the servers of each caller that is behind in the upper half of the bound', () => {
    const held = createHeldBytes<string>({ ...BOUNDS, processBytes: 1_000 });
    expect(held.getAllowance()).to.equal(BOUNDS.connectionBytes);
    held.update(0, 'a', describeReader({ bytesPerStep: 0, queued: 600, taken: 0 }));
    expect(held.getAllowance()).to.equal(0);
  });

  // One caller that read late kept all slots of a server although the entry held little.
  it('take more answers from servers while the entry holds little', () => {
    const held = createHeldBytes<number>({ ...BOUNDS, spareFraction: 0.25 });
    expect(held.getAnswerAllowance()).to.equal(BOUNDS.processBytes / 8);
    expect(held.getAllowance()).to.equal(BOUNDS.connectionBytes);
    for (let id = 0; id < 70; id += 1) {
      const queued = Math.max(0, held.getAnswerAllowance());
      held.update(0, id, describeReader({ bytesPerStep: 0, queued, taken: 0 }));
    }
    expect(held.getAnswerAllowance()).to.equal(0);
    expect(held.count()).to.be.at.most(BOUNDS.processBytes / 2 + BOUNDS.connectionBytes);
  });

  // A crowd of half bodies made an entry drop its ordinary callers' answers.
  it('drop what holds most without moving before idle connections and readers that keep up', () => {
    const held = createHeldBytes<string>({ ...BOUNDS, processBytes: 10_000 });
    const idle = { ...describeReader({ bytesPerStep: 0, queued: 0, taken: 0 }), baseBytes: 100 };
    for (let now = 0; now <= 1_000; now += STEP_MS) {
      held.update(now, 'body', {
        ...idle,
        otherBytes: 9_500,
        movedBytes: 9_500,
        isRefusable: true,
      });
      held.update(now, 'reader', {
        ...describeReader({ bytesPerStep: 0, queued: 400, taken: now * 10 }),
        baseBytes: 100,
      });
      held.update(now, 'idle', { ...idle, isRefusable: true });
    }
    expect(held.takeDropped(1_000).map(({ id }) => id)).to.deep.equal(['body']);
  });

  // Nothing was left for the connections that the process opens itself.
  it('drop connections above their number, those that have been idle for longest first', () => {
    const held = createHeldBytes<number>({ ...BOUNDS, maxConnections: 20 });
    for (let id = 0; id < 21; id += 1) {
      const sample = describeReader({ bytesPerStep: 0, queued: 0, taken: 0 });
      held.update(id * STEP_MS, id, { ...sample, baseBytes: KIB, isRefusable: true });
    }
    expect(held.isExceeded()).to.equal(true);
    expect(held.takeDropped(21 * STEP_MS).map(({ id }) => id)).to.deep.equal([0, 1, 2]);
    expect(held.isExceeded()).to.equal(false);
  });
});
