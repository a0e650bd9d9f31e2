/** A store restored from an older copy: lost rows, and revisions that are assigned again. */
import { expect } from 'chai';
import { createSystemClock } from '@masticbend/kernel/clock';
import { createSilentLogger } from '@masticbend/kernel/log';
import { createStore, type ReadResult, type Store } from '@masticbend/platform/store';
import { startStoreStandIn, type StoreStandIn } from '@masticbend/platform/store-standin';
import { createEraStore } from '../src/store-era.js';
import { createTableFeed, ReadRole, type TableFeed } from '../src/table-feed.js';
import { formatAnswer, type Script } from './backend.js';
import { startDeployment, waitFor, waitUntil, type Deployment } from './harness.js';

const INTERVAL_MS = 20;
/** Time in which the writers of lost rows write them again. */
const REWRITE_MS = 2_000;

const answerOk: Script = ({ socket }) => socket.write(formatAnswer(200, 'done'));

describe('feed of a restored store', () => {
  let standIn: StoreStandIn;
  let store: Store;
  let feed: TableFeed;
  const rows = new Map<string, string>();

  beforeEach(async () => {
    standIn = await startStoreStandIn();
    store = createStore(standIn.address);
    rows.clear();
    const clock = createSystemClock();
    feed = createTableFeed({
      intervalMs: INTERVAL_MS,
      store: createEraStore(store),
      table: 'things',
      clock,
      getElapsed: clock.now,
      log: createSilentLogger(),
      getReadRole: () => ReadRole.Own,
      events: {
        onTable(table) {
          rows.clear();
          for (const { key, value } of table) rows.set(key, value.toString());
        },
        onChanges(changes) {
          for (const { key, value } of changes) rows.set(key, value.toString());
        },
      },
    });
    feed.start();
  });

  afterEach(async () => {
    feed.stop();
    await store.close();
    await standIn.close();
  });

  it('reads all rows when its revision has not been assigned again', async () => {
    standIn.put('things', 'a', 'one');
    const copy = standIn.copy();
    standIn.put('things', 'a', 'two');
    standIn.put('things', 'b', 'two');
    await waitUntil(() => rows.get('b') === 'two');
    standIn.restore(copy);
    await waitUntil(() => rows.get('a') === 'one' && !rows.has('b'));
  });

  it('reads all rows when its revision was assigned again before the next read', async () => {
    standIn.put('things', 'a', 'one');
    const copy = standIn.copy();
    standIn.put('things', 'a', 'two');
    await waitUntil(() => rows.get('a') === 'two');
    standIn.restore(copy);
    standIn.put('things', 'b', 'other');
    await waitUntil(() => rows.get('a') === 'one' && rows.get('b') === 'other');
  });

  it('does not confirm its rows before the lost ones had time to be written again', async () => {
    standIn.put('things', 'a', 'one');
    await waitUntil(() => rows.size === 1 && feed.getAgeMs()! < 1_000);
    standIn.restore(standIn.copy());
    const restoredAt = performance.now();
    await waitUntil(() => feed.getAgeMs()! > REWRITE_MS * 0.8);
    await waitUntil(() => feed.getAgeMs()! < REWRITE_MS * 0.5);
    expect(performance.now() - restoredAt).to.be.above(REWRITE_MS * 0.9);
  });
});

describe('answers of an earlier store era', () => {
  it('are dropped', async () => {
    const eras = [3, 4, 3];
    const readRows = async (): Promise<ReadResult> => ({
      kind: 'rows',
      rows: { rows: [], revision: 1, storeTimeMs: 1, era: eras.shift()! },
    });
    const restored: number[] = [];
    const store = createEraStore({ readRows } as unknown as Store);
    store.onRestored((era) => restored.push(era));
    const kinds = [];
    for (let count = 0; count < 3; count += 1) kinds.push((await store.readRows('things')).kind);
    expect(kinds).to.deep.equal(['rows', 'rows', 'unavailable']);
    expect(restored).to.deep.equal([4]);
  });
});

describe('entry at a restored store', () => {
  let deployment: Deployment;

  async function callStatus(path: string): Promise<number> {
    return (await deployment.call(path)).status;
  }

  beforeEach(async () => {
    deployment = await startDeployment([answerOk]);
  });

  afterEach(() => deployment.close());

  it('does not accept a revoked key that the copy still has', async () => {
    const copy = deployment.store.copy();
    deployment.writeConfiguration({ version: 7, tenants: [{ name: 'school', api_keys: ['k2'] }] });
    await waitUntil(async () => (await callStatus('/once/a')) === 401);
    deployment.store.restore(copy);
    const endsAt = performance.now() + 3_500;
    while (performance.now() < endsAt) {
      expect(await callStatus('/once/a')).to.be.oneOf([401, 503]);
      await waitFor(50);
    }
  });

  it('applies a later version whose revision was assigned again', async () => {
    const copy = deployment.store.copy();
    deployment.writeConfiguration({ version: 7 });
    await waitFor(1_500);
    deployment.store.restore(copy);
    deployment.writeConfiguration({ version: 8, routes: [] });
    await waitUntil(async () => (await callStatus('/once/a')) === 404);
  });

  it('keeps serving when the configuration is written again soon', async () => {
    deployment.store.restore(deployment.store.copy());
    deployment.writeConfiguration({ version: 3 });
    const statuses = new Set<number>();
    const endsAt = performance.now() + 3_000;
    while (performance.now() < endsAt) {
      statuses.add(await callStatus('/once/a'));
      await waitFor(50);
    }
    expect([...statuses]).to.deep.equal([200]);
  });
});
