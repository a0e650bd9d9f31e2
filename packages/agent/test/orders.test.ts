import { expect } from 'chai';
import { Pool } from 'undici';
import { createVirtualClock, type VirtualClock } from '@masticbend/kernel/clock';
import { createSilentLogger } from '@masticbend/kernel/log';
import {
  CLOCK_DRIFT_ALLOWANCE_MS,
  createLeaseManager,
  type LeaseManager,
} from '@masticbend/state/lease';
import { createTableClient, type TableClient } from '@masticbend/state/table';
import { startEngine, type Engine } from '@masticbend/standins/engine';
import { startTable, type Table } from '@masticbend/standins/table';
import type { LoadedModel } from '../src/backend-probe.js';
import { createModelReconciler, ORDER_LEASE_MS } from '../src/model-reconciler.js';
import { computeOrders, selectServed } from '../src/orders.js';

const SPEED = { prefillRate: 100_000, stepMs: 1, stepPerCallMs: 0 };

describe('orders', () => {
  it('unloads first and loads adapters last', () => {
    const desired = [
      { id: 'a:x', version: '2' },
      { id: 'a', version: '2' },
      { id: 'b', version: '1' },
    ];
    const loaded = [
      { id: 'c', version: '1' },
      { id: 'c:y', version: '1' },
      { id: 'a', version: '1' },
      { id: 'b', version: '1' },
    ];
    expect(computeOrders(desired, loaded)).toMatchSnapshot();
    expect(computeOrders(desired, desired)).to.deep.equal([]);
  });

  it('serves only loaded models, unless the engine lists none', () => {
    const desired = [{ id: 'a' }, { id: 'a:x' }, { id: 'b' }];
    const loaded = [{ id: 'a' }, { id: 'a:x' }, { id: 'c' }];
    expect(selectServed(['a', 'b'], desired, loaded)).to.deep.equal(['a', 'a:x']);
    expect(selectServed(['a', 'b'], desired, [])).to.deep.equal(['a', 'b']);
    expect(selectServed(['parcels'], [], undefined)).to.deep.equal(['parcels']);
  });
});

describe('model reconciler', () => {
  let table: Table;
  let client: TableClient;
  let engine: Engine;
  let pool: Pool;
  let clock: VirtualClock;
  let desired: LoadedModel[];

  async function startOn(checksFencing: boolean): Promise<void> {
    engine = await startEngine({ port: 0, ...SPEED, models: ['old'], checksFencing });
    pool = new Pool(engine.url);
  }

  beforeEach(async () => {
    table = await startTable(0);
    client = createTableClient({ url: table.url, timeoutMs: 500 });
    clock = createVirtualClock();
    desired = [{ id: 'new', version: '1' }];
  });

  afterEach(async () => {
    await pool.destroy();
    await client.close();
    await Promise.all([engine.close(), table.close()]);
  });

  function createTestLeaseManager(waitsForExpiry: boolean): LeaseManager {
    const durationMs = ORDER_LEASE_MS;
    return createLeaseManager({
      table: client,
      clock,
      name: 'engine-1',
      durationMs,
      waitsForExpiry: () => waitsForExpiry,
    });
  }

  function createReconciler(
    leaseManager: LeaseManager,
    isInUse: (id: string) => boolean = () => false,
  ) {
    return createModelReconciler({
      clock,
      log: createSilentLogger(),
      client: pool,
      leaseManager,
      drawRandom: () => 0.5,
      listDesired: () => desired,
      isInUse,
    });
  }

  const listAccepted = () =>
    engine.orders.filter(({ accepted }) => accepted).map(({ order, model }) => `${order} ${model}`);

  it('reconciles an engine with the desired models, then sends no more orders or writes', async () => {
    await startOn(true);
    const reconciler = createReconciler(createTestLeaseManager(false));
    await reconciler.runOnce();
    expect(listAccepted()).to.deep.equal(['unload old', 'load new']);
    const { writes } = table.counters;
    await reconciler.runOnce();
    expect([engine.orders.length, table.counters.writes]).to.deep.equal([2, writes]);
  });

  it('does not unload a model that is in use', async () => {
    await startOn(true);
    let inUse = true;
    const reconciler = createReconciler(
      createTestLeaseManager(false),
      (id) => inUse && id === 'old',
    );
    await reconciler.runOnce();
    expect(listAccepted()).to.deep.equal(['load new']);
    inUse = false;
    await reconciler.runOnce();
    expect(listAccepted()).to.deep.equal(['load new', 'unload old']);
  });

  /** Simulates a process that is paused between acquiring the lease and sending its orders. */
  function createPausedLeaseManager(waitsForExpiry: boolean, whilePaused: () => Promise<void>) {
    const leaseManager = createTestLeaseManager(waitsForExpiry);
    return {
      ...leaseManager,
      async tryAcquire() {
        const result = await leaseManager.tryAcquire();
        await whilePaused();
        return result;
      },
    };
  }

  it('sends no order after a pause beyond its lease, where the engine does not check fencing numbers', async () => {
    await startOn(false);
    const nextHolder = createReconciler(createTestLeaseManager(true));
    const pausedLeaseManager = createPausedLeaseManager(true, async () => {
      await nextHolder.runOnce();
      expect(engine.orders).to.have.length(0);
      clock.advance(ORDER_LEASE_MS + CLOCK_DRIFT_ALLOWANCE_MS);
      await nextHolder.runOnce();
      expect(listAccepted()).to.deep.equal(['unload old', 'load new']);
      desired = [{ id: 'older', version: '1' }];
    });
    const failure = await createReconciler(pausedLeaseManager)
      .runOnce()
      .catch((error: unknown) => error);
    expect(failure).to.be.instanceOf(Error);
    expect(engine.orders).to.have.length(2);
  });

  it('would send an order of a former holder if the end of the lease were not checked', async () => {
    await startOn(false);
    const nextHolder = createReconciler(createTestLeaseManager(true));
    const leaseManager = createPausedLeaseManager(true, async () => {
      await nextHolder.runOnce();
      clock.advance(ORDER_LEASE_MS + CLOCK_DRIFT_ALLOWANCE_MS);
      await nextHolder.runOnce();
      desired = [{ id: 'older', version: '1' }];
    });
    const uncheckedLeaseManager = {
      ...leaseManager,
      async tryAcquire() {
        const result = await leaseManager.tryAcquire();
        return result.kind === 'held'
          ? { ...result, lease: { ...result.lease, endsAt: Infinity } }
          : result;
      },
    };
    await createReconciler(uncheckedLeaseManager).runOnce();
    const fencings = engine.orders.map(({ fencing }) => fencing);
    expect(fencings).not.to.deep.equal([...fencings].sort((left, right) => left - right));
  });

  it('is refused with an old fencing number by an engine that checks it', async () => {
    await startOn(true);
    const pausedLeaseManager = createPausedLeaseManager(false, async () => {
      await createReconciler(createTestLeaseManager(false)).runOnce();
      desired = [{ id: 'older', version: '1' }];
    });
    await createReconciler(pausedLeaseManager).runOnce();
    expect(listAccepted()).to.deep.equal(['unload old', 'load new']);
    expect(engine.orders.at(-1)!.accepted).to.equal(false);
  });

  it('sends no orders while the table service is down', async () => {
    await startOn(true);
    table.faults.down = true;
    await createReconciler(createTestLeaseManager(false))
      .runOnce()
      .catch(() => undefined);
    expect(engine.orders).to.have.length(0);
  });
});
