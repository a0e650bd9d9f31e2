/**
 * Wires the modules of an agent together inside the test process, with a real mesh connection to
 * entries and a real HTTP connection to the backend server.
 */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { createSystemClock, type Clock } from '@masticbend/kernel/clock';
import { createHttpPool } from '@masticbend/kernel/http-pool';
import { createSilentLogger } from '@masticbend/kernel/log';
import { createIdempotencyRecords } from '@masticbend/state/idempotency';
import { createTableClient } from '@masticbend/state/table';
import { reservePorts } from '@masticbend/standins/ports';
import { createConnection, type Connection } from '@masticbend/protocol/connection';
import type { BackendCall, ClaimMessage, WorkDescription } from '@masticbend/protocol/call-message';
import type { Message, MessageKind, MessageOf } from '@masticbend/protocol/message';
import { createProof } from '@masticbend/protocol/proof';
import { createDefaultBounds } from '@masticbend/scheduling/default-bounds';
import { createAgentScheduler } from '@masticbend/scheduling/agent-scheduler';
import { createCallRecords, type CallRecords } from '../src/call-records.js';
import { createDispatcher, type Dispatcher } from '../src/dispatcher.js';
import { createMeshServer, type MeshServer } from '../src/mesh-server.js';

export const SECRET = 'mesh-secret-of-the-tests';
const WAIT_TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 5;

/** Addresses and limits of an agent under test. */
export interface TestAgentOptions {
  backendUrl: string;
  tableUrl: string;
  concurrency?: number;
  streamBytes?: number;
  clock?: Clock;
}

/** Agent under test. */
export interface TestAgent {
  port: number;
  dispatcher: Dispatcher;
  records: CallRecords;
  close: () => Promise<void>;
}

/** Starts an agent on a free port. */
export async function startTestAgent(options: TestAgentOptions): Promise<TestAgent> {
  const { backendUrl, tableUrl, concurrency = 8, streamBytes = 1024 * 1024 } = options;
  const clock = options.clock ?? createSystemClock();
  const log = createSilentLogger();
  const client = createHttpPool(backendUrl, { connections: 32, pipelining: 1 });
  const table = createTableClient({ url: tableUrl, timeoutMs: 300 });
  const records = createCallRecords({
    records: createIdempotencyRecords(table, clock),
    clock,
    log,
    drawRandom: () => 0.5,
  });
  const links: { mesh?: MeshServer } = {};
  const dispatcher = createDispatcher({
    clock,
    log,
    client,
    records,
    scheduler: createAgentScheduler({
      tiers: 3,
      concurrency,
      queueLimit: 100,
      serves: ['parcels', 'praline-large'],
    }),
    getLimits: () => ({ bodyBytes: 1024 * 1024, streamBytes }),
    send: (owner, message) => links.mesh?.send(owner, message) ?? false,
    onCallEnd: () => undefined,
  });
  const identity = { instance: 'agent-1', backendServer: 'server-1', secret: SECRET };
  const mesh = createMeshServer(identity, clock, log, createDefaultBounds(clock, log), {
    onOpen: (owner, { peers }) => dispatcher.send({ kind: 'open', owner, peers }),
    onMessage: (owner, message) => dispatcher.send({ kind: 'message', owner, message }),
    onClose: (owner) => dispatcher.send({ kind: 'gone', owner }),
    describe: () => ({ revision: 0, load: dispatcher.report() }),
  });
  links.mesh = mesh;
  const [port] = (await reservePorts(1)) as [number];
  await mesh.listen('127.0.0.1', port);
  return {
    port,
    dispatcher,
    records,
    async close() {
      dispatcher.stop();
      records.stop();
      await mesh.close();
      await client.destroy();
      await table.close();
    },
  };
}

/** Simulated entry: one connection to an agent and the messages received over it. */
export interface TestEntry {
  received: Message[];
  send: (message: Message) => void;
  /** Waits for the `nth` message of a kind about a request, counted from 0. */
  waitForMessage: <Kind extends MessageKind>(
    kind: Kind,
    request: string,
    nth?: number,
  ) => Promise<MessageOf<Kind>>;
  /** Returns the messages of a kind about a request. */
  select: <Kind extends MessageKind>(kind: Kind, request: string) => MessageOf<Kind>[];
  /** Returns the part of an answer received so far. */
  readAnswer: (request: string) => string;
  socket: Socket;
  connection: Connection;
  /** Settings a test may change; `creditsData` returns credit for each data message. */
  behaviour: { creditsData: boolean };
}

