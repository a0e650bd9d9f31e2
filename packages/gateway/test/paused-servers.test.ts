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
import { startDeployment, waitFor, type Deployment, type Reply } from './harness.js';

/** Length of a pause: longer than an entry waits for data before it looks for another server. */
const PAUSE_MS = 1_300;
/** Deadline of the requests, which leaves time for one pause. */
const DEADLINE_HEADERS = { 'x-masticbend-deadline-ms': '1900' };
/** Time from the start of a pause to a change of the configuration. */
const CHANGE_DELAY_MS = 400;
const ANSWER = 'done';
const EVENTS = 4;
const STREAM = Array.from({ length: EVENTS }, (_, index) => formatEvent(index + 1)).join('');
/** Place inside an event at which an answer stops. */
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
    before: HEAD.slice(0, PARTIAL_EVENT_BYTES),
    after: HEAD.slice(PARTIAL_EVENT_BYTES) + formatEvents(1),
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

  afterEach(() => deployment.close());

  // The attempt at the only server was given up, and the request failed.
  for (const [place, answer] of Object.entries(ANSWERS)) {
    it(`end their streams after a pause ${place}`, async () => {
      await start([createPausingScript(answer)]);
      await expectStream();
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
    for (const backend of deployment.backends) backend.script = pauseStream;
    await expectStream();
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
      await expectStream();
    });
  }

  // Several silent requests ejected the server, and nothing was sent to it any more.
  it('get requests again as soon as they go on', async () => {
    await start([pauseCall]);
    const replies = await Promise.all(Array.from({ length: 4 }, () => call('/again/a')));
    expect(replies.map(({ status }) => status)).to.deep.equal([200, 200, 200, 200]);
    deployment.backends[0]!.script = ({ socket }) => socket.write(formatAnswer(200, ANSWER));
    expect(await call('/again/a')).to.include({ status: 200, body: ANSWER });
  });

  // Beside a change of the configuration the lost requests were noticed.
  for (const path of ['/again/a', '/once/a', '/resume/a', '/stream/a']) {
    it(`complete ${path} beside changes of the configuration`, async () => {
      const isStream = path === '/resume/a' || path === '/stream/a';
      const script = isStream ? pauseStream : pauseCall;
      await start([script, script]);
      const reply = call(path);
      await waitFor(CHANGE_DELAY_MS);
      deployment.writeConfiguration({
        version: 5,
        limits: {
          max_header_bytes: 8_192,
          max_body_bytes: 50_000,
          header_timeout_ms: 100,
          idle_timeout_ms: 100,
        },
      });
      await waitFor(CHANGE_DELAY_MS);
      deployment.writeConfiguration({ version: 9, routes: [] });
      expect(await reply).to.include({ status: 200 });
      expect(await reply).not.to.have.property('broken');
    });
  }

  async function expectStream(): Promise<void> {
    const reply = await call('/resume/a');
    expect(reply).to.deep.include({ status: 200, body: STREAM });
    expect(reply).not.to.have.property('broken');
  }

  /** Lets the first arrival at any server get one script, and all later ones another. */
  function replaceLaterScripts(later: Script, first: Script): void {
    let arrivals = 0;
    for (const backend of deployment.backends) {
      backend.script = (arrival, index) => {
        arrivals += 1;
        (arrivals === 1 ? first : later)(arrival, index);
      };
    }
  }
});

/** Returns a server's script that pauses once in each answer. */
function createPausingScript({ before, after }: PausedAnswer): Script {
  return ({ socket }: Arrival) => {
    if (before) socket.write(before);
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
