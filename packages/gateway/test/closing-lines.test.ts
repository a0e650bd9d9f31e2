/**
 * Each request that was read whole has exactly one closing line in the log, whatever becomes of it.
 * Without one nobody can tell what became of a request; with two, counts of requests are wrong.
 * Connections that an entry refuses unread are counted together.
 */
import { expect } from 'chai';
import {
  formatAnswer,
  formatChunk,
  formatEvent,
  formatStreamHead,
  LAST_CHUNK,
  type Arrival,
  type Script,
} from './backend.js';
import {
  HOST,
  KEY,
  startDeployment,
  waitFor,
  waitUntil,
  type CallOptions,
  type Deployment,
  type Reply,
} from './harness.js';
import { listClosingLines, parseLogLine } from './log-lines.js';

const LIMITED_KEY = 'key-limited';
const ROUTE = { host: HOST, service: 'plain', anonymous: false, timeout_ms: 9_000, slo_ms: 300 };
const ROUTES = [
  { ...ROUTE, name: 'once', prefix: '/once/', route_kind: 'non_idempotent', max_attempts: 1 },
  { ...ROUTE, name: 'again', prefix: '/again/', route_kind: 'idempotent', max_attempts: 2 },
  { ...ROUTE, name: 'stream', prefix: '/stream/', route_kind: 'streaming', max_attempts: 1 },
  { ...ROUTE, name: 'bare', prefix: '/bare/', service: 'bare', route_kind: 'non_idempotent' },
  {
    ...ROUTE,
    name: 'crash',
    prefix: '/crash/',
    service: 'crashing',
    route_kind: 'streaming',
  },
  {
    ...ROUTE,
    name: 'resume',
    prefix: '/resume/',
    route_kind: 'streaming',
    resumable: true,
    max_attempts: 2,
  },
];
const TENANTS = [
  { name: 'bakery', api_keys: [KEY], priority: 1, rate_per_s: 0 },
  { name: 'limited', api_keys: [LIMITED_KEY], priority: 1, rate_per_s: 0.001, burst: 0.001 },
];
const SERVICES = ['plain', 'bare', 'crashing'].map((name) => ({
  name,
  health_path: '/healthz',
  max_conns: 200,
}));
/** Servers that run all requests but the crashing ones, and those that crash. */
const PLAIN_SERVERS = 3;
const CRASHING_SERVERS = 3;
const SLOTS = 8;
/** Time after which a caller leaves, and after which the last one of many leaves. */
const LEAVE_MS = 60;
const MAX_LEAVE_MS = 500;
const DEADLINE_MS = 400;
const LONG_DEADLINE_MS = 9_000;
/** Rounds of all cases at once, and requests that are open until the stop. */
const ROUNDS = 12;
const STOPPED_REQUESTS = 4;

const answer: Script = ({ socket }) => socket.write(formatAnswer(200, 'done'));
const reset: Script = ({ socket }) => socket.resetAndDestroy();
const hang: Script = () => undefined;
const beginStream: Script = ({ socket }) =>
  socket.write(formatStreamHead() + formatChunk(formatEvent(1)));

/** What the servers do by the last part of the path. */
const SCRIPTS: Readonly<Record<string, Script>> = {
  answer,
  reset,
  hang,
  'refuse-request': ({ socket }) =>
    socket.write('HTTP/1.1 503 Full\r\nX-Masticbend-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'),
  deny: ({ socket }) => socket.write(formatAnswer(404, 'denied')),
  fail: ({ socket }) => socket.write(formatAnswer(500, 'failed')),
  unsigned: ({ socket }) => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno'),
  truncate: ({ socket }) => socket.end(formatAnswer(200, 'done').slice(0, -2)),
  garble: ({ socket }) => socket.write('these bytes are no answer\r\n\r\n'),
  empty: ({ socket }) =>
    socket.write('HTTP/1.1 204 No Content\r\nX-Masticbend-Server-Stamp: stamp\r\n\r\n'),
  'foreign-text': ({ socket, headers }) => {
    const id = `X-Masticbend-Attempt-Id: ${headers['x-masticbend-attempt-id']}`;
    socket.write(Buffer.from(formatAnswer(200, 'done', [id, 'X-Place: K\u0142odzko']), 'utf8'));
  },
  large: ({ socket }) => socket.write(formatAnswer(200, 'x'.repeat(400_000))),
  stream: ({ socket }) =>
    socket.write(formatStreamHead() + formatChunk(formatEvent(1)) + LAST_CHUNK),
  'begin-and-hang': beginStream,
  'begin-and-reset': ({ socket }) => {
    socket.write(formatStreamHead() + formatChunk(formatEvent(1)), () => {
      setTimeout(() => socket.resetAndDestroy(), 10);
    });
  },
  'reset-first': createFirstArrivalScript(reset, answer),
};

