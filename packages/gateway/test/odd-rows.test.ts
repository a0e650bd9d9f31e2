/**
 * Rows of other writers in all tables that an entry reads: each row has the fields that are read
 * there, some of them with odd values. A new entry reads all tables at its start.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { decodeRolloutOrder } from '@masticbend/platform/rollout';
import type { RolloutReportMessage } from '@masticbend/protocol/gateway-message';
import type { Message } from '@masticbend/protocol/message';
import { checkMessage } from '@masticbend/protocol/shape';
import { decodeRolloutRow } from '../src/rollout-row.js';
import { decodeVersionRecord } from '../src/version-record-row.js';
import { formatAnswer, type Script } from './backend.js';
import { startDeployment, waitFor, waitUntil, type Deployment } from './harness.js';

/** Time in which entries exchange reports and evidence several times. */
const EXCHANGE_MS = 1_500;
const SEEDS = [49, 50, 51];
const ROWS_PER_TABLE = 60;
const WORK_MS = 20;
const CALLS = 4;
const ROLLOUT = { exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5_000 };
const LONG = 'x'.repeat(600);

const ROLLOUT_REPORT: RolloutReportMessage = {
  kind: 'rollout-report',
  service: 'plain',
  order: 1,
  era: 1,
  to: 'v2',
  stage: 'trial',
  isBad: false,
  requests: 0,
  exposed: 0,
  openElsewhere: 0,
  routes: [],
  versions: [],
  good: [],
  bad: [],
};

const oddValue = fc.oneof(
  fc.constantFrom<unknown>(-1, 0.5, 1e300, -1e300, 2 ** 53, Number.MAX_SAFE_INTEGER, 0, null),
  fc.constantFrom<unknown>('', LONG, '\ud800', 'a\nb', 'č', '127.0.0.01:80', true, [], {}, [[]]),
  fc.jsonValue({ maxDepth: 2 }),
);

/** Sound rows; in each that is written, some fields are replaced. */
const ROWS: Readonly<Record<string, { table: string; prefix: string; fields: object }>> = {
  entries: {
    table: 'entries',
    prefix: 'odd-',
    fields: {
      address: '127.0.0.1:9',
      incarnation: 'a1',
      blocked: [
        {
          suspect: 'p1',
          crashes: ['i-1@1', 'i-2@1', 'i-3@1'],
          refuted: [],
          trials: 1,
          lostTrials: 1,
          failedTrials: 1,
        },
      ],
    },
  },
  versions: {
    table: 'versions',
    prefix: 'odd-',
    fields: {
      era: 1,
      incompleteUntil: 0,
      versions: [{ version: 'v1' }, { version: 'v0', leftAt: 1 }],
      configuration: 3,
      routes: [{ route: 'desk.example/a/', since: 0 }],
    },
  },
  rollouts: {
    table: 'rollouts',
    prefix: 'odd-',
    fields: {
      order: 1,
      era: 1,
      to: 'v2',
      stage: 'trial',
      startedAt: 1,
      reason: 'new order',
      excluded: ['v0'],
    },
  },
  orders: {
    table: 'op',
    prefix: 'rollout/odd-',
    fields: { service: 'odd-1', to: 'v2', duration_s: 5 },
  },
  servers: {
    table: 'servers',
    prefix: 'odd-',
    fields: {
      service: 'other',
      address: '127.0.0.1:9',
      zone: 'z1',
      version: 'v1',
      slots: 4,
      state: 'ready',
      cold_left_ms: 0,
      born: 1,
      sequence: 1,
    },
  },
};

/** Replaces values at any depth of a row. */
function createOddRow(fields: unknown): fc.Arbitrary<unknown> {
  if (Array.isArray(fields)) return mergeOdd(fc.tuple(...fields.map(createOddRow)));
  if (typeof fields !== 'object' || fields === null) return mergeOdd(fc.constant(fields));
  const entries = Object.entries(fields).map(([name, value]) => [name, createOddRow(value)]);
  return mergeOdd(fc.record(Object.fromEntries(entries) as Record<string, fc.Arbitrary<unknown>>));
}

function mergeOdd(sound: fc.Arbitrary<unknown>): fc.Arbitrary<unknown> {
  return fc.oneof({ weight: 8, arbitrary: sound }, { weight: 1, arbitrary: oddValue });
}

