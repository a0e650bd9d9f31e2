import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { createSystemClock, createVirtualClock, waitFor } from '@masticbend/kernel/clock';
import { STREAM_WINDOW_BYTES } from '@masticbend/protocol/message';
import { startEngine, type Engine } from '@masticbend/standins/engine';
import { createAnswerText } from '@masticbend/standins/engine-call';
import { startTable, type Table } from '@masticbend/standins/table';
import {
  createChat,
  dialAgent,
  startRequest,
  startTestAgent,
  waitUntil,
  type TestAgent,
  type TestEntry,
} from './harness.js';

const TOKENS = 40;
/** Tokens of an answer that is not complete when it is first looked at. */
const LONG_TOKENS = 2_000;
/** Longer than the time without heartbeats after which a peer is silent. */
const SILENCE_MS = 5_500;
const TIMEOUT_MS = 20_000;
/** Pieces of an answer that arrive one by one, until more wait than the agent reads ahead. */
const PIECE_BYTES = 8 * 1024;
const PIECE_INTERVAL_MS = 5;
const MAX_PIECES = 24;

describe('complete answers from an engine', () => {
  let engine: Engine;
  let table: Table;
  let agent: TestAgent;
  let entry: TestEntry;

  beforeEach(async () => {
    engine = await startEngine({ port: 0, prefillRate: 100_000, stepMs: 1, stepPerCallMs: 0 });
    table = await startTable(0);
    agent = await startTestAgent({ backendUrl: engine.url, tableUrl: table.url });
    entry = await dialAgent(agent.port);
  });

  afterEach(async () => {
    await agent.close();
    await Promise.all([engine.close(), table.close()]);
  });

  function readTokens(request: string): string {
    return entry
      .readAnswer(request)
      .split('\n\n')
      .filter((event) => event.startsWith('data: {'))
      .map((event) => JSON.parse(event.slice('data: '.length)) as ChatEvent)
      .map(({ choices }) => choices[0]?.delta.content ?? '')
      .join('');
  }

  function createExpectedText(request: string, tokens = TOKENS): string {
    return createAnswerText([{ role: 'user', content: `tell of ${request}` }], tokens);
  }

  it('relays a stream with its usage, after the start message', async () => {
    await startRequest(entry, createChat('r1', TOKENS));
    const end = await entry.waitForMessage('end', 'r1');
    expect(readTokens('r1')).to.equal(createExpectedText('r1'));
    expect(end.usage.outputTokens).to.equal(TOKENS);
    expect(end.usage.promptTokens).to.equal(engine.calls[0]!.promptTokens);
    expect(engine.calls.map(({ id }) => id)).to.deep.equal(['r1']);
    const kinds = entry.received.map(({ kind }) => kind);
    expect(kinds.indexOf('started')).to.be.below(kinds.indexOf('head'));
  });

  it('reads the usage of a non-streamed answer', async () => {
    await startRequest(entry, createChat('r1', TOKENS, false));
    const { usage } = await entry.waitForMessage('end', 'r1');
    expect(usage.outputTokens).to.equal(TOKENS);
  });

  it('resumes an interrupted stream from the same run without lost or duplicated bytes', async () => {
    const tokens = 600;
    const hasTokens = (count: number) => readTokens('r1').split(' ').length > count;
    await startRequest(entry, createChat('r1', tokens));
    await waitUntil(() => hasTokens(10), 'the first tokens');
    engine.cutConnections();
    await waitUntil(() => hasTokens(300), 'more tokens');
    engine.cutConnections();
    await entry.waitForMessage('end', 'r1');
    expect(readTokens('r1')).to.equal(createExpectedText('r1', tokens));
    expect(entry.readAnswer('r1').endsWith('data: [DONE]\n\n')).to.equal(true);
    expect(engine.calls).to.have.length(1);
  });

  it('fails a stream without a terminal event', async () => {
    engine.faults.omitDone = true;
    await startRequest(entry, createChat('r1', TOKENS));
    const { failure } = await entry.waitForMessage('failed', 'r1');
    expect(failure.kind).to.equal('backend-truncated');
    expect(entry.select('end', 'r1')).to.have.length(0);
  });

  it('fails an answer with a wrong content length', async () => {
    engine.faults.wrongLength = true;
    await startRequest(entry, createChat('r1', TOKENS, false));
    const { failure } = await entry.waitForMessage('failed', 'r1');
    expect(failure.kind).to.equal('backend-truncated');
  });

  it('cancels an idempotent call at the engine when its entry disconnects', async () => {
    await startRequest(entry, createChat('r1', 10_000));
    await entry.waitForMessage('data', 'r1');
    entry.socket.destroy();
    await waitUntil(() => engine.calls[0]!.cancelled, 'the cancellation');
    await waitUntil(() => agent.dispatcher.countOpen() === 0, 'the end of the call');
  });

  // The link to an entry without heartbeats was closed after 4 s, and its call was cancelled.
  it('goes on with the call of an entry that is silent for a while', async () => {
    const silent = await dialAgent(agent.port, createVirtualClock());
    await startRequest(silent, createChat('r1', LONG_TOKENS));
    await silent.waitForMessage('data', 'r1');
    engine.pause();
    await waitFor(createSystemClock(), SILENCE_MS);
    engine.resume();
    await silent.waitForMessage('end', 'r1');
    silent.socket.destroy();
  }).timeout(TIMEOUT_MS);

  it('never mixes the answers of concurrent calls', async () => {
    const requests = Array.from({ length: 6 }, (_, index) => `r${index}`);
    await Promise.all(requests.map((request) => startRequest(entry, createChat(request, TOKENS))));
    await Promise.all(requests.map((request) => entry.waitForMessage('end', request)));
    expect(requests.map(readTokens)).to.deep.equal(
      requests.map((request) => createExpectedText(request)),
    );
  });
});

