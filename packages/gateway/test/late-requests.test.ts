/**
 * Requests that come or are sent late in the grace period of an entry, in calm: each kind of route
 * at each moment, on new, kept and pipelined connections. The entry is a process of its own, and is
 * killed at the end of the period. What was passed on to a server gets its whole answer.
 */
import { expect } from 'chai';
import {
  formatAnswer,
  formatChunk,
  formatEvent,
  formatStreamHead,
  LAST_CHUNK,
  type Arrival,
} from './backend.js';
import { startEntryProcess, type EntryProcess } from './entry-process.js';
import { HOST, waitFor, waitUntil } from './harness.js';
import { dialEntry, formatRequest, listStatuses, type RawCaller } from './raw-caller.js';

const GRACE_MS = 5_000;
/** Moments after SIGTERM at which requests are sent. */
const STEP_MS = 200;
const MOMENTS = Array.from({ length: GRACE_MS / STEP_MS }, (_, index) => index * STEP_MS);
const ROUTES = ['once', 'again', 'stream', 'resume'];
const WORK_MS = 300;
const EVENTS = 3;
const SERVERS = 20;
const STATUS_NOT_RUN = 503;

/** How a request is sent. */
const Connection = { New: 'new', Kept: 'kept', Pipelined: 'pipelined', Slow: 'slow' } as const;
type Connection = (typeof Connection)[keyof typeof Connection];

interface Call {
  id: string;
  caller: RawCaller;
  /** Answers to earlier requests on its connection. */
  earlier: number;
}

