/**
 * Clients that do not behave, at each address of an entry. The process lives within the memory and
 * the descriptors of its machine, and serves the request of another client beside them.
 */
import { expect } from 'chai';
import {
  createOpenBodies,
  createRequestsAhead,
  OPEN_FRAME,
  OPEN_HEAD,
  openCrowd,
  SILENCE,
  type Crowd,
  type CrowdForm,
} from '@masticbend/standins/crowd';
import { formatAnswer, type Script } from './backend.js';
import { buildBundles, callPatiently, countDescriptors } from './crowd-checks.js';
import { startEntryProcess, type EntryProcess, type EntryProcessOptions } from './entry-process.js';
import { HOST, KEY } from './harness.js';

const TEST_TIMEOUT_MS = 120_000;
const MIB = 1024 * 1024;
/** Memory of the smallest machine of an entry. */
const ENTRY_BYTES = 178 * MIB;
/** Descriptors of an entry beside those of callers. */
const OWN_DESCRIPTORS = 100;
const CALLERS = 100;
/** Callers whose chunks of one byte take long to parse. */
const SLOW_CALLERS = 40;
/** Connections that hold little each. */
const MANY_CALLERS = 400;
/** Times that a caller comes back when its connection was closed. */
const REOPENS = 4;
/** Heap in the runs with many requests, in MiB. */
const SMALL_HEAP_MB = 64;
/** Descriptors in the runs with fewer of them than callers. */
const FEW_DESCRIPTORS = 300;
const MAX_BODY_BYTES = 4 * MIB;
const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: MAX_BODY_BYTES,
  header_timeout_ms: 5_000,
  idle_timeout_ms: 15_000,
};

const KEYED = `Host: ${HOST}\r\nX-Masticbend-Key: ${KEY}\r\n`;
const OPEN_BODIES = createOpenBodies(`POST /once/a HTTP/1.1\r\n${KEYED}`, MAX_BODY_BYTES);
const TINY_CHUNKS = OPEN_BODIES['bodies in chunks of one byte']!;
const LARGE_CHUNKS = OPEN_BODIES['bodies in large chunks']!;
const BODY = 'x'.repeat(1_000);
const REQUESTS: Readonly<Record<string, string>> = {
  'heads without a host': 'GET / HTTP/1.1\r\n\r\n',
  'heads without an id': `GET /once/a HTTP/1.1\r\n${KEYED}\r\n`,
  'heads with a host that has no routes': 'GET / HTTP/1.1\r\nHost: none.example\r\n\r\n',
  'heads of HTTP/1.0': 'GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n',
  'heads with a malformed field': 'GET / HTTP/1.1\r\nHost: a\r\n: empty\r\n\r\n',
  'heads with many fields': `GET /once/a HTTP/1.1\r\n${KEYED}${'a:\r\n'.repeat(600)}\r\n`,
  'requests for readiness': 'GET /v1/readyz HTTP/1.1\r\nHost: a\r\n\r\n',
  'requests with bodies': `POST /once/a HTTP/1.1\r\n${KEYED}Content-Length: 1000\r\n\r\n${BODY}`,
};
const answerAtOnce: Script = ({ socket }) => socket.write(formatAnswer(200, 'done'));
const ADDRESSES = ['callerAddress', 'readinessAddress', 'metricsAddress', 'meshAddress'] as const;
type Address = (typeof ADDRESSES)[number];
/** Paths of the addresses that speak HTTP beside that of the callers. */
const PATHS = {
  readinessAddress: ['/v1/readyz', '/'],
  metricsAddress: ['/metrics', '/dump'],
} as const;

