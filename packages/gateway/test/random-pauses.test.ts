/** Answers of random framing that are paused, cut and aborted at random moments. */
import { expect } from 'chai';
import fc from 'fast-check';
import { ServerState, type BackendServer } from '@masticbend/settings/routing';
import { createBackendClient, type Exchange, type ExchangeRequest } from '../src/backend-client.js';
import { startBackend, type ScriptedBackend, type Script } from './backend.js';
import { waitFor } from './harness.js';

const SEED = 59;
const RUNS = 1_200;
/** Runs at the same time, so that reads and timers meet in all orders. */
const PARALLEL_RUNS = 40;
const RESULT_TIMEOUT_MS = 4_000;
/** Time for which a pause that follows a read lasts. */
const PAUSE_MS = 10;

const SERVER: BackendServer = {
  id: 'i-0',
  bornAt: 1,
  service: 'plain',
  dataCentre: 'a',
  address: '',
  slots: 1,
  state: ServerState.Ready,
  softwareVersion: '',
  coldMs: 0,
};
const REQUEST: ExchangeRequest = { method: 'GET', path: '/', headers: [], body: null };

const partArbitrary = fc.record({
  bytes: fc.oneof(fc.integer({ min: 1, max: 300 }), fc.integer({ min: 1, max: 70_000 })),
  waitMs: fc.nat(4),
});
const answerArbitrary = fc.record({
  framing: fc.constantFrom('length', 'chunks', 'connection'),
  announcesClose: fc.boolean(),
  parts: fc.array(partArbitrary, { minLength: 1, maxLength: 14 }),
  /** Bytes that are not sent; 0 for a whole answer. */
  missingBytes: fc.oneof(fc.constant(0), fc.integer({ min: 1, max: 200 })),
  isReset: fc.boolean(),
  /** Pauses by the time at which they begin, and by the number of reads before them. */
  pauses: fc.array(fc.record({ atMs: fc.nat(12), forMs: fc.nat(25) }), { maxLength: 4 }),
  pausedReads: fc.array(fc.nat(10), { maxLength: 4 }),
  abortAtMs: fc.option(fc.nat(60), { nil: undefined, freq: 1 }),
});

type RandomAnswer = typeof answerArbitrary extends fc.Arbitrary<infer Value> ? Value : never;
type Ending = 'regular' | 'broken' | 'aborted' | 'missing';

function createBody({ parts }: RandomAnswer): string {
  return parts.map(({ bytes }, index) => String.fromCharCode(97 + index).repeat(bytes)).join('');
}

function formatHead({ framing, announcesClose }: RandomAnswer, bodyBytes: number): string {
  const lines = ['HTTP/1.1 200 OK'];
  if (framing === 'length') lines.push(`Content-Length: ${bodyBytes}`);
  if (framing === 'chunks') lines.push('Transfer-Encoding: chunked');
  if (announcesClose || framing === 'connection') lines.push('Connection: close');
  return `${lines.join('\r\n')}\r\n\r\n`;
}

function createScript(answer: RandomAnswer): Script {
  const { framing, parts, missingBytes, isReset, announcesClose } = answer;
  const body = createBody(answer);
  const sent = body.slice(0, Math.max(0, body.length - missingBytes));
  return async ({ socket }) => {
    let offset = 0;
    socket.write(formatHead(answer, body.length));
    for (const { bytes, waitMs } of parts) {
      const part = sent.slice(offset, offset + bytes);
      offset += bytes;
      if (part && framing !== 'chunks') socket.write(part);
      else if (part) socket.write(`${part.length.toString(16)}\r\n${part}\r\n`);
      if (waitMs > 0) await waitFor(waitMs);
    }
    if (missingBytes > 0 && isReset) socket.resetAndDestroy();
    else if (missingBytes > 0 || framing === 'connection') socket.end();
    else {
      if (framing === 'chunks') socket.write('0\r\n\r\n');
      if (announcesClose) socket.end();
    }
  };
}

/** Schedules the pauses that the answer names, and its end by the reader. */
function scheduleChanges(exchange: Exchange, answer: RandomAnswer, onAborted: () => void): void {
  for (const { atMs, forMs } of answer.pauses) {
    setTimeout(() => {
      exchange.pause();
      setTimeout(exchange.resume, forMs);
    }, atMs);
  }
  if (answer.abortAtMs === undefined) return;
  setTimeout(() => {
    exchange.abort();
    onAborted();
  }, answer.abortAtMs);
}

/** Reads an answer; returns what came of its body, and how it ended. */
async function readAnswer(
  { address }: ScriptedBackend,
  answer: RandomAnswer,
): Promise<{ body: string; ending: Ending }> {
  const client = createBackendClient();
  const reads: string[] = [];
  const ending = await new Promise<Ending>((resolve) => {
    const exchange = client.send({ ...SERVER, address }, REQUEST, {
      onSent: () => undefined,
      onHead: () => undefined,
      onData(bytes) {
        if (answer.pausedReads.includes(reads.length)) {
          exchange.pause();
          setTimeout(exchange.resume, PAUSE_MS);
        }
        reads.push(bytes.toString('latin1'));
      },
      onEnd: () => resolve('regular'),
      onError: () => resolve('broken'),
    });
    scheduleChanges(exchange, answer, () => resolve('aborted'));
    setTimeout(resolve, RESULT_TIMEOUT_MS, 'missing').unref();
  });
  await client.close();
  return { body: reads.join(''), ending };
}

/** Returns the ways in which an answer may end that was not aborted. */
function listEndings({ missingBytes, framing, isReset }: RandomAnswer): Ending[] {
  if (missingBytes === 0) return ['regular'];
  // A cut of an answer that ends with its connection shows itself by a reset alone.
  if (framing === 'connection' && !isReset) return ['regular'];
  return ['broken'];
}

async function checkAnswer(answer: RandomAnswer): Promise<void> {
  const backend = await startBackend(createScript(answer));
  const { body, ending } = await readAnswer(backend, answer);
  await backend.close();
  const label = JSON.stringify(answer);
  const whole = createBody(answer);
  expect(ending, label).to.be.oneOf([...listEndings(answer), 'aborted']);
  expect(whole.startsWith(body), `prefix of ${label}`).to.equal(true);
  if (ending === 'aborted') return;
  if (answer.missingBytes === 0) expect(body.length, label).to.equal(whole.length);
}

describe('answers that are disturbed at random', () => {
  // Paused answers lost bytes or never ended, and their ends threw errors that ended the process.
  it('are read whole or end as broken', async () => {
    const answers = fc.sample(answerArbitrary, { numRuns: RUNS, seed: SEED });
    for (let first = 0; first < answers.length; first += PARALLEL_RUNS) {
      await Promise.all(answers.slice(first, first + PARALLEL_RUNS).map(checkAnswer));
    }
  });
});