describe('requests late in the grace period', () => {
  let entry: EntryProcess;
  /** Time of each request at a server, by its id. */
  let workMs = WORK_MS;
  const arrived = new Set<string>();

  function answer({ line, headers, socket }: Arrival): void {
    arrived.add(headers['x-masticbend-attempt-id']!);
    if (/ \/(stream|resume)\//.test(line)) {
      socket.write(formatStreamHead());
      for (let event = 1; event <= EVENTS; event += 1) {
        const end = event === EVENTS ? LAST_CHUNK : '';
        const text = formatChunk(formatEvent(event)) + end;
        setTimeout(() => socket.write(text), (event * workMs) / EVENTS);
      }
      return;
    }
    setTimeout(() => socket.write(formatAnswer(200, 'done')), workMs);
  }

  async function start(servers: number, graceMs: number): Promise<void> {
    arrived.clear();
    workMs = WORK_MS;
    const route = { host: HOST, service: 'plain', anonymous: true, timeout_ms: 30_000 };
    const objectives = { slo_ms: 8_000, gap_slo_ms: 8_000 };
    const plain = { ...route, ...objectives, max_attempts: 1 };
    const streaming = { ...plain, route_kind: 'streaming' };
    entry = await startEntryProcess(new Array(servers).fill(answer), {
      bounds: { graceS: graceMs / 1_000 },
      configuration: {
        routes: [
          { ...plain, name: 'once', prefix: '/once/', route_kind: 'non_idempotent' },
          { ...plain, name: 'again', prefix: '/again/', route_kind: 'idempotent', max_attempts: 2 },
          { ...streaming, name: 'stream', prefix: '/stream/' },
          { ...streaming, name: 'resume', prefix: '/resume/', resumable: true, max_attempts: 2 },
        ],
      },
    });
  }

  /** Sends SIGTERM now, and SIGKILL at the end of the grace period, as the platform does. */
  function stopEntry(graceMs: number): Promise<void> {
    entry.child.kill('SIGTERM');
    return waitFor(graceMs).then(() => {
      entry.child.kill('SIGKILL');
    });
  }

  function dial(): RawCaller {
    return dialEntry(entry.settings.callerAddress);
  }

  /** Opens the connection of a request before the stop; resolves to what sends the request. */
  async function openCall(id: string, target: string, kind: Connection) {
    const request = formatRequest({ id, target, body: 'body' });
    if (kind === Connection.New) {
      return (): Call => {
        const caller = dial();
        caller.socket.write(request);
        return { id, caller, earlier: 0 };
      };
    }
    const caller = dial();
    if (kind === Connection.Slow) {
      caller.socket.write(request.slice(0, -1));
      return (): Call => {
        caller.socket.write(request.slice(-1));
        return { id, caller, earlier: 0 };
      };
    }
    caller.socket.write(formatRequest({ id: `${id}-first`, target: '/once/first' }));
    if (kind === Connection.Kept) await waitUntil(() => caller.text.includes('done'));
    return (): Call => {
      caller.socket.write(request);
      return { id, caller, earlier: 1 };
    };
  }

  /** Returns how a request ended that was not answered as the pages ask. */
  function describeLoss({ id, caller, earlier }: Call): string | undefined {
    const status = listStatuses(caller)[earlier];
    if (!arrived.has(id)) {
      // Bytes that cross the close of their connection were not read.
      return status === undefined || status === STATUS_NOT_RUN ? undefined : `not sent: ${status}`;
    }
    const text = caller.text.split(/(?=HTTP\/1\.1 \d)/)[earlier] ?? '';
    const isWhole = text.includes('done') || text.includes(LAST_CHUNK);
    return status === 200 && isWhole ? undefined : `sent: ${status ?? 'no answer'}`;
  }

  afterEach(() => entry.close());

  // Requests that come late are passed on only where their servers have the time to answer.
  it('are answered whole or not passed on at any moment', async () => {
    await start(SERVERS, GRACE_MS);
    const plans = MOMENTS.flatMap((atMs) =>
      ROUTES.flatMap((route) => Object.values(Connection).map((kind) => ({ atMs, route, kind }))),
    );
    const prepared = await Promise.all(
      plans.map(async ({ atMs, route, kind }) => {
        const send = await openCall(`${route}-${kind}-${atMs}`, `/${route}/a`, kind);
        return { atMs, send };
      }),
    );
    const stopped = stopEntry(GRACE_MS);
    const calls = await Promise.all(
      prepared.map(async ({ atMs, send }) => {
        await waitFor(atMs);
        return send();
      }),
    );
    await stopped;
    await waitFor(STEP_MS);
    expect(listLosses(calls)).to.deep.equal([]);
    const kinds = new Set([...arrived].map((id) => id.split('-').slice(0, 2).join('-')));
    expect(kinds.size).to.be.at.least(ROUTES.length * Object.keys(Connection).length);
  });

  function startCalls(count: number, target: string): Call[] {
    return Array.from({ length: count }, (_, index) => {
      const caller = dial();
      const id = `c${index}`;
      caller.socket.write(formatRequest({ id, target }));
      return { id, caller, earlier: 0 };
    });
  }

  function listLosses(calls: readonly Call[]): unknown[] {
    const losses = calls.map((call) => [call.id, describeLoss(call)]);
    for (const { caller } of calls) caller.socket.destroy();
    return losses.filter(([, loss]) => loss !== undefined);
  }

  // Requests that had waited for a slot were sent in the last moments, and cut with 502.
  it('are refused in time where they wait for a slot', async () => {
    await start(1, GRACE_MS);
    workMs = 900;
    const calls = startCalls(60, '/once/a');
    await waitUntil(() => arrived.size > 0);
    await stopEntry(GRACE_MS);
    expect(listLosses(calls)).to.deep.equal([]);
    expect(calls.flatMap(({ caller }) => listStatuses(caller))).to.include(STATUS_NOT_RUN);
  });

  // A request was accepted for as long as the load balancer may send some, and the process was
  // killed before.
  it('are refused where the whole grace period is short', async () => {
    const graceMs = 2_000;
    await start(1, graceMs);
    workMs = 900;
    const stopped = stopEntry(graceMs);
    await waitFor(1_500);
    const calls = startCalls(2, '/once/a');
    await stopped;
    expect(arrived.size).to.equal(0);
    expect(listLosses(calls)).to.deep.equal([]);
    expect(calls.map(({ caller }) => listStatuses(caller))).to.deep.equal([[503], [503]]);
  });

  // A request that takes longer than what is left was taken, and cut with 502.
  it('are refused where their answer is expected after the end', async () => {
    await start(1, GRACE_MS);
    workMs = 3_000;
    const earlier = startCalls(4, '/once/a');
    await waitUntil(() => earlier.every(({ caller }) => caller.text.includes('done')));
    const stopped = stopEntry(GRACE_MS);
    await waitFor(2_400);
    const caller = dial();
    caller.socket.write(formatRequest({ id: 'late', target: '/once/a' }));
    await stopped;
    expect(listLosses([{ id: 'late', caller, earlier: 0 }])).to.deep.equal([]);
    expect(listStatuses(caller)).to.deep.equal([STATUS_NOT_RUN]);
  });

  // A second SIGTERM must not move the end of the period, since the process is killed there.
  it('do not last beyond the first period when SIGTERM comes again', async () => {
    await start(1, GRACE_MS);
    workMs = 2 * GRACE_MS;
    const calls = startCalls(1, '/once/a');
    await waitUntil(() => arrived.size === 1);
    const stopped = stopEntry(GRACE_MS);
    await waitFor(1_500);
    entry.child.kill('SIGTERM');
    await stopped;
    expect(calls.map(({ caller }) => listStatuses(caller))).to.deep.equal([[502]]);
    expect(calls[0]!.caller.end).to.equal('regular');
    for (const { caller } of calls) caller.socket.destroy();
  });
});