/** Connects a simulated entry to an agent; on a virtual clock it sends no heartbeats. */
export async function dialAgent(
  port: number,
  clock: Clock = createSystemClock(),
): Promise<TestEntry> {
  const socket = connect(port, '127.0.0.1');
  const received: Message[] = [];
  const behaviour = { creditsData: true };
  const connection = createConnection(socket, clock, {
    onMessage(message) {
      received.push(message);
      answerHandshake(message);
    },
    onClose: () => undefined,
  });

  function answerHandshake(message: Message): void {
    if (message.kind === 'challenge') {
      const proof = createProof(SECRET, message.nonce, 'entry-1');
      const instance = 'entry-1';
      const dataCentre = 'dc-1';
      const helloFields = { version: 1, instance, dataCentre, revision: 0, peers: 1 };
      connection.send({ kind: 'hello', proof, ...helloFields });
    } else if (message.kind === 'data' && behaviour.creditsData) {
      const { request, data } = message;
      connection.send({ kind: 'credit', request, bytes: data.length });
    }
  }

  function select<Kind extends MessageKind>(kind: Kind, request: string): MessageOf<Kind>[] {
    return received.filter(
      (message): message is MessageOf<Kind> =>
        message.kind === kind && 'request' in message && message.request === request,
    );
  }

  const entry: TestEntry = {
    received,
    send: (message) => connection.send(message),
    select,
    async waitForMessage(kind, request, nth = 0) {
      await waitUntil(() => select(kind, request).length > nth, `${kind} of ${request}`);
      return select(kind, request)[nth]!;
    },
    readAnswer: (request) =>
      Buffer.concat(select('data', request).map(({ data }) => data)).toString('utf8'),
    socket,
    connection,
    behaviour,
  };
  await once(socket, 'connect');
  await waitUntil(() => received.some(({ kind }) => kind === 'welcome'), 'welcome');
  return entry;
}

/** Returns the description of a parcel booking; `fields` override the defaults. */
export function createWork(fields: Partial<WorkDescription> = {}): WorkDescription {
  return {
    account: 'school',
    tier: 0,
    target: 'parcels',
    work: 'booking',
    promptTokens: 0,
    prefix: [],
    outputTokens: 0,
    outputTokensHigh: 0,
    deadlineMs: 10_000,
    weight: 1,
    idempotent: true,
    ...fields,
  };
}

/** Messages to send for one request. */
export interface TestRequest {
  request: string;
  work?: Partial<WorkDescription>;
  call?: Partial<BackendCall>;
  body?: string;
  key?: string;
}

/** Reserves and waits for the claim. */
export async function reserveClaim(entry: TestEntry, test: TestRequest): Promise<ClaimMessage> {
  const { request } = test;
  const nth = entry.select('claim', request).length;
  entry.send({ kind: 'reserve', request, work: createWork(test.work), displace: false });
  return entry.waitForMessage('claim', request, nth);
}

/** Grants a claim and sends the body with it. */
export function grantClaim(entry: TestEntry, test: TestRequest, claim: ClaimMessage): void {
  const { request, key, body = '' } = test;
  const data = Buffer.from(body);
  const idempotency = key
    ? { account: 'school', key, fingerprint: body, attempt: request }
    : undefined;
  const call: BackendCall = {
    method: 'GET',
    path: '/parcels/1',
    headers: {},
    bodyBytes: data.length,
    idempotency,
    stream: false,
    ...test.call,
  };
  entry.send({ kind: 'grant', request, claim: claim.claim, deadlineMs: 10_000, call });
  if (data.length > 0) entry.send({ kind: 'body', request, data, last: true });
}

/** Reserves, waits for the claim and grants it. */
export async function startRequest(entry: TestEntry, test: TestRequest): Promise<void> {
  grantClaim(entry, test, await reserveClaim(entry, test));
}

/** Returns a booking with an idempotency key. */
export function createBooking(request: string, key = request): TestRequest {
  return {
    request,
    key,
    work: { idempotent: false },
    call: { method: 'POST', path: '/bookings', headers: { 'content-type': 'application/json' } },
    body: JSON.stringify({ reference: key }),
  };
}

/** Returns a streamed chat completion. */
export function createChat(request: string, maxTokens: number, stream = true): TestRequest {
  return {
    request,
    work: { target: 'praline-large', work: 'dossier', promptTokens: 10, outputTokens: maxTokens },
    call: { method: 'POST', path: '/v1/chat/completions', stream },
    body: JSON.stringify({
      model: 'praline-large',
      messages: [{ role: 'user', content: `tell of ${request}` }],
      max_tokens: maxTokens,
      stream,
    }),
  };
}

/** Waits for a condition; throws with its description after `WAIT_TIMEOUT_MS`. */
export async function waitUntil(condition: () => boolean, description: string): Promise<void> {
  const end = performance.now() + WAIT_TIMEOUT_MS;
  while (!condition()) {
    if (performance.now() > end) throw new Error(`timed out waiting for ${description}`);
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_INTERVAL_MS);
    });
  }
}
