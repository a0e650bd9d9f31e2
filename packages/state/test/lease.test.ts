import { expect } from 'chai';
import { createVirtualClock, type VirtualClock } from '@masticbend/kernel/clock';
import { startTable, type Table } from '@masticbend/standins/table';
import { CLOCK_DRIFT_ALLOWANCE_MS, createLeaseManager, type AcquireResult } from '../src/lease.js';
import { createTableClient, PlatformError, type TableClient } from '../src/table.js';

const DURATION_MS = 10_000;

describe('lease', () => {
  let table: Table;
  let client: TableClient;
  let clock: VirtualClock;

  beforeEach(async () => {
    table = await startTable(0);
    client = createTableClient({ url: table.url, timeoutMs: 500 });
    clock = createVirtualClock();
  });

  afterEach(async () => {
    await client.close();
    await table.close();
  });

  function createManager(waitsForExpiry = true, through = client) {
    const durationMs = DURATION_MS;
    return createLeaseManager({
      table: through,
      clock,
      name: 'engine-1',
      durationMs,
      waitsForExpiry: () => waitsForExpiry,
    });
  }

  function requireLease(result: AcquireResult) {
    if (result.kind !== 'held') throw new Error('the lease was not held');
    return result.lease;
  }

  it('makes a new holder wait for the previous lease and the allowance', async () => {
    const first = requireLease(await createManager().tryAcquire());
    const newHolder = createManager();
    const wait = await newHolder.tryAcquire();
    expect(wait).to.deep.equal({ kind: 'wait', waitMs: DURATION_MS + CLOCK_DRIFT_ALLOWANCE_MS });
    clock.advance(DURATION_MS + CLOCK_DRIFT_ALLOWANCE_MS - 1);
    expect((await newHolder.tryAcquire()).kind).to.equal('wait');
    expect(clock.now()).to.be.at.least(first.endsAt);
    clock.advance(1);
    expect(requireLease(await newHolder.tryAcquire()).fencing).to.equal(first.fencing + 1);
  });

  it('grants a released lease at once, with a higher fencing number', async () => {
    const manager = createManager();
    const first = requireLease(await manager.tryAcquire());
    await manager.release(first);
    expect(requireLease(await createManager().tryAcquire()).fencing).to.equal(first.fencing + 1);
  });

  it('grants a lease at once where the engine checks fencing numbers', async () => {
    const first = requireLease(await createManager(false).tryAcquire());
    expect(requireLease(await createManager(false).tryAcquire()).fencing).to.equal(
      first.fencing + 1,
    );
  });

  it('grants a lease to one of several concurrent processes', async () => {
    const results = await Promise.all(
      Array.from({ length: 8 }, () => createManager().tryAcquire()),
    );
    expect(results.filter(({ kind }) => kind === 'held')).to.have.length(1);
  });

  it('acquires a lease although the answer was lost', async () => {
    let lost = 0;
    const lossy: TableClient = {
      ...client,
      async transact(transaction) {
        await client.transact(transaction);
        lost += 1;
        throw new PlatformError('answer lost', true);
      },
    };
    const lease = requireLease(await createManager(true, lossy).tryAcquire());
    expect([lost, lease.fencing]).to.deep.equal([1, 1]);
    expect((await createManager().tryAcquire()).kind).to.equal('wait');
  });

  it('does not release a lease that a newer holder has', async () => {
    const old = createManager();
    const first = requireLease(await old.tryAcquire());
    clock.advance(DURATION_MS + CLOCK_DRIFT_ALLOWANCE_MS);
    const newHolder = createManager();
    await newHolder.tryAcquire();
    clock.advance(DURATION_MS + CLOCK_DRIFT_ALLOWANCE_MS);
    requireLease(await newHolder.tryAcquire());
    await old.release(first);
    expect((await createManager().tryAcquire()).kind).to.equal('wait');
  });
});
