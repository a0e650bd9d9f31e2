/** Records of software versions in deployments of many entries, on a virtual clock. */
import { expect } from 'chai';
import { createVirtualClock } from '@masticbend/kernel/clock';
import { createSilentLogger } from '@masticbend/kernel/log';
import type { StoreRow, WriteResult } from '@masticbend/platform/store';
import {
  Repeat,
  ServerState,
  type BackendServer,
  type GatewayRoute,
  type RoutingConfiguration,
} from '@masticbend/settings/routing';
import { createVersionRecords, type VersionRecords } from '../src/version-records.js';

const ENTRIES = 25;
/** Time within which a new version must be recorded while all entries are connected. */
const RECORDED_TIMEOUT_MS = 300;
/** Time after which a version without servers must be marked as left. */
const LEFT_TIMEOUT_MS = 10_000;
/** Callers whose streams broke off at once, and the reads of the store that they may cause. */
const CALLERS = 200;
const MAX_READS = 3;

const ROUTE = {
  host: 'desk.example',
  prefix: '/a/',
  repeat: Repeat.Resume,
  targets: [{ service: 'engine', weight: 1 }],
} as GatewayRoute;
const CONFIGURATION = {
  version: 1,
  routes: [ROUTE],
  services: new Map([['engine', {}]]),
} as RoutingConfiguration;

function createServers(...versions: string[]): BackendServer[] {
  return versions.map((softwareVersion, index) => ({
    id: `i-${index}`,
    bornAt: 1,
    service: 'engine',
    address: `10.0.0.${index}:80`,
    dataCentre: 'z1',
    slots: 4,
    state: ServerState.Ready,
    softwareVersion,
    coldMs: 0,
  }));
}

/** Entries before a store that answers at once, or not at all. */
function createFleet(size: number) {
  const clock = createVirtualClock();
  const names = Array.from({ length: size }, (_, index) => `entry-${index}`);
  const entries = new Map<string, VersionRecords>();
  const store = {
    row: undefined as StoreRow | undefined,
    isDown: false,
    refusesWrites: false,
    reads: 0,
    writes: 0,
  };
  const startEntry = (self: string, isFirstStart: boolean) => {
    const records = createVersionRecords({
      self,
      isFirstStart,
      clock,
      log: createSilentLogger(),
      listLive: () => [...entries.keys()].filter((name) => name !== self),
      send(peer, message) {
        if (message.kind === 'version-record') entries.get(peer)?.receive(message);
      },
      store: {
        onRestored: () => undefined,
        async readRows() {
          store.reads += 1;
          if (store.isDown) return { kind: 'unavailable', reason: 'down' };
          const rows = store.row ? [store.row] : [];
          const revision = store.row?.revision ?? 0;
          return { kind: 'rows', rows: { rows, revision, storeTimeMs: clock.now(), era: 1 } };
        },
        async writeRow(_table, key, value, expectedRevision): Promise<WriteResult> {
          store.writes += 1;
          if (store.isDown) return { kind: 'unknown', reason: 'down' };
          if (store.refusesWrites) return { kind: 'refused', reason: 'busy' };
          const current = store.row?.revision ?? 0;
          if (expectedRevision !== current) return { kind: 'conflict', era: 1 };
          const revision = current + 1;
          store.row = { key, value, revision, deleted: false };
          return { kind: 'committed', revision, storeTimeMs: clock.now(), era: 1 };
        },
      },
    });
    entries.set(self, records);
    records.setRoutes(CONFIGURATION);
    records.start();
    return records;
  };
  for (const name of names) startEntry(name, true);

  async function runFor(durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 10) {
      clock.advance(10);
      await Promise.resolve();
      await new Promise(setImmediate);
    }
  }

  return { entries, store, startEntry, runFor };
}

async function findOnly(records: VersionRecords, runFor: (durationMs: number) => Promise<void>) {
  const found: (string | undefined)[] = [];
  records.findOnly(ROUTE, 'engine', (version) => found.push(version));
  await runFor(100);
  return found;
}

