/**
 * Heads of servers' answers with values that are sound for one parser and not for the next: the
 * entry, a process of its own, passes them on or fails the attempt, and goes on.
 */
import { expect } from 'chai';
import type { BackendServer } from '@masticbend/settings/routing';
import { createBackendClient } from '../src/backend-client.js';
import {
  formatAnswer,
  formatChunk,
  formatEvent,
  LAST_CHUNK,
  startBackend,
  type Arrival,
} from './backend.js';
import { registerManyAddresses, startEntryProcess, type EntryProcess } from './entry-process.js';
import { waitUntil } from './harness.js';
import { dialEntry, formatRequest, listStatuses, type RawCaller } from './raw-caller.js';

const ROUTES = ['once', 'stream', 'resume'];
const SERVERS = 400;
const STATUSES = ['200', '404', '500', '600', '999', '1000', '099', '20', '101'];
const HEADERS = [
  'X-Odd: \u010d',
  'X-Odd: \u0001',
  'X-Odd: \u007f',
  'X-Odd: \ud83d\ude00',
  'X-Odd\u00fc: a',
  'X-Odd[]: a',
  'Content-Type: \u010d/\u010d',
  'Retry-After: 999999999999999999999',
  'Server-Limit: -1',
  'Keep-Alive: timeout=1e400',
  'Keep-Alive: timeout=-5',
  'Set-Cookie: \u010d\r\nSet-Cookie: b',
  'Trailer: X-Odd',
  'Upgrade: odd',
  'Content-Length: 4\r\nContent-Length: 5',
  '__proto__: a',
  'constructor: a',
];

describe('the client of the servers', () => {
  // What is passed on outside of the library's own calls is not caught by it.
  it('fails the exchange alone whose data cannot be handled', async () => {
    const backend = await startBackend(({ socket }) => socket.write(formatAnswer(200, 'done')));
    const client = createBackendClient();
    const server = { id: 'i-1', address: backend.address, bornAt: 1 } as BackendServer;
    const request = { method: 'POST' as const, path: '/', headers: [], body: null };
    const error = await new Promise<Error>((resolve, reject) => {
      client.send(server, request, {
        onSent: () => undefined,
        onHead: () => undefined,
        onData() {
          throw new Error('odd data');
        },
        onEnd: () => reject(new Error('ended')),
        onError: resolve,
      });
    });
    expect(error.message).to.equal('odd data');
    await client.close();
    await backend.close();
  });
});

describe('answers with odd heads', () => {
  let entry: EntryProcess;
  /** Status and header of the answer to each request, by its id. */
  const plans = new Map<string, { status: string; header: string }>();
  const arrived = new Set<string>();

  function answer({ headers, socket }: Arrival): void {
    const id = headers['x-masticbend-attempt-id']!;
    arrived.add(id);
    const { status, header } = plans.get(id)!;
    const lines = [
      `HTTP/1.1 ${status} Any`,
      `X-Masticbend-Attempt-Id: ${id}`,
      'X-Masticbend-Server-Stamp: stamp',
      header,
      'Transfer-Encoding: chunked',
    ];
    const body = formatChunk(formatEvent(1)) + LAST_CHUNK;
    socket.write(Buffer.from(`${lines.join('\r\n')}\r\n\r\n${body}`));
  }

  before(async () => {
    entry = await startEntryProcess([answer], { host: '0.0.0.0' });
    await registerManyAddresses(entry, SERVERS);
  });

  after(() => entry.close());

  async function checkAnswered(status: string, header: string): Promise<void> {
    const callers: RawCaller[] = ROUTES.map((route) => {
      const id = `${route}-${plans.size}`;
      plans.set(id, { status, header });
      const caller = dialEntry(entry.settings.callerAddress);
      caller.socket.write(formatRequest({ id, target: `/${route}/${id}` }));
      return caller;
    });
    const isOver = (caller: RawCaller) =>
      listStatuses(caller).length > 0 || caller.end !== undefined;
    await waitUntil(() => entry.hasEnded() || callers.every(isOver));
    expect(entry.readLog().filter((line) => line.includes('process-failed'))).to.deep.equal([]);
    expect(callers.filter((caller) => listStatuses(caller).length !== 1)).to.deep.equal([]);
    expect(arrived.size).to.equal(plans.size);
    for (const { socket } of callers) socket.destroy();
  }

  for (const status of STATUSES) {
    // What throws where an answer is passed on must end that answer alone.
    it(`do not end the process: status ${status}`, () => checkAnswered(status, 'X-Sound: a'));
  }

  for (const header of HEADERS) {
    it(`do not end the process: ${JSON.stringify(header)}`, () => checkAnswered('200', header));
  }
});
