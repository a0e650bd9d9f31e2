/**
 * Clients that do not behave, at each address of an agent. The process lives within the memory and
 * the descriptors of its machine, and answers an entry and a reader of its metrics beside them.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { createSystemClock } from '@masticbend/kernel/clock';
import { createConnection } from '@masticbend/protocol/connection';
import { parseAddress } from '@masticbend/settings/address';
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
import { reservePorts } from '@masticbend/standins/ports';
import { stringify } from 'smol-toml';
import { request as send } from 'undici';
import { buildBundles, countDescriptors } from './crowd-checks.js';
import { readPeakMemory, startLimited } from './entry-process.js';
import { waitUntil } from './harness.js';

const PROGRAM = fileURLToPath(new URL('../../../target/masticbend-agent.cjs', import.meta.url));
/** As in `deploy/system.toml`. */
const FLAGS = ['--max-old-space-size=48', '--max-semi-space-size=2', '--expose-gc'];
const TEST_TIMEOUT_MS = 120_000;
const START_TIMEOUT_MS = 15_000;
const MIB = 1024 * 1024;
/** Memory of the smallest machine of an agent. */
const AGENT_BYTES = 282 * MIB;
const OWN_DESCRIPTORS = 100;
const CALLERS = 100;
const MANY_CALLERS = 400;
const FEW_DESCRIPTORS = 300;
const TINY_CHUNKS = createOpenBodies('POST / HTTP/1.1\r\nHost: a\r\n', 4 * MIB)[
  'bodies in chunks of one byte'
]!;
const REQUEST = 'GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n';

type Address = 'meshAddress' | 'metricsAddress';

describe('clients that do not behave leave an agent within its bounds', function describeCrowds() {
  this.timeout(TEST_TIMEOUT_MS);
  let folder: string;
  let addresses: Record<Address, string>;
  let child: ReturnType<typeof startLimited>;
  let output: string;
  let crowd: Crowd | undefined;

  async function start(descriptors?: number): Promise<void> {
    const [mesh, metrics] = await reservePorts(2);
    addresses = { meshAddress: `127.0.0.1:${mesh}`, metricsAddress: `127.0.0.1:${metrics}` };
    folder = mkdtempSync(join(tmpdir(), 'masticbend-agent-'));
    const path = join(folder, 'agent.toml');
    writeFileSync(path, stringify({ instance: 'agent-1', logLevel: 'info', ...addresses }));
    child = startLimited([...FLAGS, PROGRAM, path], descriptors);
    output = '';
    const keepOutput = (chunk: Buffer) => {
      output += chunk.toString();
    };
    child.stdout.on('data', keepOutput);
    child.stderr.on('data', keepOutput);
    await waitUntil(() => output.includes('event=process-started'), START_TIMEOUT_MS);
  }

  /** Resolves once the agent has reported its load to a new entry. */
  async function openEntry(): Promise<void> {
    const { host, port } = parseAddress(addresses.meshAddress);
    const kinds: string[] = [];
    const connection = createConnection(connect(port, host), createSystemClock(), {
      onMessage: ({ kind }) => kinds.push(kind),
      onClose: () => undefined,
    });
    connection.send({
      kind: 'permit-hello',
      instance: 'entry-1',
      server: 'server-1',
      bornAt: 1,
      leaving: false,
      slots: 4,
      running: [],
    });
    await waitUntil(() => kinds.includes('permit-report'));
    connection.close('done');
  }

  async function checkCrowd(address: Address, count: number, form: CrowdForm): Promise<void> {
    crowd = await openCrowd(addresses[address], count, form);
    await crowd.waitUntilSettled();
    expect(child.exitCode ?? child.signalCode, output.slice(-500)).to.equal(null);
    await openEntry();
    const { statusCode, body } = await send(`http://${addresses.metricsAddress}/metrics`).catch(
      (error: Error) => {
        throw new Error(`${error.message}; output: ${output.slice(-500)}`, { cause: error });
      },
    );
    await body.dump();
    expect(statusCode).to.equal(200);
    expect(countDescriptors(child)).to.be.at.most(OWN_DESCRIPTORS + count);
    expect(readPeakMemory(child.pid!)).to.be.below(AGENT_BYTES);
  }

  before(buildBundles);

  afterEach(() => {
    crowd?.close();
    crowd = undefined;
    child.kill('SIGKILL');
    rmSync(folder, { recursive: true });
  });

  // Each connection held up to a whole frame.
  it('by frames without their end at its meshAddress', async () => {
    await start();
    await checkCrowd('meshAddress', CALLERS, OPEN_FRAME);
  });

  // The library's defaults bounded neither requests nor answers.
  it('by requests sent ahead at its metricsAddress', async () => {
    await start();
    await checkCrowd('metricsAddress', MANY_CALLERS, createRequestsAhead(REQUEST));
  });

  it('by bodies at its metricsAddress', async () => {
    await start();
    await checkCrowd('metricsAddress', CALLERS, TINY_CHUNKS);
  });

  it('by heads without their end at its metricsAddress', async () => {
    await start();
    await checkCrowd('metricsAddress', MANY_CALLERS, OPEN_HEAD);
  });

  for (const address of ['meshAddress', 'metricsAddress'] as const) {
    // No descriptor was left for entries.
    it(`by more silent connections at its ${address} than it has descriptors`, async () => {
      await start(FEW_DESCRIPTORS);
      await checkCrowd(address, MANY_CALLERS, SILENCE);
    });
  }
});
