import { randomUUID } from 'node:crypto';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { sendJson, startStandIn, waitFor, type StandIn } from '@masticbend/standins/http';
import { reservePorts } from '@masticbend/standins/ports';
import { startService, type Service } from '@masticbend/standins/service';
import { startTable, type Table } from '@masticbend/standins/table';
import { createAgent } from '../src/agent.js';
import {
  createBooking,
  createWork,
  dialAgent,
  grantClaim,
  reserveClaim,
  SECRET,
  startRequest,
  waitUntil,
  type TestEntry,
} from './harness.js';

/** Time after which an agent listed as leaving must accept no new work. */
const LEAVING_TIMEOUT_MS = 3_000;
const WORK_MS = 300;

function createDocument(backendServers: string): string {
  return `
[tiers.fast]
rank = 0
deadlineMs = 4000
[accounts.school]
keyHashes = ["${'0'.repeat(64)}"]
tier = "fast"
[services.parcels]
operations = [{ method = "POST", path = "/bookings", idempotent = false }]
${backendServers}
`;
}

function createServer(name: string, draining: boolean): string {
  return `
[backendServers.${name}]
agent = "127.0.0.1:1"
dataCentre = "ostalpen-1"
kind = "service"
serves = ["parcels"]
concurrency = 2
draining = ${draining}
`;
}

describe('leaving', () => {
  let folder: string;
  let service: Service;
  let table: Table;
  let instances: StandIn;
  let instanceList: { instance: string; state: string }[];
  let agent: Awaited<ReturnType<typeof createAgent>>;
  let entry: TestEntry;
  let stopped: boolean;

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), 'masticbend-agent-'));
    const meshSecretFile = join(folder, 'secret');
    writeFileSync(meshSecretFile, SECRET);
    service = await startService(0, WORK_MS);
    table = await startTable(0);
    instanceList = [];
    instances = await startStandIn(0, (_request, response) =>
      sendJson(response, 200, instanceList),
    );
    const ports = await reservePorts(2);
    agent = await createAgent({
      instance: 'agent-1',
      dataCentre: 'ostalpen-1',
      meshSecretFile,
      logLevel: 'error',
      platform: { tableUrl: table.url, objectUrl: table.url, instancesUrl: instances.url },
      backendServer: 'server-1',
      backendUrl: service.url,
      meshAddress: `127.0.0.1:${ports[0]}`,
      administrationAddress: `127.0.0.1:${ports[1]}`,
    });
    await agent.start();
    agent.find('configuration').applyDocument(1, createDocument(createServer('server-1', false)));
    entry = await dialAgent(ports[0]!);
    stopped = false;
  });

  afterEach(async () => {
    if (!stopped) await agent.stop();
    await Promise.all([service.close(), table.close(), instances.close()]);
    rmSync(folder, { recursive: true });
  });

  const isLeaving = () => {
    const last = entry.received.filter((message) => message.kind === 'load').at(-1);
    return last?.kind === 'load' && last.load.leaving;
  };

  async function requireRefusal(): Promise<void> {
    const request = randomUUID();
    entry.send({ kind: 'reserve', request, work: createWork(), displace: true });
    const { failure } = await entry.waitForMessage('refused', request);
    expect(failure.kind).to.equal('stopping');
  }

  it('finishes running calls and refuses waiting requests on shutdown', async () => {
    await startRequest(entry, createBooking('running'));
    await entry.waitForMessage('started', 'running');
    const claimed = createBooking('claimed');
    const claim = await reserveClaim(entry, claimed);
    entry.send({ kind: 'reserve', request: 'waiting', work: createWork(), displace: false });
    await entry.waitForMessage('queued', 'waiting');

    stopped = true;
    const stopping = agent.stop();
    await entry.waitForMessage('refused', 'claimed');
    await entry.waitForMessage('refused', 'waiting');
    grantClaim(entry, claimed, claim);
    await entry.waitForMessage('returned', 'claimed');
    await requireRefusal();
    expect(isLeaving()).to.equal(true);
    await entry.waitForMessage('end', 'running');
    await stopping;
    expect(service.bookings.map(({ reference }) => reference)).to.deep.equal(['running']);
  });

  it('delivers running answers completely before it closes its connections', async () => {
    const requests = Array.from({ length: 2 }, (_, index) => `r${index}`);
    await Promise.all(requests.map((request) => startRequest(entry, createBooking(request))));
    await Promise.all(requests.map((request) => entry.waitForMessage('started', request)));
    stopped = true;
    await agent.stop();
    await waitUntil(() => !entry.connection.isOpen(), 'the end of the connection');
    expect(requests.map((request) => entry.select('end', request).length)).to.deep.equal([1, 1]);
  });

  it('stops accepting new work within 3 s of being listed as leaving', async () => {
    await startRequest(entry, createBooking('running'));
    instanceList = [{ instance: 'agent-1', state: 'leaving' }];
    const listedAt = performance.now();
    await waitUntil(isLeaving, 'leaving');
    expect(performance.now() - listedAt).to.be.below(LEAVING_TIMEOUT_MS);
    await requireRefusal();
    await entry.waitForMessage('end', 'running');
  });

  it('keeps accepting work while the list is unreachable or does not name its instance', async () => {
    instances.faults.down = true;
    await waitFor(1_600);
    instances.faults.down = false;
    instanceList = [{ instance: 'agent-2', state: 'leaving' }];
    await waitFor(1_600);
    expect(isLeaving()).to.equal(false);
    await startRequest(entry, createBooking('r1'));
    await entry.waitForMessage('end', 'r1');
  });

  it('drains while the configuration marks it as draining, then accepts work again', async () => {
    const configuration = agent.find('configuration');
    configuration.applyDocument(2, createDocument(createServer('server-1', true)));
    await waitUntil(isLeaving, 'leaving');
    await requireRefusal();
    configuration.applyDocument(3, createDocument(createServer('server-1', false)));
    await waitUntil(() => !isLeaving(), 'the end of leaving');
    await startRequest(entry, createBooking('r1'));
    await entry.waitForMessage('end', 'r1');
  });

  it('leaves when it is removed from the configuration, and finishes running calls', async () => {
    await startRequest(entry, createBooking('running'));
    await entry.waitForMessage('started', 'running');
    agent.find('configuration').applyDocument(2, createDocument(createServer('server-2', false)));
    await waitUntil(isLeaving, 'leaving');
    await requireRefusal();
    await entry.waitForMessage('end', 'running');
  });

  it('is not ready while its backend server is down, and ready again afterwards', async () => {
    const isReady = () => agent.find('dispatcher').report().ready;
    await waitUntil(isReady, 'the first probe');
    await service.close();
    await waitUntil(() => !isReady(), 'not ready');
    service = await startService(service.port, WORK_MS);
    await waitUntil(isReady, 'ready again');
  });

  it('counts its calls and shows no secret in its metrics and its dump', async () => {
    await startRequest(entry, createBooking('r1'));
    await entry.waitForMessage('end', 'r1');
    const metrics = agent.find('metrics').render();
    expect(metrics).to.include('masticbend_backend_calls_total{outcome="whole"} 1');
    expect(metrics).to.include('masticbend_backend_ready 1');
    expect(metrics + JSON.stringify(agent.dump())).not.to.include(SECRET);
  });
});
