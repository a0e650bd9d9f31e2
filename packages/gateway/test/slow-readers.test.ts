/** Callers that read slowly or not at all: what is held for them is bounded, and others served. */
import { expect } from 'chai';
import { createSystemClock } from '@masticbend/kernel/clock';
import { createSilentLogger, type LogFields, type Logger } from '@masticbend/kernel/log';
import { reservePorts } from '@masticbend/standins/ports';
import { ErrorKind } from '@masticbend/protocol/error';
import {
  createConnectionBounds,
  type BoundedConnection,
  type ConnectionBounds,
} from '@masticbend/kernel/connection-bounds';
import { createHeldBytes, type HeldBounds } from '@masticbend/scheduling/held-bytes';
import { DEFAULT_CALLER_LIMITS } from '@masticbend/settings/routing';
import type { Delivery } from '../src/delivery.js';
import { createIngress, type Ingress } from '../src/ingress.js';
import { waitFor, waitUntil } from './harness.js';
import { dialEntry, formatRequest, listStatuses, type RawCaller } from './raw-caller.js';

const MIB = 1024 * 1024;
/** More than the buffers of the system take on both sides of a connection. */
const ANSWER = Buffer.alloc(12 * MIB, 'x');
const WRITE_MS = 400;
const BOUNDS: HeldBounds = {
  connectionBytes: 512 * 1024,
  maxConnectionBytes: 16 * MIB,
  processBytes: 64 * MIB,
  writeMs: 5_000,
};
/** Bytes and interval of a reader that is slow and not idle. */
const SLOW_BYTES = 256 * 1024;
const SLOW_INTERVAL_MS = 20;

/** Reads a little at an interval. */
function readSlowly({ socket }: RawCaller): () => void {
  socket.pause();
  const timer = setInterval(() => socket.read(SLOW_BYTES), SLOW_INTERVAL_MS);
  return () => {
    clearInterval(timer);
    socket.resume();
  };
}

describe('callers that read slowly', () => {
  let ingress: Ingress;
  let bounds: ConnectionBounds;
  let cuts: LogFields[];
  let address: string;
  let callers: RawCaller[];

  async function start(
    heldBounds: Partial<HeldBounds>,
    answer: (delivery: Delivery) => void,
  ): Promise<void> {
    const [port] = await reservePorts(1);
    address = `127.0.0.1:${port}`;
    cuts = [];
    callers = [];
    const clock = createSystemClock();
    const log: Logger = {
      ...createSilentLogger(),
      warn(event, fields = {}) {
        if (event === 'connection-cut') cuts.push(fields);
      },
    };
    const held = createHeldBytes<BoundedConnection>({ ...BOUNDS, ...heldBounds });
    bounds = createConnectionBounds({ clock, log, held });
    ingress = createIngress({
      address,
      clock,
      log,
      bounds,
      requests: {
        accept(_incoming, wrap) {
          const delivery = wrap({
            abandon: () => delivery.fail({ kind: ErrorKind.OutcomeUnknown }),
            refuseUnsent: () => delivery.fail({ kind: ErrorKind.Overloaded }),
            wasSent: () => false,
          });
          answer(delivery);
        },
      },
      getLimits: () => DEFAULT_CALLER_LIMITS,
    });
    await ingress.start();
  }

  function send(request = formatRequest()): RawCaller {
    const caller = dialEntry(address);
    callers.push(caller);
    caller.socket.write(request);
    return caller;
  }

  afterEach(() => {
    for (const { socket } of callers) socket.destroy();
    return ingress.stop();
  });

  // An answer that nobody reads kept its memory until the deadline of its request.
  it('lose the connection when they take nothing within the time limit', async () => {
    await start({ writeMs: WRITE_MS }, (delivery) => delivery.answer(200, {}, ANSWER));
    const idle = send();
    idle.socket.pause();
    const slow = send();
    const readOn = readSlowly(slow);
    await waitUntil(() => cuts.length > 0);
    expect(cuts[0]).to.include({ reason: 'write-timeout' });
    expect(cuts[0]!.ageMs).to.be.within(WRITE_MS, WRITE_MS * 3);
    await waitFor(WRITE_MS);
    readOn();
    await waitUntil(() => slow.text.length > ANSWER.length);
    expect(cuts).to.have.lengthOf(1);
  });

  it('are dropped at the process bound, the slowest first', async () => {
    await start({ processBytes: 28 * MIB }, (delivery) => delivery.answer(200, {}, ANSWER));
    const idle = send();
    idle.socket.pause();
    await waitFor(WRITE_MS);
    const quick = [send(), send()];
    await waitUntil(() => quick.every(({ text }) => text.length > ANSWER.length));
    expect(cuts.map(({ reason }) => reason)).to.deep.equal(['process-bound']);
    await waitUntil(() => bounds.countBytes() === 0);
  });

  // Whole bodies are held until their requests end, whoever is to blame for that.
  it('are refused as not run where bodies that were not sent exceed the process bound', async () => {
    const open: Delivery[] = [];
    await start({ processBytes: 2 * MIB }, (delivery) => open.push(delivery));
    for (let count = 0; count < 3; count += 1) send(formatRequest({ body: 'x'.repeat(MIB) }));
    await waitUntil(() => callers.some((caller) => listStatuses(caller).length > 0));
    await waitUntil(() => bounds.countBytes() <= 2 * MIB);
    expect(callers.flatMap(listStatuses).every((status) => status === 503)).to.equal(true);
    expect(callers.some((caller) => listStatuses(caller).length === 0)).to.equal(true);
  });

  // All requests that arrive together were run, each with an answer to hold.
  it('get no more requests read than their connection may hold', async () => {
    let accepted = 0;
    await start({ connectionBytes: MIB }, () => {
      accepted += 1;
    });
    const caller = send();
    for (let number = 0; number < 8; number += 1) {
      caller.socket.write(formatRequest({ body: 'x'.repeat(MIB / 2) }));
      await waitFor(SLOW_INTERVAL_MS);
    }
    expect(accepted).to.be.within(2, 4);
  });

  // Each answer of more than 16 KiB kept its server's slot until its caller had read it.
  it('let their servers go on up to the bound of their connection, and no further', async () => {
    await start({ connectionBytes: MIB }, (delivery) => {
      const write = (): void => {
        while (delivery.write(Buffer.alloc(SLOW_BYTES)));
        delivery.onDrain(write);
      };
      delivery.begin(200, {});
      write();
    });
    send().socket.pause();
    // The bytes of the request count before those of its answer.
    await waitUntil(() => bounds.countBytes() >= SLOW_BYTES);
    expect(bounds.countBytes()).to.be.within(MIB / 2, MIB + SLOW_BYTES);
  });
});
