import { expect } from 'chai';
import { MAX_CHUNK_BYTES, STREAM_WINDOW_BYTES, type Message } from '@masticbend/protocol/message';
import {
  sendAnswer,
  sendEnd,
  startFakeAgent,
  type Behaviour,
  type FakeAgent,
} from './fake-agent.js';
import {
  readError,
  sendChat,
  startFakeEntry,
  type FakeEntry,
  type FakeEntryOptions,
} from './fake-entry.js';
import { REQUEST_BOUNDS } from '../src/request-state.js';
import { formatRequest, openRawCaller } from './raw-caller.js';
import { waitFor, waitUntil } from './wait.js';

const CHUNK = Buffer.alloc(32 * 1024, 'data: xxxxxxxxx\n');
/** Time between a part of an answer and its failure, so that the caller has read the part. */
const BREAK_DELAY_MS = 50;
const DONE = Buffer.from('data: [DONE]\n\n');

/** Streams `chunkCount` chunks to each request, limited by its credit. */
function createStreaming(chunkCount: number, sentBytes: Map<string, number>): Behaviour {
  const credits = new Map<string, number>();

  function push(agent: FakeAgent, request: string): void {
    let sent = sentBytes.get(request) ?? 0;
    while (sent < chunkCount * CHUNK.length && sent + CHUNK.length <= credits.get(request)!) {
      agent.send({ kind: 'data', request, sequence: sent / CHUNK.length, data: CHUNK });
      sent += CHUNK.length;
    }
    const isComplete = sent === chunkCount * CHUNK.length && sentBytes.get(request) !== sent;
    sentBytes.set(request, sent);
    if (!isComplete) return;
    agent.send({ kind: 'data', request, sequence: chunkCount, data: DONE });
    sendEnd(agent, request, chunkCount + 1, sent + DONE.length);
  }

  return (agent, message: Message) => {
    if (message.kind === 'reserve') sendClaim(agent, message.request);
    if (message.kind === 'grant') {
      credits.set(message.request, STREAM_WINDOW_BYTES);
      sendEventHead(agent, message.request);
      push(agent, message.request);
    }
    if (message.kind === 'credit') {
      credits.set(message.request, credits.get(message.request)! + message.bytes);
      push(agent, message.request);
    }
  };
}

function sendClaim(agent: FakeAgent, request: string): void {
  agent.send({ kind: 'claim', request, claim: 1, validMs: 1_000 });
}

function sendEventHead(agent: FakeAgent, request: string): void {
  const headers = { 'content-type': 'text/event-stream' };
  agent.send({ kind: 'head', request, status: 200, headers, recorded: false });
}

