/**
 * Callers that end their sending side after a whole request. That looks like the close of the
 * connection, so the request ends; a caller that still reads learns what became of it.
 */
import { once } from 'node:events';
import { expect } from 'chai';
import {
  formatAnswer,
  formatChunk,
  formatEvent,
  formatStreamHead,
  type Script,
} from './backend.js';
import { startDeployment, waitUntil, type Deployment } from './harness.js';
import { dialEntry, formatRequest, listStatuses, type RawCaller } from './raw-caller.js';

/** Ends of a connection, as their moment within the reads of the entry varies. */
const ROUNDS = 10;

describe('callers that end their sending side', () => {
  let deployment: Deployment;

  async function start(script: Script, slots = 4): Promise<RawCaller> {
    deployment = await startDeployment([script]);
    deployment.writeServer(0, { slots });
    return dialEntry(deployment.settings.callerAddress);
  }

  function countArrivals(): number {
    return deployment.backends[0]!.arrivals.length;
  }

  afterEach(() => deployment.close());

  // The connection was closed without an answer.
  it('get an unknown outcome of a request that was sent to a server', async () => {
    const caller = await start(() => undefined);
    caller.socket.write(formatRequest());
    await waitUntil(() => countArrivals() === 1);
    caller.socket.end();
    await waitUntil(() => caller.end !== undefined);
    expect(listStatuses(caller)).to.deep.equal([502]);
    expect(caller.text).to.include('outcome-unknown');
    expect(caller.end).to.equal('regular');
    await waitUntil(() => deployment.backends[0]!.arrivals[0]!.closed);
  });

  // The connection was closed without an answer.
  it('get a refusal of a request that was not sent', async () => {
    const caller = await start(() => undefined, 1);
    const holder = dialEntry(deployment.settings.callerAddress);
    holder.socket.write(formatRequest());
    await waitUntil(() => countArrivals() === 1);
    caller.socket.end(formatRequest({ id: 'a2' }));
    await waitUntil(() => caller.end !== undefined);
    expect(listStatuses(caller)).to.deep.equal([503]);
    expect(countArrivals()).to.equal(1);
    holder.socket.destroy();
  });

  // The end was handled as an error of the parser and as the end of the connection: a request that
  // was not accepted yet got two answers, which ended the process (review/6).
  it('within a request behind one that was not accepted yet leave the entry alive', async () => {
    await start(({ socket }) => socket.write(formatAnswer(200, 'done')));
    const unfinished = formatRequest({ id: 'a3' }).slice(0, 60);
    for (const whole of [1, 2]) {
      for (let round = 0; round < ROUNDS; round += 1) {
        const caller = dialEntry(deployment.settings.callerAddress);
        await once(caller.socket, 'connect');
        caller.socket.end(formatRequest().repeat(whole) + unfinished);
        await waitUntil(() => caller.end !== undefined);
      }
    }
    expect((await deployment.call('/once/a')).status).to.equal(200);
  });

  // Requests behind the first one were closed without an answer as well.
  it('get an answer to each of their requests', async () => {
    const caller = await start(({ socket }, index) => {
      if (index === 0) socket.write(formatAnswer(200, 'done'));
    });
    caller.socket.write(formatRequest());
    await waitUntil(() => caller.text.includes('done'));
    caller.socket.write(formatRequest({ id: 'a2' }) + formatRequest({ id: 'a3' }));
    await waitUntil(() => countArrivals() === 3);
    caller.socket.end();
    await waitUntil(() => caller.end !== undefined);
    expect(listStatuses(caller)).to.deep.equal([200, 502, 502]);
  });

  // A stream that has begun is broken off and does not look complete.
  it('get no end of a stream that has begun', async () => {
    const caller = await start(({ socket }) => {
      socket.write(`${formatStreamHead()}${formatChunk(formatEvent(1))}`);
    });
    caller.socket.write(formatRequest({ target: '/stream/a' }));
    await waitUntil(() => caller.text.includes('event 1'));
    caller.socket.end();
    await waitUntil(() => caller.end !== undefined);
    expect(caller.text.endsWith(`${formatEvent(1)}\r\n`)).to.equal(true);
    await waitUntil(() => deployment.backends[0]!.arrivals[0]!.closed);
  });
});
