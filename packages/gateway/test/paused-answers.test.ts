/** Answers whose reading is paused, because their caller takes them slowly: every byte arrives. */
import { expect } from 'chai';
import { ServerState, type BackendServer } from '@masticbend/settings/routing';
import {
  createBackendClient,
  type BackendClient,
  type ExchangeRequest,
} from '../src/backend-client.js';
import { startBackend, type ScriptedBackend } from './backend.js';
import { waitFor, waitUntil } from './harness.js';

const FIRST_PART = 'first';
/** Parts that arrive during the pause, each by itself and together less than one read. */
const LATER_PARTS = Array.from({ length: 20 }, (_, number) => `part ${number}, `.repeat(20));
/** The parser takes one more part before it pauses, so that nothing waits behind it. */
const LAST_PART = LATER_PARTS.slice(0, 1);
const PART_INTERVAL_MS = 5;
/** Time after which everything that was sent has been read or waits. */
const SETTLING_MS = 20;

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

type FramingName = 'a length' | 'chunks' | 'the end of the connection';

const FRAMINGS: readonly FramingName[] = ['a length', 'chunks', 'the end of the connection'];

/** An answer that is sent in parts. */
interface PartedAnswer {
  framing: FramingName;
  parts: readonly string[];
  /** Number of parts that arrive while the answer is paused. */
  pausedParts: number;
  /** The server ends the connection before the last bytes of the answer. */
  isCut?: boolean;
}

function formatHead({ framing, parts, isCut = false }: PartedAnswer): string {
  const lines = ['HTTP/1.1 200 OK'];
  const { length } = FIRST_PART + parts.join('');
  if (framing === 'a length') lines.push(`Content-Length: ${length + Number(isCut)}`);
  if (framing === 'chunks') lines.push('Transfer-Encoding: chunked');
  if (isCut || framing === 'the end of the connection') lines.push('Connection: close');
  return `${lines.join('\r\n')}\r\n\r\n`;
}

function formatPart({ framing }: PartedAnswer, part: string): string {
  return framing === 'chunks' ? `${part.length.toString(16)}\r\n${part}\r\n` : part;
}

describe('answers that are paused', () => {
  let backend: ScriptedBackend;
  let client: BackendClient;

  afterEach(async () => {
    await client.close();
    await backend.close();
  });

  /** Pauses an answer after its first part; returns its body and how it ended. */
  async function readPaused(answer: PartedAnswer): Promise<{ body: string; end?: string }> {
    const { framing, parts, pausedParts, isCut = false } = answer;
    let sentParts = 0;
    backend = await startBackend(async ({ socket }) => {
      socket.write(formatHead(answer));
      for (const part of [FIRST_PART, ...parts]) {
        socket.write(formatPart(answer, part));
        sentParts += 1;
        await waitFor(PART_INTERVAL_MS);
      }
      if (framing === 'chunks' && !isCut) socket.write('0\r\n\r\n');
      if (framing === 'the end of the connection' || isCut) socket.end();
    });
    client = createBackendClient();
    const received: string[] = [];
    let end: string | undefined;
    const exchange = client.send({ ...SERVER, address: backend.address }, REQUEST, {
      onSent: () => undefined,
      onHead: () => undefined,
      onData(bytes) {
        if (received.length === 0) exchange.pause();
        received.push(bytes.toString('latin1'));
      },
      onEnd() {
        end = 'regular';
      },
      onError() {
        end = 'broken';
      },
    });
    await waitUntil(() => sentParts > pausedParts);
    await waitFor(SETTLING_MS);
    exchange.resume();
    await waitUntil(() => end !== undefined);
    return { body: received.join(''), end };
  }

  for (const framing of FRAMINGS) {
    const body = FIRST_PART + LATER_PARTS.join('');
    const half = LATER_PARTS.length / 2;

    // A read of no bytes, by which a stream asks for more, took bytes that nobody received.
    it(`lose no byte with ${framing}`, async () => {
      const result = await readPaused({ framing, parts: LATER_PARTS, pausedParts: half });
      expect(result).to.deep.equal({ body, end: 'regular' });
    });

    it(`lose no byte with ${framing} when they end meanwhile`, async () => {
      const answer = { framing, parts: LATER_PARTS, pausedParts: LATER_PARTS.length };
      expect(await readPaused(answer)).to.deep.equal({ body, end: 'regular' });
    });

    // The parser got the end of the connection while it was paused, and threw an error of its own.
    it(`end after the pause with ${framing}`, async () => {
      const result = await readPaused({ framing, parts: LAST_PART, pausedParts: 1 });
      expect(result).to.deep.equal({ body: FIRST_PART + LAST_PART.join(''), end: 'regular' });
    });
  }

  for (const framing of ['a length', 'chunks'] as const) {
    it(`break after the pause with ${framing}`, async () => {
      const answer = { framing, parts: LAST_PART, pausedParts: 1, isCut: true };
      expect((await readPaused(answer)).end).to.equal('broken');
    });
  }
});
