/** Which requests may run without a key, and with which keys, as the configuration changes. */
import { expect } from 'chai';
import { formatAnswer, type Arrival, type Script } from './backend.js';
import { createDocument, KEY, startDeployment, waitUntil, type Deployment } from './harness.js';

const NEXT_VERSION = 5;
/** Bound of the time until a version is in force, so that several can follow each other soon. */
const FAST_CONFIGURATION_MS = 300;
const UNKNOWN_KEY = 'key-of-nobody';
/** Requests that a server with one slot is sent at once. */
const FULL_REQUESTS = 2;

/** Values of `tenants` that name no key, as another writer or a last removal may leave them. */
const TENANTS_WITHOUT_KEYS: Readonly<Record<string, unknown>> = {
  'an empty list': [],
  'no list': 'bakery',
  'no value': null,
  'a list of which no entry can be read': [{ api_keys: [KEY] }, 'bakery', { name: 'bakery' }],
  'an account whose list of keys is empty': [{ name: 'bakery', api_keys: [] }],
};

const answerOk: Script = ({ socket }) => socket.write(formatAnswer(200, 'done'));

describe('access by keys', () => {
  let deployment: Deployment;

  async function start(script: Script, changes: object = {}): Promise<void> {
    const bounds = { configurationMs: FAST_CONFIGURATION_MS };
    deployment = await startDeployment([script], { bounds });
    if (Object.keys(changes).length > 0) await apply({ version: NEXT_VERSION - 1, ...changes });
  }

  async function apply(changes: object): Promise<void> {
    const document = { version: NEXT_VERSION, ...changes };
    deployment.writeConfiguration(document);
    await waitUntilDumped(`"version":${document.version}`);
  }

  /** Waits until the state dump of the entry has a text. */
  function waitUntilDumped(text: string): Promise<void> {
    return waitUntil(() => JSON.stringify(deployment.gateway.dump()).includes(text));
  }

  async function callStatus(path: string, key?: string): Promise<number> {
    const headers = { 'x-masticbend-key': key ?? '', 'x-masticbend-deadline-ms': '5000' };
    return (await deployment.call(path, { headers })).status;
  }

  afterEach(() => deployment.close());

  for (const [name, tenants] of Object.entries(TENANTS_WITHOUT_KEYS)) {
    // Revoked and unknown keys were admitted, since the configuration seemed to have no accounts.
    it(`is refused where \`tenants\` is ${name}`, async () => {
      await start(answerOk);
      await apply({ tenants });
      expect(await callStatus('/once/a', KEY)).to.equal(401);
      expect(await callStatus('/once/b', UNKNOWN_KEY)).to.equal(401);
      expect(await callStatus('/open/c')).to.equal(200);
    });
  }

  it('needs no key where the configuration has no `tenants`', async () => {
    await start(answerOk);
    await apply({ tenants: undefined });
    expect(await callStatus('/once/a')).to.equal(200);
  });

  // A request without a key was admitted as the account that listed an empty key.
  it('is refused without a key where an account lists an empty one', async () => {
    await start(answerOk);
    await apply({ tenants: [{ name: 'bakery', api_keys: ['', KEY] }] });
    expect(await callStatus('/once/a')).to.equal(401);
    expect(await callStatus('/once/b', KEY)).to.equal(200);
  });

  /** Returns the status of a request that waits while the configuration changes. */
  async function callAcrossChanges(
    { path, key }: { path: string; key?: string },
    before: object,
    ...changes: object[]
  ): Promise<number> {
    const held: Arrival[] = [];
    await start((arrival) => held.push(arrival), before);
    deployment.writeServer(0, { slots: 1, version: 'v2' });
    await waitUntilDumped('"softwareVersion":"v2"');
    const running = Array.from({ length: FULL_REQUESTS }, () => callStatus('/open/a'));
    await waitUntil(() => deployment.backends[0]!.arrivals.length === FULL_REQUESTS);
    const waiting = callStatus(path, key);
    await waitUntilDumped('"waiting":{"plain":1}');
    for (const [index, change] of changes.entries()) {
      await apply({ version: NEXT_VERSION + index, ...change });
    }
    deployment.backends[0]!.script = answerOk;
    for (const arrival of held) answerOk(arrival, 0);
    await Promise.all(running);
    return waiting;
  }

  /** Returns the account that was named to the server with the last request. */
  function getNamedAccount(): string | undefined {
    return deployment.backends[0]!.arrivals.at(-1)!.headers['x-masticbend-tenant'];
  }

  // Their objective is long enough for a request to wait while the server is busy.
  const { routes } = createDocument() as { routes: object[] };
  const slowRoutes = routes.map((route) => ({ ...route, slo_ms: 4_000, timeout_ms: 5_000 }));
  const closedRoutes = slowRoutes.map((route) => ({ ...route, anonymous: false }));

  // A request that was admitted without a key ran after its route had begun to need one.
  it('is checked again for a request that waits while its route begins to need a key', async () => {
    const status = await callAcrossChanges(
      { path: '/open/b' },
      { routes: slowRoutes },
      { routes: closedRoutes },
    );
    expect(status).to.equal(401);
  });

  it('is checked again for a request that waits while the first accounts are added', async () => {
    const status = await callAcrossChanges(
      { path: '/once/b' },
      { routes: slowRoutes, tenants: undefined },
      { routes: slowRoutes },
    );
    expect(status).to.equal(401);
  });

  const call = { path: '/once/b', key: KEY };
  const bakery = { name: 'bakery', api_keys: [KEY], priority: 1 };
  const dairy = { ...bakery, name: 'dairy', api_keys: ['key-2'] };
  const moved = [
    { ...bakery, api_keys: [] },
    { ...dairy, api_keys: [KEY] },
  ];
  const limit = { unit: 'requests', rate_per_s: 0.05, burst: 1 };

  /** Sends a request that waits while its account's list changes. */
  function callAcrossMoves(before: object[], ...changes: object[][]): Promise<number> {
    const documents = changes.map((tenants) => ({ routes: slowRoutes, tenants }));
    return callAcrossChanges(call, { routes: slowRoutes, tenants: before }, ...documents);
  }

  // Its key was valid all the while, and it was refused with 401 (review/14).
  it('lasts for a request that waits while its key goes to another account', async () => {
    expect(await callAcrossMoves([bakery, dairy], moved)).to.equal(200);
    expect(getNamedAccount()).to.equal('dairy');
  });

  it('lasts for a request that waits while its account with a limit is renamed', async () => {
    const renamed = { ...bakery, ...limit, name: 'mill' };
    expect(await callAcrossMoves([{ ...bakery, rate_per_s: 0 }], [renamed])).to.equal(200);
    expect(getNamedAccount()).to.equal('mill');
  });

  it('lasts for a request that waits while its key is taken away and given back', async () => {
    expect(await callAcrossMoves([bakery], [dairy], [bakery])).to.equal(200);
    expect(getNamedAccount()).to.equal('bakery');
  });

  it('ends for a request that waits while its key is taken away', async () => {
    expect(await callAcrossMoves([bakery, dairy], [dairy])).to.equal(401);
  });
});
