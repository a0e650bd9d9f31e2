/** Which requests may run without a key, and with which keys, as the configuration changes. */
import { expect } from 'chai';
import { formatAnswer, type Arrival, type Script } from './backend.js';
import { createDocument, KEY, startDeployment, waitUntil, type Deployment } from './harness.js';

const NEXT_VERSION = 5;
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
    deployment = await startDeployment([script]);
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

  /** Returns the status of a request without a key that waits while the configuration changes. */
  async function callAcrossChange(path: string, before: object, after: object): Promise<number> {
    const held: Arrival[] = [];
    await start((arrival) => held.push(arrival), before);
    deployment.writeServer(0, { slots: 1, version: 'v2' });
    await waitUntilDumped('"softwareVersion":"v2"');
    const running = Array.from({ length: FULL_REQUESTS }, () => callStatus('/open/a'));
    await waitUntil(() => deployment.backends[0]!.arrivals.length === FULL_REQUESTS);
    const waiting = callStatus(path);
    await waitUntilDumped('"waiting":{"plain":1}');
    await apply(after);
    deployment.backends[0]!.script = answerOk;
    for (const arrival of held) answerOk(arrival, 0);
    await Promise.all(running);
    return waiting;
  }

  // Their objective is long enough for a request to wait while the server is busy.
  const { routes } = createDocument() as { routes: object[] };
  const slowRoutes = routes.map((route) => ({ ...route, slo_ms: 4_000, timeout_ms: 5_000 }));
  const closedRoutes = slowRoutes.map((route) => ({ ...route, anonymous: false }));

  // A request that was admitted without a key ran after its route had begun to need one.
  it('is checked again for a request that waits while its route begins to need a key', async () => {
    expect(
      await callAcrossChange('/open/b', { routes: slowRoutes }, { routes: closedRoutes }),
    ).to.equal(401);
  });

  it('is checked again for a request that waits while the first accounts are added', async () => {
    expect(
      await callAcrossChange(
        '/once/b',
        { routes: slowRoutes, tenants: undefined },
        { routes: slowRoutes },
      ),
    ).to.equal(401);
  });
});
