/**
 * Clients that do not behave, at each address of the product's own entry and agent. The processes
 * stay within their memory, and a lookup of another client is answered beside them.
 */
import { readFileSync } from 'node:fs';
import { expect } from 'chai';
import {
  hashKey,
  PARCELS_SERVICE,
  startDeployment,
  type Deployment,
  type RunningProcess,
} from '@masticbend/bench/deployment';
import {
  createOpenBodies,
  createRequestsAhead,
  OPEN_FRAME,
  openCrowd,
  type Crowd,
  type CrowdForm,
} from '@masticbend/standins/crowd';
import { startObjectStore } from '@masticbend/standins/object-store';
import { startService } from '@masticbend/standins/service';
import { startTable } from '@masticbend/standins/table';
import { request } from 'undici';

const TEST_TIMEOUT_MS = 120_000;
const KIB = 1024;
const MIB = KIB * KIB;
/** Memory that the crowd may add to a process. */
const MAX_GROWTH_BYTES = 256 * MIB;
const CALLERS = 100;
const API_KEY = 'crowd-key';
const SERVICE_WORK_MS = 5;
const CONFIGURATION = `
[tiers.high]
rank = 0
deadlineMs = 8000
[accounts.caller]
keyHashes = ["${hashKey(API_KEY)}"]
tier = "high"
${PARCELS_SERVICE}`;
const HEAD = `POST /services/parcels/bookings HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${API_KEY}\r\n`;
const BODIES = createOpenBodies(HEAD, 4 * MIB);
const REQUESTS = createRequestsAhead('GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n');

/** The addresses of the deployment's processes. */
interface Target {
  running: RunningProcess;
  address: string;
}

type FindTarget = (deployment: Deployment) => Target;

const TARGETS: Readonly<Record<string, FindTarget>> = {
  'the callers of an entry': ({ entries: [entry] }) => ({
    running: entry!,
    address: entry!.address,
  }),
  'the administration of an entry': ({ entries: [entry] }) => ({
    running: entry!,
    address: entry!.administrationUrl.slice('http://'.length),
  }),
  'the administration of an agent': ({ agents: [agent] }) => ({
    running: agent!,
    address: agent!.administrationUrl.slice('http://'.length),
  }),
};

describe("clients that do not behave leave the product's own processes within bounds", function describeCrowds() {
  this.timeout(TEST_TIMEOUT_MS);
  let deployment: Deployment;
  let standIns: { close: () => Promise<void> }[];
  let crowd: Crowd | undefined;

  beforeEach(async () => {
    const [service, table, objects] = await Promise.all([
      startService(0, SERVICE_WORK_MS),
      startTable(0),
      startObjectStore(0),
    ]);
    standIns = [service, table, objects];
    const backend = {
      name: 'parcels-1',
      kind: 'service' as const,
      dataCentre: 'ostalpen-1',
      serves: ['parcels'],
      concurrency: 4,
      url: service.url,
    };
    deployment = await startDeployment({
      configuration: CONFIGURATION,
      entries: 1,
      backends: [backend],
      platform: { tableUrl: table.url, objectUrl: objects.url, instancesUrl: table.url },
    });
  });

  afterEach(async () => {
    crowd?.close();
    crowd = undefined;
    await deployment.stop();
    await Promise.all(standIns.map((standIn) => standIn.close()));
  });

  async function checkCrowd(findTarget: FindTarget, form: CrowdForm): Promise<void> {
    const { running, address } = findTarget(deployment);
    const before = readPeakMemory(running);
    crowd = await openCrowd(address, CALLERS, form);
    await crowd.waitUntilSettled();
    expect(running.child.exitCode ?? running.child.signalCode).to.equal(null);
    const [entry] = deployment.entries as [RunningProcess];
    const { statusCode, body } = await request(
      `http://${entry.address}/services/parcels/parcels/none`,
      { headers: { authorization: `Bearer ${API_KEY}` } },
    );
    await body.dump();
    expect(statusCode).to.equal(200);
    expect(readPeakMemory(running) - before).to.be.below(MAX_GROWTH_BYTES);
  }

  for (const [name, findTarget] of Object.entries(TARGETS)) {
    for (const [form, bodies] of Object.entries(BODIES)) {
      it(`by ${form} without their end at ${name}`, () => checkCrowd(findTarget, bodies));
    }

    it(`by requests sent ahead at ${name}`, () => checkCrowd(findTarget, REQUESTS));
  }

  it('by frames without their end at the mesh address of an agent', () =>
    checkCrowd(
      ({ agents: [agent] }) => ({ running: agent!, address: agent!.address }),
      OPEN_FRAME,
    ));
});

function readPeakMemory({ child }: RunningProcess): number {
  const status = readFileSync(`/proc/${child.pid}/status`, 'utf8');
  const [, kibibytes] = /^VmHWM:\s+(\d+) kB$/m.exec(status) ?? [];
  return Number(kibibytes) * KIB;
}
