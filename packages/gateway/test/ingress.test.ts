/** The HTTP server of an entry alone, with request handling that answers at once. */
import { once } from 'node:events';
import { expect } from 'chai';
import { createSystemClock } from '@masticbend/kernel/clock';
import { createSilentLogger, type LogFields } from '@masticbend/kernel/log';
import { ErrorKind } from '@masticbend/protocol/error';
import { DEFAULT_CALLER_LIMITS } from '@masticbend/settings/routing';
import { reservePorts } from '@masticbend/standins/ports';
import type { Delivery } from '../src/delivery.js';
import { createIngress, type Ingress } from '../src/ingress.js';
import { createDefaultBounds, waitFor, waitUntil } from './harness.js';
import { dialEntry, formatRequest, listStatuses } from './raw-caller.js';

/** Larger than the buffers of both sides of a connection, so that a part stays in the entry. */
const ANSWER = Buffer.alloc(30_000_000, 'a');
const READING_MS = 300;
/** Idle timeout, and a time for which a busy process handles no event: beyond any margin on it. */
const IDLE_MS = 100;
const BUSY_MS = 3_000;
/** Connections opened at once: more than wait by default until they are accepted. */
const BURST_CONNECTIONS = 600;
/** Less than the second after which the system repeats an attempt that was dropped. */
const BURST_MS = 900;

