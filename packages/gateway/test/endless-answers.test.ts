/**
 * Many servers that send bytes without end at once, in each part of an answer, to callers that read
 * and to callers that do not. The entry is a process of its own: its memory stays bounded, and it
 * serves the requests of others meanwhile.
 */
import type { Socket } from 'node:net';
import { expect } from 'chai';
import { parseAddress } from '@masticbend/settings/address';
import { formatAnswer, formatChunk, formatEvent, type Arrival } from './backend.js';
import { registerManyAddresses, startEntryProcess, type EntryProcess } from './entry-process.js';
import { createDocument, createRegistration, HOST, waitFor, waitUntil } from './harness.js';
import { dialEntry, formatRequest, listStatuses, type RawCaller } from './raw-caller.js';
import { writeEndlessly, writeSlowly } from './endless-bytes.js';

/** The bound of what is held for callers, and as much again that is freed later. */
const MAX_GROWTH_BYTES = 128 * 1024 * 1024;
/** Requests at once for each form and route. */
const REQUESTS = 24;
const SERVERS = 1_200;
const OBSERVED_MS = 1_500;
const SOUND_INTERVAL_MS = 50;
const ROUTES = ['once', 'again', 'stream', 'resume'];
const PIECE = 'a'.repeat(64 * 1024);

/** What servers write; `head` is the head of a signed answer to the request, without its end. */
type Form = (socket: Socket, head: (status: number) => string) => void;

const CHUNKED = 'Transfer-Encoding: chunked\r\n';

/** Writes the start of an answer, and then a piece again and again. */
function createForm(start: (head: (status: number) => string) => string, piece: string): Form {
  return (socket, head) => {
    socket.write(Buffer.from(start(head)));
    writeEndlessly(socket, piece);
  };
}

const FORMS: Readonly<Record<string, Form>> = {
  'no protocol': createForm(() => '', '\0'.repeat(64 * 1024)),
  'the status line': createForm(() => 'HTTP/1.1 200 ', PIECE),
  'one header': createForm((head) => `${head(200)}X-Long: `, PIECE),
  'many headers': createForm((head) => head(200), 'X-More: 1\r\n'.repeat(500)),
  'informational answers': createForm(() => '', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(100)),
  'informational answers with headers': createForm(
    () => '',
    `HTTP/1.1 103 Early Hints\r\nX-Link: ${'l'.repeat(8_000)}\r\n\r\n`,
  ),
  'a chunk size': createForm((head) => `${head(200)}${CHUNKED}\r\n`, '0'.repeat(64 * 1024)),
  'a chunk extension': createForm((head) => `${head(200)}${CHUNKED}\r\n5;x=`, PIECE),
  'chunk extensions': createForm(
    (head) => `${head(200)}${CHUNKED}\r\n`,
    `1;x=${'e'.repeat(10_000)}\r\na\r\n`.repeat(6),
  ),
  'chunks of one byte': createForm(
    (head) => `${head(200)}${CHUNKED}\r\n`,
    formatChunk('a').repeat(2_000),
  ),
  trailers: createForm((head) => `${head(200)}${CHUNKED}\r\n0\r\n`, 'X-More: 1\r\n'.repeat(500)),
  'a body in chunks': createForm((head) => `${head(200)}${CHUNKED}\r\n`, formatChunk(PIECE)),
  'a body without length': createForm((head) => `${head(200)}\r\n`, PIECE),
  'a body with a huge length': createForm(
    (head) => `${head(200)}Content-Length: 999999999999\r\n\r\n`,
    PIECE,
  ),
  'the body of an error': createForm((head) => `${head(500)}\r\n`, PIECE),
  'the body of a refusal': createForm(
    (head) => `${head(503)}X-Masticbend-Not-Executed: 1\r\n\r\n`,
    PIECE,
  ),
  'the body of an answer to another request': createForm(
    () => 'HTTP/1.1 200 OK\r\nX-Masticbend-Attempt-Id: other\r\n\r\n',
    PIECE,
  ),
  'the body of an answer without a signature': createForm(
    (head) => `${head(200).replace(/X-Masticbend-Server-Stamp.*\r\n/, '')}\r\n`,
    PIECE,
  ),
  'bytes behind a whole answer': createForm(
    (head) => `${head(200)}Content-Length: 4\r\n\r\ndone`,
    PIECE,
  ),
  'one event in chunks of one byte': createForm(
    (head) => `${head(200)}${CHUNKED}\r\n${formatChunk('data: ')}`,
    formatChunk('a').repeat(2_000),
  ),
  events: createForm((head) => `${head(200)}\r\n`, formatEvent(1).repeat(500)),
  'one event': createForm((head) => `${head(200)}\r\n${formatEvent(1)}data: `, PIECE),
  'one event of many lines': createForm((head) => `${head(200)}\r\n`, 'data: a\n'.repeat(2_000)),
  'one event, slowly': (socket, head) => {
    socket.write(Buffer.from(`${head(200)}\r\n${formatEvent(1)}data: `));
    writeSlowly(socket, 'a'.repeat(2_000));
  },
};