describe('clients that do not behave leave an entry within its bounds', function describeCrowds() {
  this.timeout(TEST_TIMEOUT_MS);
  let entry: EntryProcess;
  let crowds: Crowd[];

  async function start(options: EntryProcessOptions = {}): Promise<void> {
    crowds = [];
    entry = await startEntryProcess([answerAtOnce], {
      configuration: { limits: LIMITS },
      bundle: 'masticbend-entry.cjs',
      ...options,
    });
  }

  async function addCrowd(
    address: Address,
    count: number,
    form: CrowdForm,
    reopens?: number,
  ): Promise<void> {
    crowds.push(await openCrowd(entry.settings[address], count, form, reopens));
  }

  async function checkEntry(maxDescriptors: number): Promise<void> {
    await Promise.all(crowds.map((crowd) => crowd.waitUntilSettled()));
    expect(await callPatiently(entry)).to.equal(200);
    expect(countDescriptors(entry.child)).to.be.at.most(maxDescriptors);
    expect(entry.readPeakMemory()).to.be.below(ENTRY_BYTES);
  }

  async function checkCrowd(
    address: Address,
    count: number,
    form: CrowdForm,
    options?: EntryProcessOptions,
  ): Promise<void> {
    await start(options);
    await addCrowd(address, count, form);
    await checkEntry(OWN_DESCRIPTORS + count);
  }

  before(buildBundles);

  afterEach(async () => {
    crowds.forEach((crowd) => crowd.close());
    await entry.close();
  });

  // Only the bytes of bodies were counted and nothing bounded their sum: the entry exceeded its
  // memory, and with chunks of one byte its heap.
  for (const [name, form] of Object.entries(OPEN_BODIES)) {
    const count = form === TINY_CHUNKS ? SLOW_CALLERS : CALLERS;
    it(`by ${name} without their end`, () => checkCrowd('callerAddress', count, form));
  }

  it('by bodies whose callers come back when they are refused', async () => {
    await start();
    await addCrowd('callerAddress', CALLERS, LARGE_CHUNKS, REOPENS);
    await checkEntry(OWN_DESCRIPTORS + CALLERS);
  });

  // The parser made thousands of requests of one read, before any of them was counted.
  for (const [name, request] of Object.entries(REQUESTS)) {
    it(`by ${name}, sent ahead`, () => {
      const form = createRequestsAhead(request);
      return checkCrowd('callerAddress', CALLERS, form, { heapMb: SMALL_HEAP_MB });
    });
  }

  // Nothing bounded connections, requests and answers at the other addresses.
  for (const [address, paths] of Object.entries(PATHS) as [
    keyof typeof PATHS,
    readonly string[],
  ][]) {
    for (const path of paths) {
      it(`by requests for ${path} sent ahead at its ${address}`, () => {
        const request = `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;
        const form = createRequestsAhead(request);
        return checkCrowd(address, MANY_CALLERS, form, { heapMb: SMALL_HEAP_MB });
      });
    }

    it(`by bodies at its ${address}`, () => checkCrowd(address, CALLERS, TINY_CHUNKS));
  }

  // Each connection held up to a whole frame.
  it('by frames without their end at its meshAddress', () =>
    checkCrowd('meshAddress', CALLERS, OPEN_FRAME));

  for (const address of ADDRESSES) {
    if (address !== 'meshAddress') {
      it(`by heads without their end at its ${address}`, () =>
        checkCrowd(address, MANY_CALLERS, OPEN_HEAD));
    }

    // No descriptor was left for the connections to backend servers.
    it(`by more silent connections at its ${address} than it has descriptors`, async () => {
      await start({ descriptors: FEW_DESCRIPTORS });
      await addCrowd(address, MANY_CALLERS, SILENCE);
      await checkEntry(FEW_DESCRIPTORS);
    });
  }

  it('by crowds at all its addresses together', async () => {
    await start();
    const ahead = createRequestsAhead('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    await addCrowd('callerAddress', SLOW_CALLERS, LARGE_CHUNKS, REOPENS);
    await addCrowd('callerAddress', SLOW_CALLERS, ahead, REOPENS);
    await addCrowd('meshAddress', SLOW_CALLERS, OPEN_FRAME, REOPENS);
    await addCrowd('readinessAddress', SLOW_CALLERS, ahead, REOPENS);
    await addCrowd('metricsAddress', SLOW_CALLERS, ahead, REOPENS);
    await checkEntry(OWN_DESCRIPTORS + 5 * SLOW_CALLERS);
  });
});