function encode(row: unknown): Buffer {
  return Buffer.from(JSON.stringify(row));
}

/** Messages in which entries pass on what they have read of a row. */
const MESSAGES: Readonly<Record<string, (row: Buffer) => Message[]>> = {
  rollouts(row) {
    const { order, to } = decodeRolloutRow(row) ?? {};
    return order ? [{ ...ROLLOUT_REPORT, order: order.revision, era: order.era, to: to! }] : [];
  },
  orders(row) {
    const order = decodeRolloutOrder('odd-1', row);
    return order ? [{ ...ROLLOUT_REPORT, to: order.to }] : [];
  },
  versions(row) {
    const { era, versions = [] } = decodeVersionRecord(row) ?? {};
    return versions.flatMap(({ version }): Message[] => [
      { kind: 'stream-origins', service: 'plain', softwareVersion: version, streams: [] },
      { kind: 'version-record', service: 'plain', era: era!, revision: 1, value: row.toString() },
    ]);
  },
};

describe('odd rows in all tables', () => {
  function addMessagesTest(table: string, listMessages: (row: Buffer) => Message[]): void {
    // The receiver of such a message closes the link on which it came.
    it(`decode to nothing that a message cannot carry: ${table}`, () => {
      fc.assert(
        fc.property(createOddRow(ROWS[table]!.fields), (row) => {
          const faults = listMessages(encode(row)).map(checkMessage);
          expect(faults.filter((fault) => fault !== undefined)).to.deep.equal([]);
        }),
        { seed: 49, numRuns: 3_000 },
      );
    });
  }

  for (const [table, listMessages] of Object.entries(MESSAGES)) {
    addMessagesTest(table, listMessages);
  }
});

describe('odd rows in the tables of an entry', () => {
  let deployment: Deployment;

  afterEach(() => deployment.close());

  async function start(): Promise<void> {
    const work: Script = ({ socket }) =>
      setTimeout(() => socket.write(formatAnswer(200, 'done')), WORK_MS);
    deployment = await startDeployment([work, work], { isLogged: true, rollout: ROLLOUT });
  }

  function listEvents(...events: string[]): string[] {
    return deployment.logLines.filter((line) =>
      events.some((event) => line.includes(`event=${event} `)),
    );
  }

  function writeRows(table: string, prefix: string, rows: readonly unknown[]): void {
    rows.forEach((row, index) => deployment.store.put(table, `${prefix}${index}`, row));
  }

  async function checkServed(address: string): Promise<void> {
    const calls = Array.from({ length: CALLS }, () => deployment.call('/again/a', { address }));
    const statuses = (await Promise.all(calls)).map(({ status }) => status);
    expect(statuses).to.deep.equal(new Array(CALLS).fill(200));
  }

  function addTablesTest(seed: number): void {
    // A row ended the process that read it, or closed its links to the others again and again.
    it(`cost neither requests nor links nor a process, seed ${seed}`, async () => {
      await start();
      for (const { table, prefix, fields } of Object.values(ROWS)) {
        const rows = fc.sample(createOddRow(fields), { seed, numRuns: ROWS_PER_TABLE });
        writeRows(table, prefix, rows);
      }
      const address = await deployment.startEntry();
      await deployment.waitUntilConnected(1);
      await waitFor(EXCHANGE_MS);
      expect(listEvents('process-failed')).to.deep.equal([]);
      const closed = listEvents('peer-closed').filter((line) => !line.includes('peer=odd-'));
      expect(closed).to.deep.equal([]);
      await checkServed(address);
      await checkServed(deployment.settings.callerAddress);
    });
  }

  for (const seed of SEEDS) addTablesTest(seed);

  // The next page could not be asked for, and the process that read the table ended.
  it('do not keep a table from being read where the last key of a page is no text', async () => {
    await start();
    deployment.store.faults.pageRows = 1;
    deployment.store.put('servers', '\ud800', { service: 'plain' });
    deployment.store.put('servers', '\ud801', { service: 'plain' });
    const address = await deployment.startEntry();
    await waitUntil(() => deployment.store.has('entries', deployment.settings.instance));
    await checkServed(address);
  });
});
