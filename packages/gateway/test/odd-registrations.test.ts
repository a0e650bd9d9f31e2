/** Rows among the registrations of servers that another writer has left there. */
import { expect } from 'chai';
import fc from 'fast-check';
import { decodeBackendServer } from '@masticbend/platform/backend-servers';
import type { Message } from '@masticbend/protocol/message';
import { checkMessage } from '@masticbend/protocol/shape';
import { isAddress } from '@masticbend/settings/address';
import { formatAnswer, type Script } from './backend.js';
import { startEntryProcess, type EntryProcess } from './entry-process.js';
import {
  createRegistration,
  startDeployment,
  waitFor,
  waitUntil,
  type Deployment,
} from './harness.js';
import { dialEntry, formatRequest, listStatuses } from './raw-caller.js';

const SERVER = {
  service: 'plain',
  address: '127.0.0.1:4000',
  zone: 'z1',
  slots: 4,
  state: 'ready',
  cold_left_ms: 0,
  born: 1,
  version: 'v1',
};
const LONG = 'x'.repeat(60_000);
const NESTING = 20_000;
const NESTED = `${'['.repeat(NESTING)}${']'.repeat(NESTING)}`;
/** Calls of two entries in a while in which nothing changes: reads of two tables and renewals. */
const OBSERVED_MS = 1_000;
const MAX_CALLS = 10;
/** Time in which an entry reads a changed row. */
const READ_MS = 1_500;
/** Requests that are sent at once, more than the servers have slots, and the time of each. */
const CALLS = 10;
const WORK_MS = 50;
/** Values of fields that no server writes, as JSON. */
const ODD_VALUES = [
  ...['1e300', '1e400', '-1', '0.5', '9007199254740993', 'null', 'true', '"1"', '{}', NESTED],
  JSON.stringify(LONG),
  '"10.0.0.1:70000"',
  '"127.000.000.009:9000"',
];
/** Addresses that look like sound ones. */
const ODD_ADDRESSES = [
  '127.000.000.009:9000',
  '127.0.0.08:9000',
  '0177.0.0.1:9000',
  '127.0.0.256:9000',
  '127.0.0.1:0',
  '127.0.0.1:09000',
  '127.0.0.1:65536',
  '127.1:9000',
  '127.0.0.1',
  '127.0.0.1:9000/',
  ' 127.0.0.1:9000',
  '127.0.0.1:9000\n',
];

function formatRow(changes: Readonly<Record<string, string>>): string {
  const fields = Object.entries(SERVER).map(([name, value]) => [name, JSON.stringify(value)]);
  const all = { ...Object.fromEntries(fields), ...changes };
  return `{${Object.entries(all)
    .map(([name, json]) => `${JSON.stringify(name)}:${json}`)
    .join(',')}}`;
}

