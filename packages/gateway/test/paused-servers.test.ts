/**
 * Servers that fall silent for a while and go on: their connections stay open, new ones are
 * accepted, and each answer continues where it stopped. A request that was sent to one must not be
 * given up before another server answers it.
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
  startDeployment,
  waitFor,
  waitUntil,
  type Deployment,
  type Reply,
} from './harness.js';
import { parseLogLine } from './log-lines.js';

/** Length of a pause: longer than an entry waits for data before it looks for another server. */
const PAUSE_MS = 1_300;
/** Deadline of the requests, which leaves time for one pause. */
const DEADLINE_MS = 1_900;
const DEADLINE_HEADERS = { 'x-masticbend-deadline-ms': String(DEADLINE_MS) };
/** Bound of the entry's reads of the configuration, so that several are applied in one pause. */
const FAST_CONFIGURATION_MS = 200;
/** Time in which a changed registration of a server is read. */
const CHANGE_DELAY_MS = 400;
/** Time without data after which a stream of the test route is also sent to another server. */
const RESUME_INACTIVITY_MS = 1_000;
/** Time without data after which a call of the test route is also sent to another server. */
const CALL_INACTIVITY_MS = 750;
/** Longest time for which a stream may run at two servers that are both known to work. */
const MAX_OVERLAP_MS = 400;
const THREE_ATTEMPTS_ROUTE = {
  name: 'three',
  host: HOST,
  prefix: '/three/',
  route_kind: 'idempotent',
  service: 'plain',
  anonymous: true,
  max_attempts: 3,
  timeout_ms: 4_000,
  slo_ms: 200,
};
/** A route whose requests may wait longer for a slot than the rest of a pause takes. */
const PATIENT_ROUTE = {
  ...THREE_ATTEMPTS_ROUTE,
  name: 'patient',
  prefix: '/patient/',
  max_attempts: 2,
  timeout_ms: 10_000,
};
const PATIENT_HEADERS = { 'x-masticbend-deadline-ms': '10000' };
/** Longest wait of such a request for a slot: 15% of its time. */
const PATIENT_WAIT_MS = 1_500;
/** Requests at servers before all of them are silent, and those that arrive while they are. */
const EARLY_REQUESTS = 6;
const WAITING_REQUESTS = 20;
/** Requests that a server gets at the same time at most: its slots and one more. */
const SERVER_CAPACITY = 5;
/** Time of an answer of a server that works, and within which a refusal is at once. */
const ANSWER_MS = 30;
const AT_ONCE_MS = 200;
const SMALL_LIMITS = {
  max_header_bytes: 8_192,
  max_body_bytes: 50_000,
  header_timeout_ms: 100,
  idle_timeout_ms: 100,
};
const ANSWER = 'done';
const EVENTS = 4;
const STREAM = Array.from({ length: EVENTS }, (_, index) => formatEvent(index + 1)).join('');
/** Places inside the second line of a head and inside an event at which an answer stops. */
const PARTIAL_HEAD_BYTES = 24;
const PARTIAL_EVENT_BYTES = 6;

/** Bytes of an answer before and after the pause. */
interface PausedAnswer {
  before: string;
  after: string;
}

const HEAD = formatStreamHead();
const ANSWERS: Readonly<Record<string, PausedAnswer>> = {
  'before the head of an answer': { before: '', after: HEAD + formatEvents(1) },
  'inside the head of an answer': {
    before: HEAD.slice(0, PARTIAL_HEAD_BYTES),
    after: HEAD.slice(PARTIAL_HEAD_BYTES) + formatEvents(1),
  },
  'before the first event': { before: HEAD, after: formatEvents(1) },
  'between two events': { before: HEAD + formatEvents(1, 2), after: formatEvents(3) },
  'inside an event': {
    before: HEAD + formatEvents(1, 1) + formatChunk(formatEvent(2).slice(0, PARTIAL_EVENT_BYTES)),
    after: formatChunk(formatEvent(2).slice(PARTIAL_EVENT_BYTES)) + formatEvents(3),
  },
  'before the end of a stream': { before: HEAD + formatEvents(1, EVENTS), after: LAST_CHUNK },
};

const refuse: Script = ({ socket }) =>
  socket.write('HTTP/1.1 503 Full\r\nX-Masticbend-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n');