describe('streaming', () => {
  const openHandles: { close: () => Promise<void> }[] = [];

  afterEach(async () => {
    for (const process of openHandles.splice(0).reverse()) await process.close();
  });

  async function start(
    behave: Behaviour,
    options: FakeEntryOptions = {},
  ): Promise<[FakeAgent, FakeEntry]> {
    const agent = await startFakeAgent('only', behave);
    openHandles.push(agent);
    const entry = await startFakeEntry([agent], options);
    openHandles.push(entry);
    return [agent, entry];
  }

  it('applies back-pressure to the stream of a slow caller only', async () => {
    const sent = new Map<string, number>();
    const [, entry] = await start(createStreaming(4_000, sent), { document: 'large' });
    const slow = openRawCaller(entry.port);
    const body = JSON.stringify({ model: 'praline', messages: [], stream: true });
    slow.pause();
    slow.write(
      formatRequest('POST', '/v1/chat/completions', [`content-length: ${body.length}`], body),
    );
    await waitUntil(() => sent.size === 1, 'the slow stream');
    let before = -1;
    while (before !== [...sent.values()][0]) {
      [before] = [...sent.values()] as [number];
      await waitFor(200);
    }
    expect(before).to.be.lessThan(4_000 * CHUNK.length * 0.5);
    const answer = await sendChat(entry, {}, { stream: true });
    expect(answer.text.length).to.equal(4_000 * CHUNK.length + DONE.length);
    expect([...sent.values()][0]).to.equal(before);
    slow.close();
    await waitUntil(() => entry.requests.countOpen() === 0, 'the slow request to end');
  });

  it('ends a stream that fails part-way with an error event and no last chunk', async () => {
    const [, entry] = await start((agent, message) => {
      if (message.kind === 'reserve') sendClaim(agent, message.request);
      if (message.kind !== 'grant') return;
      const { request } = message;
      sendEventHead(agent, request);
      const data = Buffer.from('data: {"choices"');
      agent.send({ kind: 'data', request, sequence: 0, data });
      agent.send({ kind: 'failed', request, failure: { kind: 'backend-truncated' } });
    });
    const answer = await sendChat(entry, {}, { stream: true });
    expect(answer.status).to.equal(200);
    expect(answer.isTruncated).to.equal(true);
    expect(answer.text).to.include('\n\nevent: error\ndata: {"error":{"kind":"backend-truncated"');
    expect(answer.text).not.to.include('[DONE]');
  });

  // Without chunks, a regular end of the connection would be that of a complete answer.
  it('resets the connection of a caller of HTTP/1.0 whose answer fails part-way', async () => {
    const [, entry] = await start((agent, message) => {
      if (message.kind === 'reserve') sendClaim(agent, message.request);
      if (message.kind !== 'grant') return;
      const { request } = message;
      const headers = { 'content-type': 'text/plain' };
      agent.send({ kind: 'head', request, status: 200, headers, recorded: false });
      agent.send({ kind: 'data', request, sequence: 0, data: Buffer.from('part') });
      setTimeout(
        () => agent.send({ kind: 'failed', request, failure: { kind: 'backend-truncated' } }),
        BREAK_DELAY_MS,
      );
    });
    const caller = openRawCaller(entry.port);
    const body = JSON.stringify({ model: 'praline', messages: [], stream: true });
    const length = `content-length: ${body.length}`;
    const text = formatRequest('POST', '/v1/chat/completions', [length], body);
    caller.write(text.replace('HTTP/1.1', 'HTTP/1.0'));
    await waitUntil(caller.isClosed, 'the end of the connection');
    expect(caller.read()).to.include('part');
    expect(caller.isReset()).to.equal(true);
  });

  it('ends a stream beyond its limit with stream-too-large and aborts the call', async () => {
    const [agent, entry] = await start(createStreaming(40, new Map()));
    const answer = await sendChat(entry, {}, { stream: true });
    expect(answer.isTruncated).to.equal(true);
    expect(answer.text).to.include('stream-too-large');
    await agent.take('abort');
  });

  it('answers stream-too-large for a buffered answer beyond its limit', async () => {
    const [agent, entry] = await start(createStreaming(40, new Map()));
    const answer = await sendChat(entry);
    expect(answer.status).to.equal(502);
    expect(readError(answer)).to.include({ kind: 'stream-too-large' });
    await agent.take('abort');
    await waitUntil(() => entry.requests.countOpen() === 0, 'the request to end');
  });

  /** Sends large bodies to an agent that stops reading; returns the bytes buffered for it. */
  async function measureBufferedBytes(calls: number, maxBufferedBytes: number): Promise<number> {
    const received = new Map<string, number>();
    const behave: Behaviour = (self, message) => {
      if (message.kind !== 'body') return;
      const bytes = (received.get(message.request) ?? 0) + message.data.length;
      received.set(message.request, bytes);
      if (message.last) sendAnswer(self, message.request, String(bytes));
    };
    const [agent, entry] = await start(behave, { document: 'large', bounds: { maxBufferedBytes } });
    const content = 'x'.repeat(1_500_000);
    const body = { messages: [{ role: 'user', content }] };
    const answers = Array.from({ length: calls }, () => sendChat(entry, {}, body));
    await agent.take('reserve', calls);
    agent.setReading(false);
    for (const message of agent.received) {
      if (message.kind === 'reserve') sendClaim(agent, message.request);
    }
    await waitUntil(() => entry.mesh.countBufferedBytes('only') > 0, 'a full buffer');
    await waitFor(300);
    const buffered = entry.mesh.countBufferedBytes('only');
    agent.setReading(true);
    const sizes = new Set((await Promise.all(answers)).map(({ text }) => Number(text)));
    expect(sizes.size).to.equal(1);
    expect([...sizes][0]).to.be.greaterThan(content.length);
    return buffered;
  }

  it('pauses large bodies while their agent does not read, and then sends them completely', async () => {
    const calls = 16;
    const { maxBufferedBytes } = REQUEST_BOUNDS;
    const limit = maxBufferedBytes + calls * MAX_CHUNK_BYTES;
    expect(await measureBufferedBytes(calls, maxBufferedBytes)).to.be.within(1, limit);
    expect(await measureBufferedBytes(calls, Infinity)).to.be.greaterThan(limit);
  });

  it('ends the request of a caller that reads no bytes within the timeout', async () => {
    const bounds = { callerTimeoutMs: 300, agentTimeoutMs: 50 };
    const behave = createStreaming(4_000, new Map());
    const [agent, entry] = await start(behave, { document: 'large', bounds });
    const slow = openRawCaller(entry.port);
    const body = JSON.stringify({ model: 'praline', messages: [], stream: true });
    slow.pause();
    slow.write(
      formatRequest('POST', '/v1/chat/completions', [`content-length: ${body.length}`], body),
    );
    await agent.take('abort');
    await waitUntil(() => entry.requests.countOpen() === 0, 'the request to end');
    slow.close();
  });
});
