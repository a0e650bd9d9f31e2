import { expect } from 'chai';
import fc from 'fast-check';
import { answerWith, sendAnswer, startFakeAgent, type FakeAgent } from './fake-agent.js';
import { readError, sendCall, startFakeEntry, type FakeEntry } from './fake-entry.js';
import { formatRequest, openRawCaller } from './raw-caller.js';
import { waitUntil } from './wait.js';

const SEED = 20261204;
const CHAT = JSON.stringify({ model: 'praline', messages: [{ role: 'user', content: 'hello' }] });
const CHAT_PATH = '/v1/chat/completions';
const BUSY_MS = 100;

describe('caller server', () => {
  let agent: FakeAgent;
  let entry: FakeEntry;

  beforeEach(async () => {
    agent = await startFakeAgent('only', answerWith('whole'));
    entry = await startFakeEntry([agent], { timeouts: { headersMs: 300, checkIntervalMs: 50 } });
  });

  afterEach(async () => {
    await entry.close();
    await agent.close();
  });

  it('refuses an oversized body by its content-length, without reading it', async () => {
    const caller = openRawCaller(entry.port);
    caller.write(formatRequest('POST', CHAT_PATH, ['content-length: 99000000']));
    await caller.waitFor('body-too-large');
    await waitUntil(caller.isClosed, 'the close');
  });

  it('refuses an oversized body sent in chunks', async () => {
    const caller = openRawCaller(entry.port);
    caller.write(formatRequest('POST', CHAT_PATH, ['transfer-encoding: chunked']));
    caller.write(`20000\r\n${'x'.repeat(0x20000)}`);
    await caller.waitFor('body-too-large');
    caller.close();
  });

  it('refuses oversized headers, within and beyond the limit of the HTTP parser', async () => {
    for (const bytes of [17_000, 80_000]) {
      const caller = openRawCaller(entry.port);
      caller.write(formatRequest('GET', '/v1/models', [`x-filler: ${'x'.repeat(bytes)}`]));
      await caller.waitFor('headers-too-large');
      expect(caller.read()).to.match(/^HTTP\/1.1 431 /);
      caller.close();
    }
  });

  it('closes the connection of a caller that sends its headers too slowly', async () => {
    const caller = openRawCaller(entry.port);
    caller.write('POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n');
    await caller.waitFor('invalid-request');
    await waitUntil(caller.isClosed, 'the close');
  });

  it('answers bytes that are not HTTP and closes that connection only', async () => {
    const caller = openRawCaller(entry.port);
    caller.write('\x16\x03\x01 not http\r\n\r\n');
    await caller.waitFor('invalid-request');
    await waitUntil(caller.isClosed, 'the close');
    expect((await sendCall(entry, 'POST', CHAT_PATH, {}, CHAT)).text).to.equal('whole');
  });

  // A busy entry reserved a place at an engine and could send the request there.
  it('does not place a request whose caller left before it was read', async () => {
    const caller = openRawCaller(entry.port);
    const headers = [`content-length: ${CHAT.length}`];
    caller.write(formatRequest('POST', CHAT_PATH, headers, CHAT));
    await caller.waitFor('whole');
    const reserved = agent.count('reserve');
    caller.write(formatRequest('POST', CHAT_PATH, headers, CHAT));
    caller.close();
    const busyUntil = performance.now() + BUSY_MS;
    while (performance.now() < busyUntil);
    await sendCall(entry, 'POST', CHAT_PATH, {}, CHAT);
    expect(agent.count('reserve')).to.equal(reserved + 1);
  });

  it('answers each wrong call with its error', async () => {
    const calls: [string, string, Record<string, string>, string?][] = [
      ['POST', CHAT_PATH, {}, '{'],
      ['POST', CHAT_PATH, {}, '[]'],
      ['POST', CHAT_PATH, {}, '{"model":"praline"}'],
      ['POST', CHAT_PATH, {}, '{"model":"constructor","messages":[]}'],
      ['POST', CHAT_PATH, {}, '{"model":"praline","messages":[],"max_tokens":-1}'],
      ['POST', CHAT_PATH, {}, '{"model":"praline","messages":[],"max_tokens":1e300}'],
      ['POST', CHAT_PATH, { 'x-masticbend-tier': 'constructor' }, CHAT],
      ['POST', CHAT_PATH, { 'x-masticbend-work': 'x'.repeat(600) }, CHAT],
      ['POST', CHAT_PATH, { 'x-masticbend-deadline-ms': 'Infinity' }, CHAT],
      ['POST', CHAT_PATH, { 'idempotency-key': 'x'.repeat(600) }, CHAT],
      ['POST', CHAT_PATH, { authorization: 'Bearer wrong' }, CHAT],
      ['GET', CHAT_PATH, {}],
      ['GET', '/nowhere', {}],
      ['GET', '/services/toString/x', {}],
      ['GET', '/services/parcels/parcels/a%2Fb', {}],
      ['PUT', '/services/parcels/bookings', {}, '{}'],
    ];
    const answers: string[] = [];
    for (const [method, path, headers, body] of calls) {
      const answer = await sendCall(entry, method as 'GET', path, headers, body);
      answers.push(`${method} ${path.slice(0, 60)}: ${answer.status} ${readError(answer).kind}`);
    }
    expect(answers).toMatchSnapshot();
    expect(agent.received).to.deep.equal([]);
  });

  it('places a call that must not be repeated, with and without a key', async () => {
    await sendCall(entry, 'POST', '/services/parcels/bookings', {}, '{}');
    await sendCall(entry, 'POST', '/services/parcels/bookings', { 'idempotency-key': 'k' }, '{}');
    const works = agent.received.filter((message) => message.kind === 'reserve');
    expect(works.map(({ work }) => work.idempotent)).to.deep.equal([false, false]);
    const grants = agent.received.filter((message) => message.kind === 'grant');
    expect(grants.map(({ call }) => call.idempotency?.key)).to.deep.equal([undefined, 'k']);
  });

  it('refuses paths that a backend server may interpret as a different path', async () => {
    for (const path of ['parcels/../bookings', 'parcels/%2e%2E/bookings', 'parcels//bookings']) {
      const caller = openRawCaller(entry.port);
      caller.write(formatRequest('GET', `/services/parcels/${path}`, []));
      await caller.waitFor('not-found');
      caller.close();
    }
    expect(agent.received).to.deep.equal([]);
  });

  it('lists models, and answers HEAD and OPTIONS', async () => {
    const models = await sendCall(entry, 'GET', '/v1/models', {});
    expect(JSON.parse(models.text).data[0]).to.include({ id: 'praline', object: 'model' });
    const caller = openRawCaller(entry.port);
    caller.write(formatRequest('HEAD', '/v1/models', []));
    caller.write(formatRequest('OPTIONS', CHAT_PATH, []));
    await caller.waitFor('allow: POST, OPTIONS');
    expect(caller.read()).not.to.include('praline');
    caller.close();
  });

  it('answers pipelined requests of one connection in order', async () => {
    await agent.close();
    await entry.close();
    agent = await startFakeAgent('only', (self, message) => {
      const { request } = message as { request: string };
      if (message.kind === 'reserve') {
        self.send({ kind: 'claim', request, claim: 1, validMs: 1_000 });
      } else if (message.kind === 'grant' && self.count('grant') === 2) {
        const [first, second] = self.received.filter(({ kind }) => kind === 'grant');
        sendAnswer(self, (second as { request: string }).request, 'second');
        sendAnswer(self, (first as { request: string }).request, 'first');
      }
    });
    entry = await startFakeEntry([agent]);
    const caller = openRawCaller(entry.port);
    const one = formatRequest('POST', CHAT_PATH, [`content-length: ${CHAT.length}`], CHAT);
    caller.write(one + one);
    await caller.waitFor('second');
    expect(caller.read().indexOf('first')).to.be.lessThan(caller.read().indexOf('second'));
    expect(caller.read().match(/HTTP\/1.1 200/g)).to.have.length(2);
    caller.close();
  });

  it('sends 100 Continue only for a body that is accepted', async () => {
    const expecting = 'expect: 100-continue';
    const caller = openRawCaller(entry.port);
    caller.write(formatRequest('POST', CHAT_PATH, [expecting, `content-length: ${CHAT.length}`]));
    await caller.waitFor('100 Continue');
    caller.write(CHAT);
    await caller.waitFor('whole');
    caller.close();
    const refused = openRawCaller(entry.port);
    refused.write(formatRequest('POST', CHAT_PATH, [expecting, 'content-length: 99000000']));
    await refused.waitFor('body-too-large');
    expect(refused.read()).not.to.include('100 Continue');
    refused.close();
  });

  it('passes no credentials or unknown headers to the backend server', async () => {
    await sendCall(entry, 'POST', CHAT_PATH, { cookie: 'a=b', 'x-other': '1' }, CHAT);
    const { call } = await agent.take('grant');
    expect(call.headers).to.deep.equal({ 'content-type': 'application/json' });
  });

  it('answers a refusal by the account limits at once, and reports each admitted request', async () => {
    await entry.close();
    const finished: string[] = [];
    const admitted: string[] = [];
    entry = await startFakeEntry([agent], {
      limits: {
        admit(request) {
          if (admitted.length === 1) return { kind: 'rate-limited', retryAfterMs: 2_500 };
          admitted.push(request);
          return undefined;
        },
        finish: (request) => finished.push(request),
      },
    });
    expect((await sendCall(entry, 'POST', CHAT_PATH, {}, CHAT)).text).to.equal('whole');
    const refused = await sendCall(entry, 'POST', CHAT_PATH, {}, CHAT);
    expect(refused.status).to.equal(429);
    expect(refused.headers['retry-after']).to.equal('3');
    expect(readError(refused)).to.include({ kind: 'rate-limited', ran: 'no' });
    expect(entry.results.map(({ id }) => id)).to.deep.equal(admitted);
    expect(finished).to.deep.equal([]);
  });

  it(`answers arbitrary requests and keeps the agent's connection, seed ${SEED}`, async () => {
    const header = fc.constantFrom(
      'idempotency-key',
      'x-masticbend-tier',
      'x-masticbend-work',
      'x-masticbend-deadline-ms',
      'content-type',
    );
    const value = fc.oneof(
      fc
        .oneof(fc.string(), fc.string({ minLength: 513, maxLength: 700 }))
        .map((text) => text.replace(/[^\x20-\x7e]/g, '?')),
      fc.constantFrom('fast', 'praline', '-1', '1e400', 'NaN', '__proto__', ' ', '250'),
    );
    const chat = fc.record(
      {
        model: fc.oneof(fc.constant('praline'), fc.string(), fc.anything()),
        messages: fc.oneof(fc.constant([]), fc.jsonValue()),
        max_tokens: fc.oneof(fc.integer(), fc.double(), fc.jsonValue()),
        stream: fc.oneof(fc.boolean(), fc.jsonValue()),
      },
      { requiredKeys: [] },
    );
    const call = fc.oneof(
      { weight: 3, arbitrary: fc.constant(['POST', CHAT_PATH] as const) },
      fc.tuple(
        fc.constantFrom('GET' as const, 'POST' as const),
        fc.webPath().map((text) => text || '/'),
      ),
      fc.webPath().map((text) => ['GET', `/services/parcels/parcels${text}`] as const),
    );
    await fc.assert(
      fc.asyncProperty(
        call,
        fc.dictionary(header, value, { maxKeys: 1 }),
        fc.oneof(fc.constant(JSON.parse(CHAT)), chat),
        async ([method, url], headers, body) => {
          const text = method === 'POST' ? JSON.stringify(body) : undefined;
          const answer = await sendCall(entry, method, url, headers, text);
          expect(answer.status).to.be.within(200, 431);
          expect(answer.isTruncated).to.equal(false);
          expect(agent.isConnected()).to.equal(true);
        },
      ),
      { seed: SEED, numRuns: 600 },
    );
    expect(agent.countConnections()).to.equal(1);
    expect(entry.requests.countOpen()).to.equal(0);
  });
});
