/** Edits the configuration of separate processes through the administration API. */
import { expect } from 'chai';
import { request } from 'undici';
import {
  hashKey,
  restartProcess,
  startDeployment,
  type Deployment,
  type RunningProcess,
} from '@masticbend/bench/deployment';
import { startObjectStore, type ObjectStoreStandIn } from '@masticbend/standins/object-store';
import { startService, type Service } from '@masticbend/standins/service';
import { startTable, type Table } from '@masticbend/standins/table';

/** Time within which an accepted edit must be in force in every process, in milliseconds. */
const IN_FORCE_TIMEOUT_MS = 4_000;
const CHECK_INTERVAL_MS = 20;
const SALES_TOKEN = 'sales-operator-token';
const PLANT_TOKEN = 'plant-operator-token';

const CONFIGURATION = `
[teams.sales]
tokenHashes = ["${hashKey(SALES_TOKEN)}"]
sections = ["tiers", "accounts"]
[teams.plant]
tokenHashes = ["${hashKey(PLANT_TOKEN)}"]
sections = ["backendServers", "services", "limits"]
[tiers.fast]
rank = 0
deadlineMs = 4000
[accounts.bakery]
keyHashes = ["${hashKey('bakery-key')}"]
tier = "fast"
[services.parcels]
[[services.parcels.operations]]
method = "GET"
path = "/parcels/*"
idempotent = true
`;

interface Answer {
  status: number;
  body: Record<string, unknown>;
}

async function call(
  running: RunningProcess,
  path: string,
  token?: string,
  body?: object,
): Promise<Answer> {
  const response = await request(`${running.administrationUrl}${path}`, {
    method: body ? 'POST' : 'GET',
    headers: token ? { authorization: `Bearer ${token}` } : {},
    body: body ? JSON.stringify(body) : null,
  });
  const text = await response.body.text();
  return { status: response.statusCode, body: JSON.parse(text) as Record<string, unknown> };
}

async function readRevision(running: RunningProcess): Promise<number> {
  const { body } = await call(running, '/dump');
  return (body.configuration as { revision: number }).revision;
}

async function waitUntil(check: () => Promise<boolean>, timeoutMs: number): Promise<void> {
  const end = performance.now() + timeoutMs;
  while (!(await check())) {
    if (performance.now() > end) throw new Error(`condition not met within ${timeoutMs} ms`);
    await new Promise((resolve) => {
      setTimeout(resolve, CHECK_INTERVAL_MS);
    });
  }
}

async function waitForRevision(processes: RunningProcess[], revision: number): Promise<void> {
  await waitUntil(async () => {
    const revisions = await Promise.all(processes.map(readRevision));
    return revisions.every((found) => found === revision);
  }, IN_FORCE_TIMEOUT_MS);
}