/** A request, and the closing line that it gets on its own. */
interface Case {
  path: string;
  event: string;
  fields?: Record<string, string>;
  options?: CallOptions;
  leaves?: boolean;
}

const BLOCKED: Case = {
  path: '/crash/a',
  event: 'request-refused',
  fields: { error: 'request-suspected' },
};

const CASES: Readonly<Record<string, Case>> = {
  'a blocked request': BLOCKED,
  'an answer': { path: '/once/answer', event: 'request-finished', fields: { status: '200' } },
  'an answer to HEAD': {
    path: '/once/empty',
    options: { method: 'HEAD' },
    event: 'request-finished',
  },
  'an answer without a body': { path: '/once/empty', event: 'request-finished' },
  'an answer with a header in another alphabet': {
    path: '/once/foreign-text',
    event: 'request-finished',
  },
  'a large answer': { path: '/once/large', event: 'request-finished' },
  'a stream': { path: '/stream/stream', event: 'request-finished' },
  'a server that denies': {
    path: '/once/deny',
    event: 'request-finished',
    fields: { status: '404' },
  },
  'a server that fails': {
    path: '/once/fail',
    event: 'request-finished',
    fields: { status: '500' },
  },
  'servers that fail twice': {
    path: '/again/fail',
    event: 'request-finished',
    fields: { status: '500' },
  },
  'a server that resets': { path: '/once/reset', event: 'request-failed' },
  'servers that reset twice': { path: '/again/reset', event: 'request-failed' },
  'a repeat': {
    path: '/again/reset-first',
    event: 'request-finished',
    fields: { sent: '2' },
  },
  'servers that refuse': { path: '/once/refuse-request', event: 'request-refused' },
  'an unsigned answer': { path: '/once/unsigned', event: 'request-failed' },
  'a truncated answer': { path: '/once/truncate', event: 'request-failed' },
  'bytes that are no answer': { path: '/once/garble', event: 'request-failed' },
  'a stream that breaks off': { path: '/stream/begin-and-reset', event: 'request-failed' },
  'a stream that breaks off at each server': {
    path: '/resume/begin-and-reset',
    event: 'request-failed',
  },
  'an unknown route': {
    path: '/nowhere/a',
    event: 'request-refused',
    fields: { error: 'not-found' },
  },
  'an unknown key': {
    path: '/once/answer',
    options: { headers: { 'x-masticbend-key': 'wrong' } },
    event: 'request-refused',
    fields: { error: 'unauthenticated' },
  },
  'an account above its limit': {
    path: '/once/answer',
    options: { headers: { 'x-masticbend-key': LIMITED_KEY } },
    event: 'request-refused',
    fields: { error: 'rate-limited' },
  },
  'a service without servers': {
    path: '/bare/answer',
    event: 'request-refused',
    fields: { error: 'no-backend-server' },
  },
  'the deadline of a call': {
    path: '/once/hang',
    options: { headers: { 'x-masticbend-deadline-ms': String(DEADLINE_MS) } },
    event: 'request-failed',
    fields: { error: 'answer-timeout' },
  },
  'the deadline of a stream': {
    path: '/stream/begin-and-hang',
    options: { headers: { 'x-masticbend-deadline-ms': String(DEADLINE_MS) } },
    event: 'request-failed',
  },
  'a caller that leaves a call': {
    path: '/once/hang',
    leaves: true,
    event: 'request-abandoned',
  },
  'a caller that leaves a stream': {
    path: '/stream/begin-and-hang',
    leaves: true,
    event: 'request-abandoned',
  },
};

