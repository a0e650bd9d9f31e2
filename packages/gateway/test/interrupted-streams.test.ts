/**
 * Streams that break off, and whose next server answers with something else than the rest of the
 * stream. The caller gets whole events of the stream and nothing of that answer, and the stream
 * does not look complete. The entry is a process of its own.
 */
import { expect } from 'chai';
import fc from 'fast-check';
import { formatChunk, formatEvent, formatStreamHead, LAST_CHUNK, type Arrival } from './backend.js';
import { registerManyAddresses, startEntryProcess, type EntryProcess } from './entry-process.js';
import { waitFor, waitUntil } from './harness.js';
import { dialEntry, formatRequest, type RawCaller } from './raw-caller.js';

const STAMP = 'X-Masticbend-Server-Stamp: stamp';
/** Text of all bodies that are no part of a stream. */
const MARK = 'failure-text';
const SMALL = MARK;
/** Looks like an event to a parser that does not ask for the type of the answer. */
const EVENT_LIKE = `${MARK}\n\n`;
/** More than is held of an answer until it is complete. */
const LARGE = MARK.repeat(30_000);
const STATUSES = [200, 204, 206, 302, 400, 404, 421, 429, 500, 502, 503, 504];
const ANSWER_MS = 4_000;
const SERVERS = 800;

const Framing = {
  Length: 'length',
  Chunked: 'chunked',
  Connection: 'connection',
  Reset: 'reset',
} as const;
type Framing = (typeof Framing)[keyof typeof Framing];

/** What the next server answers. */
interface NextAnswer {
  status: number;
  framing: Framing;
  body: string;
  hasId: boolean;
  isSigned: boolean;
  headers: string[];
}

const nextAnswer = fc.record<NextAnswer>({
  status: fc.constantFrom(...STATUSES),
  framing: fc.constantFrom(...Object.values(Framing)),
  body: fc.constantFrom('', SMALL, EVENT_LIKE, LARGE),
  hasId: fc.boolean(),
  isSigned: fc.boolean(),
  headers: fc.subarray([
    'Content-Type: application/json',
    'Retry-After: 1',
    'Connection: close',
    'Content-Encoding: gzip',
  ]),
});

function writeAnswer({ socket, headers }: Arrival, answer: NextAnswer): void {
  const { status, framing, body, hasId, isSigned } = answer;
  const lines = [`HTTP/1.1 ${status} Any`, ...answer.headers];
  if (hasId) lines.push(`X-Masticbend-Attempt-Id: ${headers['x-masticbend-attempt-id']}`);
  if (isSigned) lines.push(STAMP);
  if (framing === Framing.Length) lines.push(`Content-Length: ${body.length}`);
  if (framing === Framing.Chunked) lines.push('Transfer-Encoding: chunked');
  const text = framing === Framing.Chunked && body !== '' ? formatChunk(body) : body;
  const end = framing === Framing.Chunked ? LAST_CHUNK : '';
  // Bytes are written as they are, without the id that texts get.
  socket.write(Buffer.from(`${lines.join('\r\n')}\r\n\r\n${text}${end}`));
  if (framing === Framing.Connection) socket.end();
  if (framing === Framing.Reset) setTimeout(() => socket.resetAndDestroy(), 20);
}