const reset: Script = ({ socket }) => socket.resetAndDestroy();
const fail: Script = ({ socket }) => socket.write(formatAnswer(500, 'failed'));
const neverAnswer: Script = () => undefined;
const answerAtOnce: Script = ({ socket }) => socket.write(formatAnswer(200, ANSWER));
const pauseCall = createPausingScript({ before: '', after: formatAnswer(200, ANSWER) });
const pauseStream = createPausingScript(ANSWERS['between two events']!);

describe('servers that pause', () => {
  let deployment: Deployment;

  async function start(scripts: Script[], bounds = {}): Promise<void> {
    deployment = await startDeployment(scripts, { bounds });
  }

  function call(path: string): Promise<Reply> {
    return deployment.call(path, { headers: DEADLINE_HEADERS });
  }

  function callAgain(): Promise<Reply> {
    return call('/again/a');
  }

  afterEach(() => deployment.close());

  // The attempt at the only server was given up, and the request failed.
  for (const [place, answer] of Object.entries(ANSWERS)) {
    it(`end their streams after a pause ${place}`, async () => {
      await start([createPausingScript(answer)]);
      await checkStream();
    });
  }

  // The attempt at the only server was given up, and the request failed.
  it('answer their calls after a pause', async () => {
    await start([pauseCall]);
    expect(await call('/again/a')).to.include({ status: 200, body: ANSWER });
  });

  // The attempt was given up for a repeat that the budget did not allow.
  it('are waited for when the repeat budget is spent', async () => {
    await start([pauseCall, pauseCall], { repeatRatio: 0, repeatSlack: 0 });
    expect(await call('/again/a')).to.include({ status: 200, body: ANSWER });
    setScript(pauseStream);
    await checkStream();
  });

  /** Repeats that cannot complete the request in place of the silent attempt. */
  const replacements: Readonly<Record<string, Script>> = { refuse, reset, fail, neverAnswer };
  for (const [name, script] of Object.entries(replacements)) {
    // The attempt was given up for a repeat, and the repeat failed.
    it(`complete calls when the repeat meets: ${name}`, async () => {
      await start([pauseCall, pauseCall]);
      replaceLaterScripts(script, pauseCall);
      expect(await call('/again/a')).to.include({ status: 200, body: ANSWER });
    });

    // The caller had received events, and the stream was broken off.
    it(`complete streams when the repeat meets: ${name}`, async () => {
      await start([pauseStream, pauseStream]);
      replaceLaterScripts(script, pauseStream);
      await checkStream();
    });
  }

  // Both attempts reach the caller, or neither.
  it('do not mix their answers with those of their replacements', async () => {
    await start([pauseStream, pauseStream]);
    replaceLaterScripts(({ socket }) => {
      socket.write(HEAD);
      setTimeout(() => socket.write(formatEvents(3)), PAUSE_MS / 2);
    }, pauseStream);
    await checkStream();
    const [replacement] = listArrivals().filter(isResumed);
    await waitUntil(() => replacement!.closed);
  });

  // A server that hangs for good must not hold the request up to its deadline.
  it('are replaced when they do not go on', async () => {
    const hang: Script = ({ socket }) => socket.write(HEAD + formatEvents(1, 2));
    await start([hang, hang]);
    replaceLaterScripts(({ socket }) => socket.write(HEAD + formatEvents(3)), hang);
    await checkStream();
    await waitUntil(() => listArrivals().every((arrival) => isResumed(arrival) || arrival.closed));
  });

  // A stream was generated at two servers at the same time, long after the first one had gone on.
  it('share a stream with their replacements only until they go on', async () => {
    await start([pauseStream, pauseStream]);
    replaceLaterScripts(
      ({ socket }) => socket.write(HEAD),
      ({ socket }) => {
        socket.write(HEAD + formatEvents(1, 2));
        const part = formatChunk(formatEvent(3).slice(0, PARTIAL_EVENT_BYTES));
        setTimeout(() => socket.write(part), PAUSE_MS);
      },
    );
    const reply = call('/resume/a');
    await waitUntil(() => listArrivals().length === 2);
    await waitFor(PAUSE_MS - RESUME_INACTIVITY_MS + MAX_OVERLAP_MS);
    expect(listArrivals().filter(({ closed }) => !closed)).to.have.length(1);
    await reply;
  });

  // Another server was tried only after one more silence.
  it('are replaced at once by a third server where the second refuses connections', async () => {
    await start([neverAnswer, answerAtOnce, answerAtOnce]);
    await deployment.backends[1]!.close();
    deployment.writeServer(2, { zone: 'z2' });
    await waitFor(CHANGE_DELAY_MS);
    const startedAt = performance.now();
    expect(await call('/again/a')).to.include({ status: 200, body: ANSWER });
    expect(performance.now() - startedAt).to.be.below(1.5 * CALL_INACTIVITY_MS);
  });

  // The third attempt of a route was never made while two servers hung.
  it('are replaced as often as the route allows', async () => {
    await start([answerAtOnce, answerAtOnce, answerAtOnce]);
    deployment.writeConfiguration({ version: 5, routes: [THREE_ATTEMPTS_ROUTE] });
    await waitUntil(async () => (await call('/three/a')).status === 200);
    const previous = listArrivals().length;
    setScript((arrival, index) => {
      if (listArrivals().length === previous + 3) answerAtOnce(arrival, index);
    });
    const headers = { 'x-masticbend-deadline-ms': '3500' };
    expect(await deployment.call('/three/a', { headers })).to.include({ status: 200 });
  });

  // The failure of the replacement was kept until the caller had given up.
  it('do not hold back the failure of their replacements beyond the deadline', async () => {
    await start([neverAnswer, neverAnswer]);
    replaceLaterScripts(fail, neverAnswer);
    const startedAt = performance.now();
    expect(await call('/again/a')).to.include({ status: 500 });
    expect(performance.now() - startedAt).to.be.below(DEADLINE_MS);
  });

  // The second attempt went on when its caller had left.
  it('are left by both attempts when the caller leaves', async () => {
    await start([neverAnswer, neverAnswer]);
    const leaving = new AbortController();
    const reply = deployment.call('/again/a', {
      headers: DEADLINE_HEADERS,
      signal: leaving.signal,
    });
    await waitUntil(() => listArrivals().length === 2);
    leaving.abort();
    await reply.catch(() => undefined);
    await waitUntil(() => listArrivals().every(({ closed }) => closed));
  });

  // Several silent requests ejected the server, and nothing was sent to it any more.
  it('get requests again as soon as they go on', async () => {
    await start([pauseCall]);
    const replies = await Promise.all(Array.from({ length: 4 }, callAgain));
    expect(replies.map(({ status }) => status)).to.deep.equal([200, 200, 200, 200]);
    setScript(({ socket }) => socket.write(formatAnswer(200, ANSWER)));
    expect(await call('/again/a')).to.include({ status: 200, body: ANSWER });
  });

  // While all servers paused, new requests were refused although one went on in time.
  it('hold new requests while all of them are silent, until one goes on', async () => {
    const early = await startSilent(pauseCall);
    let running = 0;
    let mostRunning = 0;
    setScript(({ socket }) => {
      running += 1;
      mostRunning = Math.max(mostRunning, running);
      setTimeout(() => {
        running -= 1;
        socket.write(formatAnswer(200, ANSWER));
      }, ANSWER_MS);
    });
    const waiting = Array.from({ length: WAITING_REQUESTS }, () => callPatient());
    const replies = await Promise.all([...early, ...waiting]);
    expect(replies.filter(({ status }) => status !== 200)).to.deep.equal([]);
    expect(mostRunning).to.be.at.most(deployment.backends.length * SERVER_CAPACITY);
  });

  // New requests waited for servers that hang until their callers had no time left.
  it('hold new requests no longer than their longest wait', async () => {
    await startSilent(neverAnswer);
    const startedAt = performance.now();
    const late = Array.from({ length: WAITING_REQUESTS }, () => callPatient('/patient/late'));
    const replies = await Promise.all(late);
    expect(performance.now() - startedAt).to.be.below(PATIENT_WAIT_MS + AT_ONCE_MS);
    expect(replies.filter(({ status }) => status !== 503)).to.deep.equal([]);
    expect(listArrivals().filter(({ line }) => line.includes('/patient/late'))).to.deep.equal([]);
  });

  // Requests must not wait for servers that have failed.
  it('hold no request once they break their connections and refuse others', async () => {
    const early = await startSilent(neverAnswer);
    const held = callPatient();
    await Promise.all(deployment.backends.map((backend) => backend.close()));
    const startedAt = performance.now();
    expect((await held).status).to.equal(503);
    expect((await callPatient()).status).to.equal(503);
    expect(performance.now() - startedAt).to.be.below(AT_ONCE_MS);
    await Promise.all(early);
  });

  /** Starts servers and requests to them, and waits until all servers are ejected as silent. */
  async function startSilent(script: Script): Promise<Promise<Reply>[]> {
    deployment = await startDeployment([script, script], { isLogged: true });
    deployment.writeConfiguration({ version: 5, routes: [PATIENT_ROUTE] });
    await waitUntil(() => {
      const { view } = deployment.gateway.dump() as { view: { version: number } };
      return view.version === 5;
    });
    const early = Array.from({ length: EARLY_REQUESTS }, () => callPatient());
    await waitUntil(() => countEjected() === deployment.backends.length);
    return early;
  }

  function countEjected(): number {
    const lines = deployment.logLines.map(parseLogLine);
    const ejected = lines.filter(({ event }) => event === 'server-ejected');
    return new Set(ejected.map(({ server }) => server)).size;
  }

  function callPatient(path = '/patient/early'): Promise<Reply> {
    return deployment.call(path, { headers: PATIENT_HEADERS });
  }

  // Beside a change of the configuration the lost requests were noticed.
  for (const path of ['/again/a', '/once/a', '/resume/a', '/stream/a']) {
    it(`complete ${path} beside changes of the configuration`, () => checkChanges(path));
  }

  async function checkChanges(path: string): Promise<void> {
    const script = path === '/resume/a' || path === '/stream/a' ? pauseStream : pauseCall;
    await start([script, script], { configurationMs: FAST_CONFIGURATION_MS });
    const reply = call(path);
    await waitUntil(() => listArrivals().length === 1);
    const sentAt = performance.now();
    await applyChanges(5, { limits: SMALL_LIMITS });
    await applyChanges(7, { limits: SMALL_LIMITS, tenants: [] });
    await applyChanges(9, { limits: SMALL_LIMITS, tenants: [], routes: [], services: [] });
    expect(performance.now() - sentAt).to.be.below(PAUSE_MS);
    expect(await reply).to.include({ status: 200 });
    expect(await reply).not.to.have.property('broken');
  }

  /** Writes a configuration and waits until it is in force. */
  async function applyChanges(version: number, changes: object): Promise<void> {
    deployment.writeConfiguration({ version, ...changes });
    await waitUntil(() => {
      const { view } = deployment.gateway.dump() as { view: { version: number } };
      return view.version === version;
    });
  }

  function listArrivals(): Arrival[] {
    return deployment.backends.flatMap(({ arrivals }) => arrivals);
  }

  async function checkStream(): Promise<void> {
    const reply = await call('/resume/a');
    expect(reply).to.deep.include({ status: 200, body: STREAM });
    expect(reply).not.to.have.property('broken');
  }

  /** Lets the first arrival at any server get one script, and all later ones another. */
  function replaceLaterScripts(later: Script, first: Script): void {
    const script: Script = (arrival, index) => {
      (listArrivals().length === 1 ? first : later)(arrival, index);
    };
    setScript(script);
  }

  function setScript(script: Script): void {
    deployment.backends.forEach((backend) => {
      backend.script = script;
    });
  }
});

function isResumed({ headers }: Arrival): boolean {
  return headers['last-event-id'] !== undefined;
}

/** Returns a server's script that pauses once in each answer; a resumed stream begins with it. */
function createPausingScript({ before, after }: PausedAnswer): Script {
  return ({ headers, socket }: Arrival) => {
    const start = headers['last-event-id'] === undefined ? before : HEAD;
    if (start) socket.write(start);
    setTimeout(() => socket.write(after), PAUSE_MS);
  };
}

/** Formats events up to the last one; without one, up to the end of the stream. */
function formatEvents(first: number, last?: number): string {
  const end = last ?? EVENTS;
  const ids = Array.from({ length: end - first + 1 }, (_, index) => first + index);
  const events = ids.map((id) => formatChunk(formatEvent(id))).join('');
  return last === undefined ? events + LAST_CHUNK : events;
}
