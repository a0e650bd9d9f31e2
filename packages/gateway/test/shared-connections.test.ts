/** Requests that share the connection of their caller: each ends as if it were alone. */
import { expect } from 'chai';
import { formatAnswer } from './backend.js';
import type { Script } from './backend.js';
import { createDocument, type Deployment, startDeployment, waitFor, waitUntil } from './harness.js';
import { parseLogLine } from './log-lines.js';
import { dialEntry, formatRequest, listStatuses, type RawCaller } from './raw-caller.js';

const ANSWER_MS = 600;
/** Time within which work for a caller that has left has to end. */
const LEFT_MS = 500;
/** Time after SIGTERM at which requests are sent: before the entry refuses new ones. */
const LATE_IN_STOP_MS = 2_200;
const SHORT_GRACE = { graceS: 5 };
/** Longer than what is left of that grace period. */
const LONG_TIMEOUT_MS = 8_000;
/** Time to an answer with which four slots are in use at one request each 50 ms. */
const STEADY_MS = 180;

const answerLate: Script = ({ socket }) => {
  setTimeout(() => socket.write(formatAnswer(200, 'done')), ANSWER_MS);
};

describe('requests that share the connection of their caller', () => {
  let deployment: Deployment;

  async function start(script: Script, bounds = {}, features = {}): Promise<RawCaller> {
    deployment = await startDeployment([script], { isLogged: true, bounds, features });
    return dialEntry(deployment.settings.callerAddress);
  }

  /** Queues answers behind one that does not come, so that the library stops reading. */
  async function startUnread(): Promise<RawCaller> {
    const caller = await start(({ socket }, index) => {
      if (index !== 0) socket.write(formatAnswer(200, 'x'.repeat(200_000)));
    });
    for (const number of [1, 2, 3, 4]) {
      caller.socket.write(formatRequest({ id: `a${number}` }));
      await waitFor(200);
    }
    return caller;
  }

  async function waitForArrivals(count: number): Promise<void> {
    await waitUntil(() => deployment.backends[0]!.arrivals.length === count);
  }

  function listEvents(request: string): (string | undefined)[] {
    const lines = deployment.logLines.map(parseLogLine);
    return lines.filter((line) => line.request === request).map(({ event }) => event);
  }

  afterEach(() => deployment.close());

  // The parser of one answer was resumed within that of another, and whole answers were lost.
  it('get large answers while their caller reads late', async () => {
    const caller = await start(({ socket }) => {
      socket.write(formatAnswer(200, 'x'.repeat(900_000)));
    });
    caller.socket.pause();
    for (let number = 0; number < 14; number += 1) {
      caller.socket.write(formatRequest({ id: `w${number}` }));
      await waitFor(50);
    }
    caller.socket.resume();
    await waitUntil(() => caller.end !== undefined || listStatuses(caller).length === 14);
    expect(listStatuses(caller)).to.deep.equal(Array(14).fill(200));
  });

  /** Lets a caller read its answers late, and sends the request of another one meanwhile. */
  async function checkLateReader(boundedReaders: boolean): Promise<void> {
    const script: Script = ({ socket }) => {
      setTimeout(() => socket.write(formatAnswer(200, 'x'.repeat(900_000))), STEADY_MS);
    };
    const late = await start(script, {}, { boundedReaders });
    late.socket.pause();
    for (let number = 0; number < 14; number += 1) {
      late.socket.write(formatRequest({ id: `w${number}` }));
      await waitFor(50);
    }
    const other = dialEntry(deployment.settings.callerAddress);
    other.socket.write(formatRequest({ id: 'b1' }));
    await waitUntil(() => listStatuses(other).length === 1);
    late.socket.resume();
    await waitUntil(() => late.end !== undefined || listStatuses(late).length === 14);
    expect(listStatuses(other)).to.deep.equal([200]);
    expect(listStatuses(late)).to.deep.equal(Array(14).fill(200));
  }

  // Its answers held all slots of the server, and the requests of all callers were refused.
  it('leave slots to others while their caller reads late', () => checkLateReader(true));

  it('leave slots to others without a bound on the readers', () => checkLateReader(false));

  // The end of the first body announced the close a second time, and the second answer was lost.
  it('get both answers when they arrive together at an entry that stops', async () => {
    const caller = await start(answerLate);
    const stopped = deployment.gateway.stop();
    caller.socket.write(formatRequest() + formatRequest({ id: 'a2' }));
    await waitUntil(() => caller.end !== undefined);
    await stopped;
    expect(listStatuses(caller)).to.deep.equal([200, 200]);
    expect(caller.text.match(/^connection: close/gim)).to.have.lengthOf(1);
  });

  // The library refused the second request and closed the connection; the third one was run.
  it('get no server to work behind a request without a host', async () => {
    const caller = await start(answerLate);
    caller.socket.write(formatRequest());
    await waitForArrivals(1);
    const hostless = 'GET /once/b HTTP/1.1\r\nX-Masticbend-Attempt-Id: a2\r\n\r\n';
    caller.socket.write(hostless + formatRequest({ id: 'a3' }));
    await waitUntil(() => caller.end !== undefined);
    expect(listStatuses(caller)).to.deep.equal([200, 400]);
    expect(deployment.backends[0]!.arrivals).to.have.lengthOf(1);
    expect(listEvents('a2')).to.deep.equal(['request-refused']);
  });

  // Only the request whose answer was due next was ended.
  it('end together when the caller resets the connection', async () => {
    const caller = await start(() => undefined);
    caller.socket.write(formatRequest() + formatRequest({ id: 'a2' }));
    await waitForArrivals(2);
    caller.socket.resetAndDestroy();
    await waitFor(LEFT_MS);
    expect(deployment.backends[0]!.arrivals.map(({ closed }) => closed)).to.deep.equal([
      true,
      true,
    ]);
    expect(listEvents('a2')).to.include('request-abandoned');
  });

  // The connection stayed open until its idle timeout.
  it('close with their caller when it leaves within the next head', async () => {
    const caller = await start(() => undefined);
    caller.socket.write(formatRequest());
    await waitForArrivals(1);
    caller.socket.end('POST /once/b HTTP/1.1\r\nHost');
    await waitFor(LEFT_MS);
    expect(caller.end).to.equal('regular');
  });

  // The connection was ended behind the first answer; the second was whole and waited for it.
  it('get all answers at the end of the grace period', async () => {
    const caller = await start(({ socket }, index) => {
      if (index === 1) socket.write(formatAnswer(200, 'second'));
    }, SHORT_GRACE);
    const { routes } = createDocument() as { routes: object[] };
    deployment.writeConfiguration({
      version: 4,
      routes: routes.map((route) => ({ ...route, timeout_ms: LONG_TIMEOUT_MS })),
    });
    await waitUntil(() => JSON.stringify(deployment.gateway.dump()).includes('"version":4'));
    const stopped = deployment.gateway.stop();
    await waitFor(LATE_IN_STOP_MS);
    caller.socket.write(formatRequest());
    await waitForArrivals(1);
    caller.socket.write(formatRequest({ id: 'a2' }));
    await stopped;
    await waitUntil(() => caller.end !== undefined);
    expect(listStatuses(caller)).to.deep.equal([502, 200]);
    expect(listEvents('a2')).not.to.include('answer-cut');
  });

  // The library answered with 417 itself, without a log line.
  it('are served with an expectation that is unknown', async () => {
    const caller = await start(answerLate);
    caller.socket.write(formatRequest({ headers: ['Expect: nothing', 'Content-Length: 0'] }));
    await waitUntil(() => listStatuses(caller).length > 0);
    expect(listStatuses(caller)).to.deep.equal([200]);
  });

  // HTTP/1.0 knows no interim answers (RFC 9110, section 10.1.1).
  it('get no interim answer in HTTP/1.0', async () => {
    const caller = await start(answerLate);
    const request = formatRequest({ headers: ['Expect: 100-continue', 'Content-Length: 0'] });
    caller.socket.write(request.replace('HTTP/1.1', 'HTTP/1.0'));
    await waitUntil(() => caller.end !== undefined);
    expect(listStatuses(caller)).to.deep.equal([200]);
  });

  // Reading pauses while much is queued behind the first answer, and the caller's end is not read.
  it('end when the caller leaves while its connection is not read', async () => {
    const caller = await startUnread();
    caller.socket.destroy();
    await waitFor(LEFT_MS);
    expect(deployment.backends[0]!.arrivals[0]!.closed).to.equal(true);
  });

  // The caller's end was not read either where it ended only its sending side.
  it('end when the caller ends its sending side while its connection is not read', async () => {
    const caller = await startUnread();
    caller.socket.end();
    await waitFor(LEFT_MS);
    expect(deployment.backends[0]!.arrivals[0]!.closed).to.equal(true);
  });

  // A tunnel takes the connection from the library, which had stopped its reading.
  it('end when the caller asks for a tunnel and leaves while its connection is not read', async () => {
    const caller = await startUnread();
    caller.socket.end(formatRequest({ method: 'CONNECT', target: 'a:1', id: 'a5' }));
    await waitFor(LEFT_MS);
    expect(deployment.backends[0]!.arrivals[0]!.closed).to.equal(true);
  });
});