interface ChatEvent {
  choices: { delta: { content?: string } }[];
}

describe('complete answers from a faulty backend server', () => {
  const clock = createSystemClock();
  let answer: (response: ServerResponse, path: string) => void;
  let server: Server;
  let table: Table;
  let agent: TestAgent;
  let entry: TestEntry;
  let paths: string[];

  beforeEach(async () => {
    paths = [];
    server = createServer((request, response) => {
      paths.push(`${request.method} ${request.url}`);
      request.resume();
      request.on('end', () => answer(response, request.url ?? ''));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    table = await startTable(0);
    agent = await startTestAgent({
      backendUrl: `http://127.0.0.1:${port}`,
      tableUrl: table.url,
      streamBytes: 2 * 1024 * 1024,
    });
    entry = await dialAgent(agent.port);
  });

  afterEach(async () => {
    await agent.close();
    server.closeAllConnections();
    await new Promise((resolve) => {
      server.close(resolve);
    });
    await table.close();
  });

  const startStream = (response: ServerResponse) =>
    response.writeHead(200, { 'content-type': 'text/event-stream' });

  async function readFailure(request = createChat('r1', 4)): Promise<string> {
    await startRequest(entry, request);
    const { failure } = await entry.waitForMessage('failed', 'r1');
    expect(entry.select('end', 'r1')).to.have.length(0);
    return failure.kind;
  }

  it('fails an answer that is not valid JSON when JSON was requested', async () => {
    answer = (response) => response.end('{"choices":[');
    expect(await readFailure(createChat('r1', 4, false))).to.equal('backend-truncated');
  });

  it('fails an answer with neither content length nor chunked encoding', async () => {
    answer = (response) => {
      response.shouldKeepAlive = false;
      response.useChunkedEncodingByDefault = false;
      response.removeHeader('transfer-encoding');
      response.socket!.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf an answ');
    };
    expect(await readFailure({ request: 'r1' })).to.equal('backend-truncated');
  });

  it('discards an incomplete event on disconnection and reads it again after resuming', async () => {
    answer = (response, path) => {
      startStream(response);
      if (path.startsWith('/v1/streams/')) {
        response.end('data: {"n":2}\n\ndata: [DONE]\n\n');
        return;
      }
      response.write('data: {"n":1}\n\ndata: {"n":', () => response.destroy());
    };
    await startRequest(entry, createChat('r1', 4));
    await entry.waitForMessage('end', 'r1');
    const expectedAnswer = 'data: {"n":1}\n\ndata: {"n":2}\n\ndata: [DONE]\n\n';
    expect(entry.readAnswer('r1')).to.equal(expectedAnswer);
    expect(paths).to.deep.equal(['POST /v1/chat/completions', 'GET /v1/streams/r1?after=1']);
  });

  it('accepts a stream that is interrupted right after its terminal event as complete', async () => {
    answer = (response) => {
      startStream(response);
      response.write('data: {"n":1}\n\ndata: [DONE]\n\n', () => response.destroy());
    };
    await startRequest(entry, createChat('r1', 4));
    await entry.waitForMessage('end', 'r1');
    expect(paths).to.have.length(1);
  });

  it('fails a stream that the engine cannot resume, without running it again', async () => {
    answer = (response, path) => {
      if (path.startsWith('/v1/streams/')) {
        response.writeHead(404).end();
        return;
      }
      startStream(response);
      response.write('data: {"n":1}\n\n', () => response.destroy());
    };
    expect(await readFailure()).to.equal('backend-truncated');
    expect(paths.filter((path) => path.startsWith('POST'))).to.have.length(1);
  });

  it('fails an answer larger than the limit', async () => {
    answer = (response) => {
      startStream(response);
      const event = `data: ${'x'.repeat(64 * 1024)}\n\n`;
      for (let index = 0; index < 64; index += 1) response.write(event);
    };
    expect(await readFailure()).to.equal('stream-too-large');
  });

  it('fails a single event larger than the limit', async () => {
    answer = (response) => {
      startStream(response);
      for (let index = 0; index < 64; index += 1) response.write('x'.repeat(64 * 1024));
    };
    expect(await readFailure()).to.equal('stream-too-large');
  });

  it('relays an error answer of the engine unchanged', async () => {
    answer = (response) => response.writeHead(400).end('{"error":"too long"}');
    await startRequest(entry, createChat('r1', 4));
    await entry.waitForMessage('end', 'r1');
    expect(entry.select('head', 'r1')[0]!.status).to.equal(400);
    expect(entry.readAnswer('r1')).to.equal('{"error":"too long"}');
  });

  it('pauses an answer without credit while others proceed', async () => {
    const bytes = STREAM_WINDOW_BYTES * 4;
    answer = (response, path) => {
      const body = 'x'.repeat(path === '/slow' ? bytes : 10);
      response.writeHead(200, { 'content-length': String(body.length) }).end(body);
    };
    entry.behaviour.creditsData = false;
    await startRequest(entry, { request: 'slow', call: { path: '/slow' } });
    await waitUntil(() => entry.readAnswer('slow').length >= STREAM_WINDOW_BYTES / 2, 'bytes');
    await startRequest(entry, { request: 'other' });
    await entry.waitForMessage('end', 'other');
    expect(entry.readAnswer('slow').length).to.be.at.most(STREAM_WINDOW_BYTES);
    expect(entry.select('end', 'slow')).to.have.length(0);
    entry.send({ kind: 'credit', request: 'slow', bytes });
    await entry.waitForMessage('end', 'slow');
    expect(entry.readAnswer('slow').length).to.equal(bytes);
  });

  // Another operator's clients got a 200 with an empty or short body, framed as whole.
  it('fails an answer that is cut at any byte', async () => {
    const whole = 'HTTP/1.1 200 OK\r\nx-note: any\r\ncontent-length: 4\r\n\r\ndone';
    answer = (response, path) => {
      const { socket } = response;
      socket!.write(whole.slice(0, Number(path.slice(1))), () => socket!.destroySoon());
    };
    for (let bytes = 1; bytes < whole.length; bytes += 1) {
      const request = String(bytes);
      await startRequest(entry, { request, call: { path: `/${request}` } });
      await entry.waitForMessage('failed', request);
      expect(entry.select('end', request), `after ${bytes} bytes`).to.have.length(0);
    }
    await startRequest(entry, { request: 'whole', call: { path: `/${whole.length}` } });
    await entry.waitForMessage('end', 'whole');
  });

  // The parser got the end of the connection while it was paused, and ended the whole agent.
  it('fails an answer without a length that ends while it is paused', async () => {
    const sent: string[] = [];
    answer = async (response, path) => {
      const socket = response.socket!;
      socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n');
      socket.write('x'.repeat(STREAM_WINDOW_BYTES));
      for (let piece = 0; piece < Number(path.slice(1)); piece += 1) {
        await waitFor(clock, PIECE_INTERVAL_MS);
        socket.write('x'.repeat(PIECE_BYTES));
      }
      await waitFor(clock, PIECE_INTERVAL_MS);
      socket.end(() => sent.push(path));
    };
    entry.behaviour.creditsData = false;
    for (let pieces = 0; pieces < MAX_PIECES; pieces += 1) {
      const request = String(pieces);
      const path = `/${request}`;
      await startRequest(entry, { request, call: { path } });
      await waitUntil(() => sent.includes(path), 'the last piece');
      await waitFor(clock, PIECE_INTERVAL_MS);
      entry.send({ kind: 'credit', request, bytes: 2 * STREAM_WINDOW_BYTES });
      const { failure } = await entry.waitForMessage('failed', request);
      expect(failure.kind, `after ${request} pieces`).to.equal('backend-truncated');
    }
  }).timeout(TIMEOUT_MS);
});