describe('closing lines of requests', () => {
  let deployment: Deployment;
  let requestCount = 0;
  /** Requests whose connections were refused unread. */
  const unreadIds = new Set<string>();

  const run: Script = (arrival, index) => {
    const [, path = ''] = arrival.line.split(' ');
    SCRIPTS[path.split('/').at(-1)!]!(arrival, index);
  };

  /** Sends the request of a case; returns its id. */
  async function send({ path, options, leaves }: Case, leaveMs = LEAVE_MS): Promise<string> {
    requestCount += 1;
    const id = `r${requestCount}`;
    const leaving = new AbortController();
    const reply = deployment.call(path, {
      ...options,
      headers: { 'x-masticbend-attempt-id': id, ...options?.headers },
      signal: leaving.signal,
    });
    if (!leaves) {
      if (isUnreadRefusal(await reply)) unreadIds.add(id);
      return id;
    }
    await waitFor(leaveMs);
    leaving.abort();
    await reply.catch(() => undefined);
    return id;
  }

  function listClosing(id: string) {
    return listClosingLines(deployment.logLines.map(parseLogLine), id);
  }

  async function checkOneClosing(id: string): Promise<void> {
    await waitUntil(() => listClosing(id).length > 0);
    expect(listClosing(id), id).to.have.length(1);
  }

  /** Crashes the servers of one service with the same request until it is blocked. */
  async function sendUntilBlocked(): Promise<void> {
    await waitUntil(async () => {
      await send(BLOCKED);
      return deployment.logLines.some((line) => line.includes('error=request-suspected'));
    });
  }

  function waitUntilServed(): Promise<void> {
    return waitUntil(async () => (await deployment.call('/once/answer')).status === 200);
  }

  before(async () => {
    const crash: Script = ({ socket }: Arrival) => {
      socket.write(formatStreamHead());
      const server = deployment.backends.find(({ address }) =>
        address.endsWith(`:${socket.localPort}`),
      )!;
      setTimeout(() => server.close(), 10);
    };
    const scripts = [
      ...Array.from({ length: PLAIN_SERVERS }, () => run),
      ...Array.from({ length: CRASHING_SERVERS }, () => crash),
    ];
    deployment = await startDeployment(scripts, { isLogged: true, bounds: { graceS: 3 } });
    scripts.forEach((script, index) => {
      const service = script === crash ? 'crashing' : 'plain';
      deployment.writeServer(index, { service, slots: SLOTS });
    });
    deployment.writeConfiguration({
      version: 5,
      routes: ROUTES,
      tenants: TENANTS,
      services: SERVICES,
    });
    await waitUntil(async () => (await deployment.call('/bare/answer')).status === 503);
    await sendUntilBlocked();
  });

  after(() => deployment.close());

  for (const [name, each] of Object.entries(CASES)) {
    // A request was closed twice, or by the wrong line, or not at all.
    it(`are one each: ${name}`, async () => {
      await waitUntilServed();
      const id = await send(each);
      await checkOneClosing(id);
      expect(listClosing(id)[0]).to.include({ event: each.event, ...each.fields });
    });
  }

  // Requests that meet each other, ejected servers and the end of the entry were not counted.
  it('are one each for many requests at once, up to the stop', async () => {
    const headers = { 'x-masticbend-deadline-ms': String(LONG_DEADLINE_MS) };
    const stopped = Array.from({ length: STOPPED_REQUESTS }, () =>
      send({ path: '/once/hang', event: '', options: { headers } }),
    );
    await waitFor(LEAVE_MS);
    const cases = Array.from({ length: ROUNDS }, () => Object.values(CASES)).flat();
    const staying = cases.filter(({ leaves }) => !leaves).map((each) => send(each));
    const leaving = cases.map((each, index) =>
      send({ ...each, leaves: true }, LEAVE_MS + (index * MAX_LEAVE_MS) / cases.length),
    );
    const leavingIds = await Promise.all(leaving);
    const stayingIds = await Promise.all(staying);
    // The entry counts the connections that it refused unread once it has caught up.
    await waitUntilServed();
    await deployment.gateway.stop();
    stayingIds.push(...(await Promise.all(stopped)));
    const lines = deployment.logLines.map(parseLogLine);
    const count = (id: string) => listClosingLines(lines, id).length;
    const countExpected = (id: string) => (unreadIds.has(id) ? 0 : 1);
    expect(stayingIds.filter((id) => count(id) !== countExpected(id))).to.deep.equal([]);
    const caughtUp = lines.filter(({ event }) => event === 'entry-caught-up');
    const excess = caughtUp.reduce((sum, line) => sum + Number(line.excess), 0);
    expect(unreadIds.size).to.be.at.most(excess);
    // A caller may have left before its request was read.
    expect(leavingIds.filter((id) => count(id) > 1)).to.deep.equal([]);
    const closed = leavingIds.filter((id) => count(id) === 1);
    const unread = excess - unreadIds.size;
    expect(closed.length + unread).to.be.above(leavingIds.length / 2);
    const ends = lines.filter(({ reason, last }) => [reason, last].includes('stopped'));
    expect(ends).to.have.length(STOPPED_REQUESTS);
  });
});

/** Returns whether a connection was refused by an entry that is behind, unread. */
function isUnreadRefusal({ status, headers }: Reply): boolean {
  return status === 503 && headers['content-type'] === undefined;
}

/** Returns a script that runs `first` at the first arrival of each request, then `later`. */
function createFirstArrivalScript(first: Script, later: Script): Script {
  const arrived = new Set<string>();
  return (arrival, index) => {
    const id = arrival.headers['x-masticbend-attempt-id']!;
    (arrived.has(id) ? later : first)(arrival, index);
    arrived.add(id);
  };
}
