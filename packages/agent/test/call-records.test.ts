import { expect } from 'chai';
import { createVirtualClock, type VirtualClock } from '@masticbend/kernel/clock';
import { createSilentLogger } from '@masticbend/kernel/log';
import type { CallAttempt, IdempotencyRecords } from '@masticbend/state/idempotency';
import { PlatformError } from '@masticbend/state/table';
import { createCallRecords, type CallRecords } from '../src/call-records.js';

const SEED = 20261203;
const AGENTS = 200;
const PENDING_PER_AGENT = 2;
const STEP_MS = 20;
const SECOND_MS = 1_000;

const answer = { kind: 'answer', status: 201, headers: {}, body: '' } as const;

/** Table service that is down until `down` is set to false; counts its calls per second. */
function createStore(clock: VirtualClock) {
  const bySecond = new Map<number, number>();
  const store = { down: true, written: 0 };

  async function write(): Promise<'written'> {
    const second = Math.floor(clock.now() / SECOND_MS);
    bySecond.set(second, (bySecond.get(second) ?? 0) + 1);
    if (store.down) throw new PlatformError('down', false);
    store.written += 1;
    return 'written';
  }

  const records: IdempotencyRecords = {
    async startAttempt(reference, attempt, idempotent) {
      await write().catch(() => undefined);
      if (store.down) return { kind: 'unavailable' };
      return { kind: 'started', attempt: createAttempt(attempt, idempotent) };
    },
    renew: write,
    finish: write,
    release: write,
    removeExpired: async () => 0,
  };
  const findPeak = (from: number) =>
    Math.max(...[...bySecond].filter(([second]) => second >= from).map(([, count]) => count));
  return { store, records, findPeak };
}

function createAttempt(attempt: string, idempotent = false): CallAttempt {
  return { key: attempt, attempt, fingerprint: 'f', idempotent, version: 1 };
}

/** Advances the clock in steps and lets the work due at each step finish. */
async function runFor(clock: VirtualClock, durationMs: number): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) {
    clock.advance(STEP_MS);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

/** Creates a seeded generator of numbers in [0, 1). */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

function createAgents(clock: VirtualClock, records: IdempotencyRecords, drawRandom: () => number) {
  const log = createSilentLogger();
  const agents = Array.from({ length: AGENTS }, () =>
    createCallRecords({ records, clock, log, drawRandom }),
  );
  agents.forEach((agent, index) => {
    for (let call = 0; call < PENDING_PER_AGENT; call += 1) {
      agent.finish(createAttempt(`${index}-${call}`), answer);
    }
  });
  return agents;
}

const sumPending = (agents: CallRecords[]) =>
  agents.reduce((sum, agent) => sum + agent.countPending(), 0);

describe('call records', () => {
  let clock: VirtualClock;

  beforeEach(() => {
    clock = createVirtualClock();
  });

  /** Simulates an outage of one minute; returns the peak of calls per second after it. */
  async function measurePeak(drawRandom: () => number): Promise<number> {
    const { store, records, findPeak } = createStore(clock);
    const agents = createAgents(clock, records, drawRandom);
    await runFor(clock, 60 * SECOND_MS);
    expect(sumPending(agents)).to.equal(AGENTS * PENDING_PER_AGENT);
    store.down = false;
    const restoredAt = Math.floor(clock.now() / SECOND_MS);
    await runFor(clock, 30 * SECOND_MS);
    expect(store.written).to.equal(AGENTS * PENDING_PER_AGENT);
    expect(sumPending(agents)).to.equal(0);
    for (const agent of agents) agent.stop();
    return findPeak(restoredAt);
  }

  it(`spreads pending writes over time after an outage, seed ${SEED}`, async () => {
    const peak = await measurePeak(createRandom(SEED));
    expect(peak).to.be.below((AGENTS * PENDING_PER_AGENT) / 4);
  });

  it('writes everything in one second without jitter in the back-off', async () => {
    const peak = await measurePeak(() => 0.5);
    expect(peak).to.equal(AGENTS * PENDING_PER_AGENT);
  });

  it('does not call the table service during back-off', async () => {
    const { records, findPeak } = createStore(clock);
    const agent = createCallRecords({
      records,
      clock,
      log: createSilentLogger(),
      drawRandom: () => 0.5,
    });
    const reference = { account: 'a', key: 'k', fingerprint: 'f', attempt: 'x' };
    for (let call = 0; call < 100; call += 1) {
      const result = await agent.startAttempt(reference, false);
      expect(result.kind).to.equal('unavailable');
    }
    expect(findPeak(0)).to.equal(1);
    expect(agent.computeRetryAfter()).to.be.above(0);
  });

  it('bounds the number and the size of pending changes', async () => {
    const { records } = createStore(clock);
    const agent = createCallRecords({
      records,
      clock,
      log: createSilentLogger(),
      drawRandom: () => 0.5,
    });
    const body = 'x'.repeat(1024 * 1024);
    for (let call = 0; call < 1_100; call += 1) {
      agent.finish(createAttempt(`${call}`), { ...answer, body });
    }
    await runFor(clock, SECOND_MS);
    const { pending, pendingBytes } = agent.dump() as { pending: number; pendingBytes: number };
    expect(pending).to.equal(1_024);
    expect(pendingBytes).to.be.at.most(8 * 1024 * 1024);
    agent.stop();
  });
});