describe('the HTTP server of an entry', () => {
  let ingress: Ingress;
  let lines: LogFields[];

  async function start(answer: (delivery: Delivery) => void): Promise<string> {
    const [port] = await reservePorts(1);
    const address = `127.0.0.1:${port}`;
    lines = [];
    const writeLine = (event: string, fields: LogFields = {}) => lines.push({ event, ...fields });
    const clock = createSystemClock();
    ingress = createIngress({
      address,
      clock,
      bounds: createDefaultBounds(clock),
      log: { ...createSilentLogger(), info: writeLine, warn: writeLine },
      requests: {
        accept(_incoming, wrap) {
          const delivery = wrap({
            abandon: () => delivery.fail({ kind: ErrorKind.OutcomeUnknown }),
            refuseUnsent: () => undefined,
            wasSent: () => true,
          });
          answer(delivery);
        },
      },
      getLimits: () => ({ ...DEFAULT_CALLER_LIMITS, idleMs: IDLE_MS }),
    });
    await ingress.start();
    return address;
  }

  afterEach(() => ingress.stop());

  // The connection was closed as idle while a part of the answer had not been sent.
  it('sends ended answers whole before it closes their connections', async () => {
    const address = await start((delivery) => delivery.answer(200, {}, ANSWER));
    const caller = dialEntry(address);
    caller.socket.write(formatRequest());
    await waitUntil(() => caller.text.length > 0);
    caller.socket.pause();
    await waitFor(READING_MS);
    ingress.beginStop();
    ingress.refuseNew(Infinity);
    ingress.closeIdle();
    await waitFor(READING_MS);
    caller.socket.resume();
    await waitUntil(() => caller.text.length > ANSWER.length);
  });

  // The connection was reset with the request unread.
  it('answers a request that arrives before the idle timeout while the process is busy', async () => {
    const address = await start((delivery) => delivery.answer(200, {}, Buffer.from('done')));
    const caller = dialEntry(address);
    caller.socket.write(formatRequest());
    await waitUntil(() => caller.text.includes('done'));
    caller.socket.write(formatRequest());
    const busyUntil = performance.now() + BUSY_MS;
    while (performance.now() < busyUntil);
    await waitUntil(() => listStatuses(caller).length === 2 || caller.end !== undefined);
    expect(listStatuses(caller)).to.deep.equal([200, 200]);
  });

  // An answer that the entry cut off looked like one whose caller had left.
  // The system dropped what exceeded the backlog, and those callers waited for a second.
  it('takes all connections of a burst', async () => {
    const address = await start((delivery) => delivery.answer(200, {}, Buffer.from('done')));
    const startedAt = performance.now();
    const callers = Array.from({ length: BURST_CONNECTIONS }, () => dialEntry(address));
    await Promise.all(callers.map(({ socket }) => once(socket, 'connect')));
    expect(performance.now() - startedAt).to.be.below(BURST_MS);
    for (const { socket } of callers) socket.destroy();
  });

  it('logs an answer that it cut off at its stop', async () => {
    const address = await start((delivery) => {
      delivery.begin(200, {});
      delivery.write(Buffer.from('begun'));
    });
    const caller = dialEntry(address);
    caller.socket.write(formatRequest());
    await waitUntil(() => caller.text.length > 0);
    await ingress.stop();
    await waitUntil(() => caller.end !== undefined);
    expect(lines).to.deep.equal([
      { event: 'answer-cut', request: 'a1', by: 'entry', begun: true, ended: false, read: true },
    ]);
  });

  it('logs an ended answer that its caller did not take', async () => {
    const address = await start((delivery) => delivery.answer(200, {}, ANSWER));
    const caller = dialEntry(address);
    caller.socket.write(formatRequest());
    await waitUntil(() => caller.text.length > 0);
    caller.socket.resetAndDestroy();
    await waitUntil(() => lines.length > 0);
    expect(lines).to.deep.equal([
      { event: 'answer-cut', request: 'a1', by: 'caller', begun: true, ended: true, read: true },
    ]);
  });

  it('logs no cut of an answer whose caller left before its end', async () => {
    const address = await start((delivery) => {
      delivery.begin(200, {});
      delivery.write(Buffer.from('begun'));
    });
    const caller = dialEntry(address);
    caller.socket.write(formatRequest());
    await waitUntil(() => caller.text.length > 0);
    caller.socket.destroy();
    await waitUntil(() => ingress.countOpen() === 0);
    expect(lines).to.deep.equal([]);
  });

  // The refusal had no id, so that the request had no line at all.
  it('logs the id of a request that is refused by its head', async () => {
    const address = await start(() => undefined);
    const caller = dialEntry(address);
    caller.socket.write(formatRequest({ headers: ['Content-Length: 99999999999'] }));
    await waitUntil(() => listStatuses(caller).length > 0);
    expect(listStatuses(caller)).to.deep.equal([413]);
    expect(lines).to.deep.equal([
      { event: 'request-refused', request: 'a1', error: 'body-too-large', path: '/once/a' },
    ]);
  });

  it('logs the refusal of bytes that are no request', async () => {
    const address = await start(() => undefined);
    const caller = dialEntry(address);
    caller.socket.write('NOT HTTP\r\n\r\n');
    await waitUntil(() => listStatuses(caller).length > 0);
    expect(lines).to.deep.equal([
      { event: 'caller-refused', status: 400, code: 'HPE_INVALID_METHOD', open: 0 },
    ]);
  });

  // A request that crossed the close of its connection had no line at all.
  it('logs the bytes that arrive after it has closed a connection', async () => {
    const address = await start((delivery) => delivery.answer(200, {}, Buffer.from('done')));
    const caller = dialEntry(address);
    caller.socket.write(formatRequest());
    await waitUntil(() => caller.text.includes('done'));
    caller.socket.removeAllListeners('end');
    ingress.closeIdle();
    await once(caller.socket, 'end');
    const late = formatRequest({ id: 'a2' });
    caller.socket.write(late);
    await waitUntil(() => lines.length > 0);
    expect(lines).to.deep.equal([
      { event: 'caller-refused', reason: 'closing', bytes: late.length },
    ]);
  });

  // A caller that named several expectations waited for the interim answer.
  it('sends an interim answer where it is one of several expectations', async () => {
    const address = await start((delivery) => delivery.answer(200, {}, Buffer.from('done')));
    const caller = dialEntry(address);
    caller.socket.write(
      formatRequest({ headers: ['Content-Length: 2', 'Expect: 100-continue, x'] }),
    );
    await waitUntil(() => listStatuses(caller).length === 1);
    caller.socket.write('ab');
    await waitUntil(() => caller.text.includes('done'));
    expect(listStatuses(caller)).to.deep.equal([100, 200]);
  });
});