describe('streams that break off', () => {
  let entry: EntryProcess;
  /** What the first and the next server of each request answer, by its id. */
  const plans = new Map<string, { events: number; next: NextAnswer }>();
  const attempts = new Map<string, number>();

  function answer(arrival: Arrival): void {
    const id = arrival.headers['x-masticbend-attempt-id']!;
    const attempt = attempts.get(id) ?? 0;
    attempts.set(id, attempt + 1);
    const { events, next } = plans.get(id)!;
    if (attempt > 0) {
      writeAnswer(arrival, next);
      return;
    }
    const first = Array.from({ length: events }, (_, index) => formatEvent(index + 1)).join('');
    const text = events > 0 ? formatChunk(first) : '';
    arrival.socket.write(`${formatStreamHead()}${text}${formatChunk('id: 9\ndata: cut')}`);
    setTimeout(() => arrival.socket.resetAndDestroy(), 20);
  }

  before(async () => {
    const bounds = { repeatSlack: 100_000 };
    entry = await startEntryProcess([answer], { bounds, host: '0.0.0.0' });
    await registerManyAddresses(entry, SERVERS);
  });

  after(() => entry.close());

  async function call(id: string, target: string): Promise<RawCaller> {
    const caller = dialEntry(entry.settings.callerAddress);
    caller.socket.write(formatRequest({ id, target, headers: ['Connection: close'] }));
    await waitUntil(() => caller.end !== undefined || entry.hasEnded(), ANSWER_MS);
    caller.socket.destroy();
    return caller;
  }

  /** Returns the head and the decoded body of an answer, and whether its framing is complete. */
  function readAnswer({ text }: RawCaller) {
    const [head = '', ...rest] = text.split('\r\n\r\n');
    const framed = rest.join('\r\n\r\n');
    if (!/transfer-encoding: chunked/i.test(head)) {
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? -1);
      return { head, body: framed, isComplete: framed.length === length };
    }
    let body = '';
    let at = 0;
    for (;;) {
      const lineEnd = framed.indexOf('\r\n', at);
      if (lineEnd < 0) return { head, body, isComplete: false };
      const size = parseInt(framed.slice(at, lineEnd), 16);
      if (size === 0) return { head, body, isComplete: true };
      body += framed.slice(lineEnd + 2, lineEnd + 2 + size);
      at = lineEnd + 2 + size + 2;
    }
  }

  let requests = 0;

  async function runRequest(events: number, next: NextAnswer, route = 'resume') {
    requests += 1;
    const id = `r${requests}`;
    plans.set(id, { events, next });
    // Requests that are alike would be suspected to be what ends the servers.
    const caller = await call(id, `/${route}/${id}`);
    expect(entry.hasEnded(), entry.readLog().slice(-3).join('\n')).to.equal(false);
    return { id, caller, ...readAnswer(caller) };
  }

  // The text of a success that was no stream came in the middle of one, or the stream ended as
  // complete behind it.
  it('bring nothing of the next answer after their first event, and do not end', async () => {
    const events = formatEvent(1) + formatEvent(2);
    await fc.assert(
      fc.asyncProperty(nextAnswer, async (next) => {
        const { caller, body, isComplete } = await runRequest(2, next);
        expect(body).to.equal(events);
        expect(isComplete).to.equal(false);
        expect(caller.text).not.to.include(MARK);
        expect(caller.text.match(/HTTP\/1\.1 /g)).to.have.length(1);
      }),
      { seed: 49, numRuns: 150 },
    );
  }).timeout(120_000);

  // Before the first event, the answer of the next server is the caller's, as a whole.
  it('give the whole next answer or a failure of the entry before their first event', async () => {
    await fc.assert(
      fc.asyncProperty(nextAnswer, async (next) => {
        const { caller, head, body, isComplete } = await runRequest(0, next);
        const status = Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1]);
        expect(caller.text.match(/HTTP\/1\.1 /g)).to.have.length(1);
        if (body.includes(MARK) && isComplete) {
          expect(status).to.equal(next.status);
          expect(body).to.equal(next.body);
        } else if (isComplete && status >= 500 && !/server-stamp/i.test(head)) {
          expect(status).to.be.oneOf([502, 503, 504]);
        }
      }),
      { seed: 50, numRuns: 150 },
    );
  }).timeout(120_000);

  // A stream that may not be resumed has no next server.
  it('end broken at once where they may not be resumed', async () => {
    const next = { status: 500, framing: Framing.Length, body: SMALL, hasId: true, isSigned: true };
    const { id, body, isComplete } = await runRequest(2, { ...next, headers: [] }, 'stream');
    expect(body).to.equal(formatEvent(1) + formatEvent(2));
    expect(isComplete).to.equal(false);
    await waitFor(50);
    expect(attempts.get(id)).to.equal(1);
  });
});