describe('version records', () => {
  it('are written by one of many entries, and known to all', async () => {
    const { entries, store, runFor } = createFleet(ENTRIES);
    for (const records of entries.values()) records.setListed(createServers('v1'));
    await runFor(RECORDED_TIMEOUT_MS);
    for (const records of entries.values()) records.setListed(createServers('v1', 'v2'));
    for (const records of entries.values()) {
      expect(records.isRecorded('engine', 'v2')).to.equal(false);
    }
    await runFor(RECORDED_TIMEOUT_MS);
    expect(store.writes).to.equal(2);
    for (const records of entries.values()) {
      expect(records.isRecorded('engine', 'v2')).to.equal(true);
    }
  });

  it('outlive all entries', async () => {
    const { entries, store, startEntry, runFor } = createFleet(3);
    for (const records of entries.values()) records.setListed(createServers('v1', 'v2'));
    await runFor(RECORDED_TIMEOUT_MS);
    entries.clear();
    const started = startEntry('entry-0', false);
    started.setListed(createServers('v2'));
    await runFor(RECORDED_TIMEOUT_MS);
    expect(await findOnly(started, runFor)).to.deep.equal([undefined]);
    await runFor(LEFT_TIMEOUT_MS + 30_000);
    expect(await findOnly(started, runFor)).to.deep.equal(['v2']);
    expect(store.writes).to.equal(2);
  });

  // A caller must not wait for a store that is down, and an open stream must not be joined.
  it('that cannot be read name no version', async () => {
    const { entries, store, runFor } = createFleet(1);
    const records = entries.get('entry-0')!;
    records.setListed(createServers('v1'));
    await runFor(RECORDED_TIMEOUT_MS);
    store.isDown = true;
    expect(await findOnly(records, runFor)).to.deep.equal([undefined]);
    expect(records.isRecorded('engine', 'v1')).to.equal(true);
  });

  // While the store cannot be written, requests would not be served at all.
  it('that cannot be written let streams begin where no version is recorded', async () => {
    const { entries, store, runFor } = createFleet(1);
    store.isDown = true;
    const records = entries.get('entry-0')!;
    records.setListed(createServers('v1'));
    await runFor(RECORDED_TIMEOUT_MS);
    expect(records.isRecorded('engine', 'v1')).to.equal(true);
  });

  // Such a stream was taken up at an entry out of step, and joined to one of the named version.
  it('that name another version let no stream begin before they are written', async () => {
    const { entries, store, runFor } = createFleet(2);
    const [first, late] = [...entries.values()] as [VersionRecords, VersionRecords];
    for (const records of [first, late]) records.setListed(createServers('v1'));
    await runFor(RECORDED_TIMEOUT_MS);
    store.refusesWrites = true;
    first.setListed(createServers('v2'));
    await runFor(RECORDED_TIMEOUT_MS);
    expect(await findOnly(late, runFor)).to.deep.equal(['v1']);
    expect(first.isRecorded('engine', 'v2')).to.equal(false);
    store.refusesWrites = false;
    await runFor(2 * RECORDED_TIMEOUT_MS);
    expect(await findOnly(late, runFor)).to.deep.equal([undefined]);
    expect(first.isRecorded('engine', 'v2')).to.equal(true);
  });

  // The entry marked the version as left, the first one as present, and so on: none could begin.
  it('that another entry wrote hold at one that has not listed the version yet', async () => {
    const { entries, store, runFor } = createFleet(2);
    const [first, late] = [...entries.values()] as [VersionRecords, VersionRecords];
    for (const records of [first, late]) records.setListed(createServers('v1'));
    await runFor(RECORDED_TIMEOUT_MS);
    first.setListed(createServers('v1', 'v2'));
    await runFor(2 * RECORDED_TIMEOUT_MS);
    for (const records of [first, late]) {
      expect(records.isRecorded('engine', 'v2')).to.equal(true);
    }
    expect(store.writes).to.equal(2);
  });

  // Each caller of a killed entry takes up its stream at the same moment.
  it('are read a few times for many callers at once', async () => {
    const { entries, store, runFor } = createFleet(1);
    const records = entries.get('entry-0')!;
    records.setListed(createServers('v1'));
    await runFor(RECORDED_TIMEOUT_MS);
    const readsBefore = store.reads;
    const found: (string | undefined)[] = [];
    for (let caller = 0; caller < CALLERS; caller += 1) {
      records.findOnly(ROUTE, 'engine', (version) => found.push(version));
    }
    await runFor(100);
    expect(found).to.deep.equal(Array.from({ length: CALLERS }, () => 'v1'));
    expect(store.reads - readsBefore).to.be.at.most(MAX_READS);
  });
});
