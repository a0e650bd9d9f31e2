/** Requests that an entry short of processor time reads long after they were sent. */
import { once } from 'node:events';
import { expect } from 'chai';
import { request as send } from 'undici';
import { createSystemClock } from '@masticbend/kernel/clock';
import { createSilentLogger, LogEvent } from '@masticbend/kernel/log';
import { DEFAULT_CALLER_LIMITS } from '@masticbend/settings/routing';
import { reservePorts } from '@masticbend/standins/ports';
import { formatAnswer } from './backend.js';
import { createIngress, type Ingress } from '../src/ingress.js';
import {
  createDefaultBounds,
  startDeployment,
  waitFor,
  waitUntil,
  type Deployment,
} from './harness.js';
import { dialEntry, formatRequest, listStatuses, type RawCaller } from './raw-caller.js';

/** Time for which a process handles no event. */
const BUSY_MS = 100;
/** Time in which a request that was passed on reaches its server. */
const SETTLING_MS = 100;
const CALLERS = 20;
/** Processor time of each request of a burst. */
const WORK_MS = 20;
const BURST_CALLERS = 40;
const LARGE_BURST_CALLERS = 60;
/** Wait from which an entry is behind. */
const BEHIND_MS = 300;
/** Time limit of the route of short requests, and the greatest error of a measured wait. */
const SHORT_TIMEOUT_MS = 300;
const MAX_WAIT_ERROR_MS = 300;

/** Keeps the process from handling events. */
function runFor(durationMs: number): void {
  const end = performance.now() + durationMs;
  while (performance.now() < end);
}

describe('an entry that reads requests late', () => {
  let deployment: Deployment;

  function countArrivals(): number {
    return deployment.backends[0]!.arrivals.length;
  }

  async function start(): Promise<void> {
    deployment = await startDeployment([({ socket }) => socket.write(formatAnswer(200, 'done'))]);
    // An open connection to the server carries the next request at once.
    await deployment.call('/once/a');
    expect(countArrivals()).to.equal(1);
  }

  afterEach(() => deployment.close());

  // A request was sent to a server although the close behind it had arrived with it.
  it('does not pass on what the caller of a kept connection has left', async () => {
    await start();
    const caller = dialEntry(deployment.settings.callerAddress);
    caller.socket.write(formatRequest({ id: 'a2' }));
    await waitUntil(() => listStatuses(caller).length === 1);
    caller.socket.write(formatRequest({ id: 'a3' }));
    caller.socket.destroy();
    runFor(BUSY_MS);
    await waitFor(SETTLING_MS);
    expect(countArrivals()).to.equal(2);
  });

  // The same with connections that wait to be accepted, of which one is taken in each turn.
  it('does not pass on what callers have left before they were accepted', async () => {
    await start();
    const callers = Array.from({ length: CALLERS }, () =>
      dialEntry(deployment.settings.callerAddress),
    );
    await Promise.all(callers.map(({ socket }) => once(socket, 'connect')));
    callers.forEach(({ socket }, index) => {
      socket.write(formatRequest({ id: `b${index}` }));
      socket.destroy();
    });
    runFor(BUSY_MS);
    await waitFor(SETTLING_MS);
    expect(countArrivals()).to.equal(1);
  });
});

describe('an entry that cannot serve all callers in time', () => {
  let deployment: Deployment;
  let callers: RawCaller[];
  /** Time from the sending of the requests to the arrival of each one at the server. */
  let arrivals: number[];

  /** Sends requests together to a server each of whose answers keeps the process busy. */
  async function callTogether(count: number, target: string): Promise<void> {
    arrivals = [];
    let sentAt = 0;
    deployment = await startDeployment([
      ({ socket }) => {
        arrivals.push(performance.now() - sentAt);
        runFor(WORK_MS);
        socket.write(formatAnswer(200, 'done'));
      },
    ]);
    deployment.writeServer(0, { slots: count });
    sentAt = performance.now();
    callers = Array.from({ length: count }, (_each, index) => {
      const caller = dialEntry(deployment.settings.callerAddress);
      caller.socket.write(formatRequest({ id: `d${index}`, target }));
      return caller;
    });
  }

  afterEach(async () => {
    for (const { socket } of callers) socket.destroy();
    await deployment.close();
  });

  // Requests past the time limit of their route were sent to servers.
  it('refuses requests whose time has passed before they were read', async () => {
    await callTogether(BURST_CALLERS, '/short/a');
    await waitUntil(() => callers.every((caller) => listStatuses(caller).length === 1));
    expect(Math.max(...arrivals)).to.be.below(SHORT_TIMEOUT_MS + MAX_WAIT_ERROR_MS);
    const statuses = new Set(callers.flatMap(listStatuses));
    expect([...statuses].sort()).to.deep.equal([200, 503]);
  });

  // The load balancer sent it further callers, who waited as well.
  it('is not ready until it has caught up', async () => {
    await callTogether(BURST_CALLERS, '/once/a');
    const stopSlowing = startSlowTurns();
    const readiness: number[] = [];
    await waitUntil(async () => {
      readiness.push(await readReadiness());
      return callers.every((caller) => listStatuses(caller).length === 1);
    });
    stopSlowing();
    expect(readiness).to.include(503);
    await waitUntil(async () => (await readReadiness()) === 200);
  });

  /** Keeps the process busy in each turn of its event loop. */
  function startSlowTurns(): () => void {
    let isSlow = true;
    const runTurn = () => {
      runFor(WORK_MS);
      if (isSlow) setImmediate(runTurn);
    };
    setImmediate(runTurn);
    return () => {
      isSlow = false;
    };
  }

  async function readReadiness(): Promise<number> {
    const { readinessAddress } = deployment.settings;
    const { statusCode, body } = await send(`http://${readinessAddress}/v1/readyz`);
    await body.dump();
    return statusCode;
  }
});