describe('configuration over processes', () => {
  let table: Table;
  let objects: ObjectStoreStandIn;
  let service: Service;
  let deployment: Deployment;
  let nextId = 0;

  before(async function startProcesses() {
    this.timeout(60_000);
    table = await startTable(0);
    objects = await startObjectStore(0);
    service = await startService(0, 1);
    deployment = await startDeployment({
      configuration: CONFIGURATION,
      entries: 2,
      backends: ['parcels-1', 'parcels-2', 'parcels-3'].map((name) => ({
        name,
        kind: 'service',
        dataCentre: 'ostalpen-1',
        serves: ['parcels'],
        concurrency: 4,
        url: service.url,
      })),
      platform: { tableUrl: table.url, objectUrl: objects.url, instancesUrl: service.url },
    });
  });

  after(async function stopProcesses() {
    this.timeout(60_000);
    await deployment.stop();
    await Promise.all([table, objects, service].map((standIn) => standIn.close()));
  });

  function createEdit(section: string, against: number, ...operations: object[]) {
    nextId += 1;
    return { section, against, operations, editId: `edit-${nextId}`, author: 'ada' };
  }

  it('applies an accepted edit in every process and gives its retry the same answer', async () => {
    const [first, second] = deployment.entries as [RunningProcess, RunningProcess];
    const value = { rank: 1, deadlineMs: 9_000 };
    const edit = createEdit('tiers', 1, { key: 'slow', value });
    const answer = await call(first, '/configuration/edits', SALES_TOKEN, edit);
    expect(answer).to.deep.include({ status: 200 });
    expect(answer.body).to.deep.include({ accepted: true, revision: 2 });
    await waitForRevision([...deployment.entries, ...deployment.agents], 2);
    const retried = await call(second, '/configuration/edits', SALES_TOKEN, edit);
    expect(retried.body).to.deep.include({ accepted: true, revision: 2 });
  });

  it('checks token, owner, shape, revision and the whole document', async () => {
    const [first] = deployment.entries as [RunningProcess];
    const send = async (token: string, edit: object) => {
      const { status, body } = await call(first, '/configuration/edits', token, edit);
      return { status, ...body, edits: (body.edits as object[] | undefined)?.length };
    };
    const removal = { key: 'fast', value: null };
    expect({
      unknownToken: await send('nobody', createEdit('tiers', 2, removal)),
      otherTeam: await send(PLANT_TOKEN, createEdit('tiers', 2, removal)),
      malformed: await send(SALES_TOKEN, { section: 'tier', against: 'x' }),
      invalid: await send(SALES_TOKEN, createEdit('tiers', 2, removal)),
      conflict: await send(SALES_TOKEN, createEdit('tiers', 1, { key: 'slow', value: null })),
      future: await send(SALES_TOKEN, createEdit('tiers', 99, removal)),
    }).toMatchSnapshot();
  });

  it('hides hashes, and accepts a hidden hash in an edit as unchanged', async () => {
    const [first] = deployment.entries as [RunningProcess];
    const { body } = await call(first, '/configuration/sections/accounts', SALES_TOKEN);
    const { bakery } = body.values as { bakery: { keyHashes: string[] } };
    expect(bakery.keyHashes[0]).to.equal(`hidden:${hashKey('bakery-key').slice(0, 8)}`);
    const edit = createEdit('accounts', 2, { key: 'bakery', value: { ...bakery, weight: 2 } });
    const answer = await call(first, '/configuration/edits', SALES_TOKEN, edit);
    expect(answer.body).to.deep.include({ accepted: true, revision: 3 });
    const answers = await Promise.all(
      ['/configuration', '/configuration/history', '/dump'].map((path) =>
        call(first, path, SALES_TOKEN),
      ),
    );
    const text = JSON.stringify(answers);
    for (const secret of ['bakery-key', SALES_TOKEN, PLANT_TOKEN]) {
      expect(text).not.to.include(secret);
      expect(text).not.to.include(hashKey(secret));
    }
  });

  it('drains a backend server and ends the draining', async () => {
    const [first] = deployment.entries as [RunningProcess];
    const drain = async (draining: boolean) => {
      nextId += 1;
      const body = { draining, editId: `edit-${nextId}`, author: 'ada' };
      const answer = await call(first, '/backend-servers/parcels-2/drain', PLANT_TOKEN, body);
      expect(answer.body).to.deep.include({ accepted: true });
      await waitUntil(async () => {
        const { instances } = (await call(first, '/instances', PLANT_TOKEN)).body as {
          instances: { backendServer: string; leaving: boolean }[];
        };
        const leaving = instances.filter((instance) => instance.leaving);
        const names = leaving.map(({ backendServer }) => backendServer);
        return names.join() === (draining ? 'parcels-2' : '');
      }, IN_FORCE_TIMEOUT_MS);
    };
    await drain(true);
    await drain(false);
  });

  it('keeps an accepted edit when the platform and the accepting entry fail', async function run() {
    this.timeout(60_000);
    const [first, second] = deployment.entries as [RunningProcess, RunningProcess];
    const edit = createEdit('limits', 5, { key: 'queueLimit', value: 77 });
    const answer = await call(first, '/configuration/edits', PLANT_TOKEN, edit);
    table.faults.down = true;
    objects.faults.down = true;
    first.child.kill('SIGKILL');
    expect(answer.body).to.deep.include({ accepted: true, revision: 6 });
    await waitForRevision([second, ...deployment.agents], 6);

    await restartProcess(first);
    await waitForRevision([first], 6);
    const refused = await call(second, '/configuration/edits', PLANT_TOKEN, {
      ...edit,
      editId: 'other',
    });
    expect(refused.body).to.have.nested.property('error.kind', 'platform-unavailable');
    table.faults.down = false;
    objects.faults.down = false;
  });

  it('reports an edit as not accepted while no agent confirms it, and applies it later', async function run() {
    this.timeout(60_000);
    const [first] = deployment.entries as [RunningProcess];
    for (const { child } of deployment.agents) child.kill('SIGSTOP');
    try {
      const edit = createEdit('limits', 6, { key: 'queueLimit', value: 78 });
      const answer = await call(first, '/configuration/edits', PLANT_TOKEN, edit);
      expect(answer.status).to.equal(202);
      expect(answer.body).to.deep.include({ accepted: false, revision: 7, holders: 0 });
    } finally {
      for (const { child } of deployment.agents) child.kill('SIGCONT');
    }
    await waitForRevision([...deployment.entries, ...deployment.agents], 7);
  });
});
