import { expect } from 'chai';
import { createVirtualClock, type VirtualClock } from '@masticbend/kernel/clock';
import { startTable, type Table } from '@masticbend/standins/table';
import {
  ATTEMPT_LEASE_MS,
  CALL_TABLE,
  createIdempotencyRecords,
  RECORD_RETENTION_MS,
  type StartResult,
  type IdempotencyRecords,
  type RecordedOutcome,
} from '../src/idempotency.js';
import {
  createTableClient,
  PlatformError,
  type TableClient,
  type Transaction,
} from '../src/table.js';

const reference = { account: 'school', key: 'k1', fingerprint: 'f1', attempt: 'unused' };
const outcome: RecordedOutcome = { kind: 'answer', status: 201, headers: {}, body: 'e30=' };

describe('idempotency', () => {
  let table: Table;
  let client: TableClient;
  let clock: VirtualClock;
  let records: IdempotencyRecords;

  beforeEach(async () => {
    table = await startTable(0);
    client = createTableClient({ url: table.url, timeoutMs: 500 });
    clock = createVirtualClock(1);
    records = createIdempotencyRecords(client, clock);
  });

  afterEach(async () => {
    await client.close();
    await table.close();
  });

  function requireStarted(result: StartResult) {
    if (result.kind !== 'started') throw new Error(`expected started, got ${result.kind}`);
    return result.attempt;
  }

  it('lets one of many concurrent attempts run', async () => {
    const names = Array.from({ length: 20 }, (_, index) => `a${index}`);
    const results = await Promise.all(
      names.map((name) => records.startAttempt(reference, name, false)),
    );
    const kinds = results.map(({ kind }) => kind).sort();
    expect(kinds).to.deep.equal([...Array(19).fill('in-progress'), 'started']);
  });

  it('returns the recorded outcome to retries and an error to other bodies', async () => {
    const attempt = requireStarted(await records.startAttempt(reference, 'a1', false));
    await records.finish(attempt, outcome);
    const repeat = await records.startAttempt(reference, 'a2', false);
    const other = await records.startAttempt({ ...reference, fingerprint: 'f2' }, 'a3', false);
    const stranger = await records.startAttempt({ ...reference, account: 'bakery' }, 'a4', false);
    expect(repeat).to.deep.equal({ kind: 'recorded', outcome });
    expect([other.kind, stranger.kind]).to.deep.equal(['key-reused', 'started']);
  });

  it('finds out that an insert whose answer was lost took effect', async () => {
    table.faults.loseAnswers = 1;
    expect((await records.startAttempt(reference, 'a1', false)).kind).to.equal('started');
    expect((await records.startAttempt(reference, 'a2', false)).kind).to.equal('in-progress');
  });

  it('records an outcome again after its answer was lost', async () => {
    const attempt = requireStarted(await records.startAttempt(reference, 'a1', false));
    table.faults.loseAnswers = 1;
    const error = await records.finish(attempt, outcome).catch((caught: unknown) => caught);
    expect(error).to.be.instanceOf(PlatformError);
    expect(await records.finish(attempt, outcome)).to.equal('written');
    expect((await records.startAttempt(reference, 'a2', false)).kind).to.equal('recorded');
  });

  it('reports that an insert may be stored when the table service is unavailable', async () => {
    table.faults.loseAnswers = 10;
    const lost = await records.startAttempt(reference, 'a1', false);
    if (lost.kind !== 'unavailable' || !lost.uncertain) throw new Error('expected uncertainty');
    table.faults.loseAnswers = 0;
    await records.release(lost.uncertain);
    expect((await records.startAttempt(reference, 'a2', false)).kind).to.equal('started');
  });

  it('reports that nothing was inserted when the table service was not reached', async () => {
    await table.close();
    const result = await records.startAttempt(reference, 'a1', false);
    expect(result).to.deep.equal({ kind: 'unavailable', uncertain: undefined });
  });

  it('never runs a call again that a dead attempt may have run', async () => {
    await records.startAttempt(reference, 'a1', false);
    clock.advance(ATTEMPT_LEASE_MS * 2);
    expect((await records.startAttempt(reference, 'a2', false)).kind).to.equal('outcome-unknown');
    clock.advance(RECORD_RETENTION_MS / 2);
    expect((await records.startAttempt(reference, 'a3', false)).kind).to.equal('outcome-unknown');
  });

  it('lets a retry take over an idempotent call and drops the late outcome', async () => {
    const dead = requireStarted(await records.startAttempt(reference, 'a1', true));
    clock.advance(ATTEMPT_LEASE_MS * 2);
    const next = requireStarted(await records.startAttempt(reference, 'a2', true));
    expect(await records.finish(dead, outcome)).to.equal('superseded');
    expect(await records.finish(next, outcome)).to.equal('written');
  });

  it('keeps a renewed attempt in progress', async () => {
    const attempt = requireStarted(await records.startAttempt(reference, 'a1', false));
    clock.advance(ATTEMPT_LEASE_MS / 2);
    await records.renew(attempt);
    clock.advance(ATTEMPT_LEASE_MS);
    expect((await records.startAttempt(reference, 'a2', false)).kind).to.equal('in-progress');
    expect(await records.finish(attempt, outcome)).to.equal('written');
  });

  it('lets a retry run after a release', async () => {
    const attempt = requireStarted(await records.startAttempt(reference, 'a1', false));
    await records.release(attempt);
    expect((await records.startAttempt(reference, 'a2', false)).kind).to.equal('started');
  });

  /** Returns a client that keeps the transactions selected by `isKept` unsent. */
  function createDelayingClient(kept: Transaction[], isKept: (version: number) => boolean) {
    return {
      ...client,
      async transact(transaction: Transaction) {
        if (!isKept(transaction.conditions?.[0]?.version ?? 0)) return client.transact(transaction);
        kept.push(transaction);
        throw new PlatformError('no answer', true);
      },
    };
  }

  async function releaseUncertainAttempt(
    delayedRecords: IdempotencyRecords,
    name: string,
  ): Promise<void> {
    const lost = await delayedRecords.startAttempt(reference, name, false);
    if (lost.kind !== 'unavailable' || !lost.uncertain) throw new Error('expected uncertainty');
    await records.release(lost.uncertain);
  }

  it('keeps delayed inserts from taking effect after their release', async () => {
    const kept: Transaction[] = [];
    const frozen = createIdempotencyRecords(
      createDelayingClient(kept, () => true),
      clock,
    );
    await releaseUncertainAttempt(frozen, 'a1');
    await releaseUncertainAttempt(frozen, 'a2');
    for (const transaction of kept) await client.transact(transaction);
    expect((await records.startAttempt(reference, 'a3', false)).kind).to.equal('started');
  });

  it('keeps a delayed insert over a released record from taking effect later', async () => {
    const first = requireStarted(await records.startAttempt(reference, 'a1', false));
    await records.release(first);
    const kept: Transaction[] = [];
    const frozen = createIdempotencyRecords(
      createDelayingClient(kept, (version) => version > 0),
      clock,
    );
    await releaseUncertainAttempt(frozen, 'a2');
    for (const transaction of kept) await client.transact(transaction);
    expect((await records.startAttempt(reference, 'a3', false)).kind).to.equal('started');
  });

  it('removes expired records and keeps the others', async () => {
    await records.startAttempt(reference, 'a1', false);
    clock.advance(RECORD_RETENTION_MS);
    await records.startAttempt({ ...reference, key: 'k2' }, 'a2', false);
    expect(await records.removeExpired(0)).to.equal(1);
    expect(await client.listRows(CALL_TABLE, '', 10)).to.have.length(1);
  });
});