describe('odd rows among the registrations of servers', () => {
  // An address with padded numbers passed the check, and no URL could be made of it.
  it('name no server unless a URL can be made of their address', () => {
    const number = fc.oneof(fc.integer({ min: -1, max: 70_000 }).map(String), fc.constant(''));
    const part = fc.tuple(fc.constantFrom('', '0', '00'), number).map((texts) => texts.join(''));
    const address = fc
      .tuple(fc.array(part, { minLength: 3, maxLength: 5 }), part)
      .map(([parts, port]) => `${parts.join('.')}:${port}`);
    fc.assert(
      fc.property(fc.oneof(address, fc.constantFrom(...ODD_ADDRESSES)), (text) => {
        if (!isAddress(text)) return;
        expect(new URL(`http://${text}`).host).to.equal(text.replace(/:80$/, ''));
      }),
      { seed: 49, numRuns: 2_000 },
    );
    expect(ODD_ADDRESSES.filter(isAddress)).to.deep.equal([]);
    expect(isAddress('10.0.0.9:9000')).to.equal(true);
  });

  // A row whose values no message can carry closed the link on which they were sent.
  it('name no server, or one that messages can describe', () => {
    const names = Object.keys(SERVER);
    const change = fc.tuple(
      fc.constantFrom(...names),
      fc.oneof(fc.constantFrom(...ODD_VALUES), fc.json(), fc.double().map(String)),
    );
    fc.assert(
      fc.property(fc.array(change, { minLength: 1, maxLength: 3 }), (changes) => {
        const row = Buffer.from(formatRow(Object.fromEntries(changes)));
        const server = decodeBackendServer('i-9', row);
        if (!server) return;
        const { id, bornAt, slots, service, softwareVersion, dataCentre, coldMs } = server;
        const messages: Message[] = [
          {
            kind: 'permit-hello',
            instance: dataCentre,
            server: id,
            bornAt,
            leaving: false,
            slots,
            running: [],
          },
          { kind: 'stream-origin', stream: 's', isKnown: true, service, softwareVersion },
        ];
        expect(messages.map(checkMessage)).to.deep.equal([undefined, undefined]);
        expect(Number.isSafeInteger(bornAt) && bornAt >= 0).to.equal(true);
        expect(coldMs).to.be.within(0, Number.MAX_SAFE_INTEGER);
      }),
      { seed: 42, numRuns: 2_000 },
    );
  });

  describe('beside the servers of an entry', () => {
    let entry: EntryProcess;

    afterEach(() => entry.close());

    // One such row ended every entry of a deployment, again after each start (review/7).
    it('do not end the process when their addresses are odd', async () => {
      const work: Script = ({ socket }) =>
        setTimeout(() => socket.write(formatAnswer(200, 'done')), WORK_MS);
      entry = await startEntryProcess([work, work]);
      ODD_ADDRESSES.forEach((address, index) =>
        entry.store.put('servers', `odd-${index}`, createRegistration(address, { slots: 100 })),
      );
      await waitFor(READ_MS);
      const callers = Array.from({ length: CALLS }, (_, index) => {
        const caller = dialEntry(entry.settings.callerAddress);
        caller.socket.write(formatRequest({ id: `a${index}` }));
        return caller;
      });
      const listAll = () => callers.flatMap(listStatuses);
      await waitUntil(() => listAll().length === CALLS || entry.hasEnded());
      expect(entry.readLog().filter((line) => line.includes('process-failed'))).to.deep.equal([]);
      expect(listAll()).to.deep.equal(new Array(CALLS).fill(200));
      for (const { socket } of callers) socket.destroy();
    });
  });

  describe('beside sound ones', () => {
    let deployment: Deployment;

    afterEach(() => deployment.close());

    // Another writer's row under a server's key, without four of its fields, got that server's
    // requests, and nothing named the row.
    it('get no request where a field is missing, and are named in the log', async () => {
      const answer: Script = ({ socket }) => socket.write(formatAnswer(200, 'done'));
      deployment = await startDeployment([answer, answer], { isLogged: true });
      const [own, other] = deployment.backends;
      const {
        zone,
        version,
        cold_left_ms: cold,
        sequence,
        ...row
      } = createRegistration(other!.address) as Record<string, unknown>;
      expect([zone, version, cold, sequence]).to.deep.equal(['z1', 'v1', 0, 1]);
      deployment.store.put('servers', 'i-0', row);
      deployment.store.put('servers', 'i-1', row);
      const isRejected = () =>
        ['i-0', 'i-1'].every((id) =>
          deployment.logLines.some((line) =>
            line.includes(`event=registration-rejected server=${id} `),
          ),
        );
      await waitUntil(isRejected);
      expect((await deployment.call('/once/a')).status).to.equal(503);
      expect([...own!.arrivals, ...other!.arrivals]).to.deep.equal([]);
    });

    // Entries that read the list ended, or wrote what the store refuses again and again.
    it('cost neither the other rows nor calls to the store', async () => {
      deployment = await startDeployment([({ socket }) => socket.write(formatAnswer(200, 'done'))]);
      await deployment.startEntry();
      await deployment.waitUntilConnected(1);
      ODD_VALUES.forEach((value, row) =>
        Object.keys(SERVER).forEach((name, column) => {
          const address = `"127.0.0.1:${4_000 + row * 10 + column}"`;
          const odd = formatRow({ state: '"draining"', address, [name]: value });
          deployment.store.put('servers', `odd-${name}-${row}`, odd);
        }),
      );
      deployment.store.put('servers', 'odd-nested', NESTED);
      deployment.store.put('servers', 'odd-cut', '{"service":');
      deployment.writeServer(0, { version: 'v2', born: 2 });
      await waitUntil(() => deployment.store.read('versions', 'plain')?.includes('v2') === true);
      expect((await deployment.call('/once/a')).status).to.equal(200);
      const calls = deployment.store.countCalls();
      await waitFor(OBSERVED_MS);
      expect(deployment.store.countCalls() - calls).to.be.below(MAX_CALLS);
      await deployment.waitUntilConnected(1);
    });
  });
});