function formatHead(id: string): (status: number) => string {
  return (status) =>
    `HTTP/1.1 ${status} Any\r\nX-Masticbend-Attempt-Id: ${id}\r\nX-Masticbend-Server-Stamp: stamp\r\n`;
}

describe('servers that send bytes without end', () => {
  let entry: EntryProcess;
  let form: Form;
  let startBytes = 0;
  let arrived = new Set<string>();

  function answer({ headers, socket }: Arrival): void {
    const id = headers['x-masticbend-attempt-id']!;
    if (headers['x-sound'] !== undefined) {
      socket.write(formatAnswer(200, 'done'));
      return;
    }
    arrived.add(id);
    form(socket, formatHead(id));
  }

  before(async () => {
    const { routes, services } = createDocument() as { routes: object[]; services: object[] };
    const sound = { host: HOST, service: 'sound', anonymous: true, max_attempts: 1 };
    entry = await startEntryProcess([answer], {
      host: '0.0.0.0',
      configuration: {
        routes: [
          ...routes,
          { ...sound, name: 'sound', prefix: '/sound/', route_kind: 'non_idempotent' },
        ],
        services: [...services, { name: 'sound' }],
      },
    });
    const { port } = parseAddress(entry.backends[0]!.address);
    const registration = createRegistration(`127.0.0.1:${port}`, { service: 'sound', slots: 100 });
    entry.store.put('servers', 'sound', registration);
    await registerManyAddresses(entry, SERVERS);
    startBytes = entry.readPeakMemory();
  });

  after(() => entry.close());

  function dial(request: string, isReading: boolean): RawCaller {
    const caller = dialEntry(entry.settings.callerAddress);
    caller.socket.write(request);
    if (!isReading) caller.socket.pause();
    return caller;
  }

  const hasEnded = () => entry.hasEnded();

  /**
   * Calls another service meanwhile; returns the statuses. A busy entry may refuse some calls
   * as not run.
   */
  async function callSound(durationMs: number): Promise<number[]> {
    const statuses: number[] = [];
    const until = performance.now() + durationMs;
    for (let count = 0; performance.now() < until; count += 1) {
      const headers = ['X-Sound: 1', 'Content-Length: 0'];
      const caller = dial(formatRequest({ id: `s${count}`, target: '/sound/a', headers }), true);
      await waitUntil(() => listStatuses(caller).length > 0 || hasEnded());
      statuses.push(...listStatuses(caller));
      caller.socket.destroy();
      await waitFor(SOUND_INTERVAL_MS);
    }
    return statuses;
  }

  function addFormTest(name: string): void {
    // The process that called such a server kept all of it, ran out of memory, and the requests of
    // others ended with it.
    it(`cost neither memory nor the requests of others: ${name}`, async () => {
      form = FORMS[name]!;
      arrived = new Set();
      const callers = Array.from({ length: REQUESTS }, (_, index) => {
        const id = `${name.replaceAll(' ', '-')}-${index}`;
        const route = ROUTES[index % ROUTES.length]!;
        return dial(formatRequest({ id, target: `/${route}/${id}` }), index % 8 < 4);
      });
      const statuses = await callSound(OBSERVED_MS);
      const growth = entry.readPeakMemory() - startBytes;
      for (const { socket } of callers) socket.destroy();
      expect(hasEnded(), entry.readLog().slice(-3).join('\n')).to.equal(false);
      expect(arrived.size).to.be.at.least(REQUESTS / 2);
      const served = statuses.filter((status) => status === 200);
      expect(served.length).to.be.at.least(statuses.length / 2);
      expect(new Set([200, 503, ...statuses]).size).to.equal(2);
      expect(growth).to.be.below(MAX_GROWTH_BYTES);
    });
  }

  for (const name of Object.keys(FORMS)) addFormTest(name);
});