describe('an entry with connections that wait to be accepted', () => {
  const clock = createSystemClock();
  let ingress: Ingress;
  let callers: RawCaller[];
  let events: LogEvent[];
  let arrivals: number[];
  let maxWaitMs: number;

  /** Starts an entry that works on each request for `workMs`. */
  async function start(workMs: number): Promise<string> {
    const [port] = await reservePorts(1);
    const address = `127.0.0.1:${port}`;
    events = [];
    arrivals = [];
    maxWaitMs = 0;
    ingress = createIngress({
      address,
      clock,
      bounds: createDefaultBounds(clock),
      log: {
        ...createSilentLogger(),
        info: (event) => events.push(event),
        warn: (event) => events.push(event),
      },
      requests: {
        accept({ arrivedAt }, createDelivery) {
          runFor(workMs);
          arrivals.push(arrivedAt);
          maxWaitMs = Math.max(maxWaitMs, ingress.getAcceptWaitMs());
          createDelivery({
            abandon: () => undefined,
            refuseUnsent: () => undefined,
            wasSent: () => false,
          }).answer(200, {}, Buffer.from('done'));
        },
      },
      getLimits: () => DEFAULT_CALLER_LIMITS,
    });
    await ingress.start();
    return address;
  }

  /** Opens a connection with a request for each of a number of callers, together. */
  async function callTogether(address: string, count: number): Promise<void> {
    callers = Array.from({ length: count }, (_each, index) => {
      const caller = dialEntry(address);
      caller.socket.write(formatRequest({ id: `c${index}` }));
      return caller;
    });
    await waitUntil(() => callers.every((caller) => listStatuses(caller).length === 1));
  }

  afterEach(async () => {
    for (const { socket } of callers) socket.destroy();
    await ingress.stop();
  });

  // Seconds of waiting did not count: requests past their time limit were placed as new ones.
  it('counts the wait of a connection as time of its request', async () => {
    const address = await start(WORK_MS);
    const sentAt = clock.now();
    await callTogether(address, BURST_CALLERS);
    // All were sent together, and the last one was read after the work for all others.
    expect(Math.max(...arrivals) - sentAt).to.be.below((BURST_CALLERS * WORK_MS) / 2);
  });

  // Each caller waited for the work for all before it, also when their time was over.
  it('refuses the connections that wait when it is behind, and serves later ones', async () => {
    const address = await start(2 * WORK_MS);
    const sentAt = clock.now();
    await callTogether(address, LARGE_BURST_CALLERS);
    expect(clock.now() - sentAt).to.be.below(LARGE_BURST_CALLERS * WORK_MS * 1.5);
    const refused = callers.filter((caller) => listStatuses(caller)[0] === 503);
    expect(refused.length + arrivals.length).to.equal(LARGE_BURST_CALLERS);
    expect(refused.length).to.be.above(0);
    await waitUntil(() => refused.every(({ end }) => end === 'regular'));
    for (const { text } of refused) expect(text).to.match(/^retry-after: 0\.\d+$/im);
    await callTogether(address, 1);
    expect(listStatuses(callers[0]!)).to.deep.equal([200]);
  });

  // Nothing showed that an entry was seconds behind.
  it('reports that it is behind and that it has caught up', async () => {
    const address = await start(WORK_MS);
    await callTogether(address, BURST_CALLERS);
    expect(maxWaitMs).to.be.above(BEHIND_MS);
    expect(ingress.getAcceptWaitMs()).to.equal(0);
    expect(events).to.deep.equal([LogEvent.EntryBehind, LogEvent.EntryCaughtUp]);
  });

  it('reports nothing while it keeps up', async () => {
    const address = await start(0);
    await callTogether(address, BURST_CALLERS);
    expect(events).to.deep.equal([]);
  });
});
