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
const BODY = [FIRST_PART, ...LATER_PARTS].join('');
const PART_INTERVAL_MS = 5;

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

/** Heads that announce a body in each way in which an answer can be framed. */
const HEADS: Readonly<Record<string, string[]>> = {
  'a length': [`Content-Length: ${BODY.length}`],
  chunks: ['Transfer-Encoding: chunked'],
  'the end of the connection': ['Connection: close'],
};

function formatPart(part: string, isChunked: boolean): string {
  return isChunked ? `${part.length.toString(16)}\r\n${part}\r\n` : part;
}

describe('answers that are paused', () => {
  let backend: ScriptedBackend;
  let client: BackendClient;

  afterEach(async () => {
    await client.close();
    await backend.close();
  });

  /** Sends an answer in parts, of which `pausedParts` arrive while its reading is paused. */
  async function checkPaused(framing: string[], pausedParts: number): Promise<void> {
    const isChunked = framing === HEADS.chunks;
    let sentParts = 0;
    backend = await startBackend(async ({ socket }) => {
      socket.write(`${['HTTP/1.1 200 OK', ...framing].join('\r\n')}\r\n\r\n`);
      for (const part of [FIRST_PART, ...LATER_PARTS]) {
        socket.write(formatPart(part, isChunked));
        sentParts += 1;
        await waitFor(PART_INTERVAL_MS);
      }
      if (isChunked) socket.write('0\r\n\r\n');
      if (framing === HEADS['the end of the connection']) socket.end();
    });
    client = createBackendClient();
    const parts: string[] = [];
    let end: string | undefined;
    const exchange = client.send({ ...SERVER, address: backend.address }, REQUEST, {
      onSent: () => undefined,
      onHead: () => undefined,
      onData(bytes) {
        if (parts.length === 0) exchange.pause();
        parts.push(bytes.toString('latin1'));
      },
      onEnd() {
        end = 'regular';
      },
      onError({ message }) {
        end = message;
      },
    });
    await waitUntil(() => sentParts > pausedParts);
    await waitFor(2 * PART_INTERVAL_MS);
    exchange.resume();
    await waitUntil(() => end !== undefined);
    expect({ end, body: parts.join('') }).to.deep.equal({ end: 'regular', body: BODY });
  }

  for (const [framing, headers] of Object.entries(HEADS)) {
    // A read of no bytes, by which a stream asks for more, took bytes that nobody received.
    it(`lose no byte with ${framing}`, () => checkPaused(headers, LATER_PARTS.length / 2));

    it(`lose no byte with ${framing} when they end meanwhile`, () =>
      checkPaused(headers, LATER_PARTS.length));
  }
});
