/**
 * Effects of configuration, API keys, server registrations and process stop on callers and backend
 * servers.
 */
import { connect as createSocket } from 'node:net';
import { expect } from 'chai';
import { Agent, request as send } from 'undici';
import { createSystemClock } from '@masticbend/kernel/clock';
import { createConnection } from '@masticbend/protocol/connection';
import type { PeerReportMessage } from '@masticbend/protocol/gateway-message';
import { parseAddress } from '@masticbend/settings/address';
import { formatAnswer, type Script } from './backend.js';
import { HOST, KEY, waitFor, startDeployment, waitUntil, type Deployment } from './harness.js';

/** Bounds from the settings of the test. */
const CONFIGURATION_TIMEOUT_MS = 2_000;
const DRAIN_TIMEOUT_MS = 2_000;
const KEY_FRESHNESS_MS = 2_500;

const EMPTY_REPORT: PeerReportMessage = {
  kind: 'peer-report',
  servers: [],
  running: [],
  accounts: [],
  units: [],
  askedUnits: [],
  version: 0,
  noticeServers: [],
  noticeBornAt: [],
  noticeLeaving: [],
  noticePauseMs: [],
  noticeLimitPerS: [],
  noticeLimitAgeMs: [],
  demandServices: [],
  demandPerS: [],
};

const answerOk: Script = ({ socket }) => socket.write(formatAnswer(200, 'done'));

describe('platform state of an entry', () => {
  let deployment: Deployment;

  async function start(...scripts: Script[]): Promise<void> {
    deployment = await startDeployment(scripts);
  }

  async function callStatus(path: string, headers: Record<string, string> = {}): Promise<number> {
    return (await deployment.call(path, { headers })).status;
  }

  afterEach(() => deployment.close());

  it('apply a new configuration in time, and never an older one', async () => {
    await start(answerOk);
    const route = {
      name: 'new',
      host: HOST,
      prefix: '/new/',
      route_kind: 'idempotent',
      service: 'plain',
      anonymous: true,
    };
    deployment.writeConfiguration({ version: 9, routes: [route] });
    const changedAt = performance.now();
    await waitUntil(async () => (await callStatus('/new/a')) === 200);
    expect(performance.now() - changedAt).to.be.below(CONFIGURATION_TIMEOUT_MS);
    expect(await callStatus('/once/a')).to.equal(404);
    deployment.writeConfiguration({ version: 8 });
    await waitFor(600);
    expect(await callStatus('/once/a')).to.equal(404);
  });

  it('read all rows again when the change history is lost', async () => {
    await start(answerOk);
    deployment.store.faults.dropHistory = true;
    await waitFor(300);
    deployment.writeConfiguration({ version: 9, routes: [] });
    const changedAt = performance.now();
    await waitUntil(async () => (await callStatus('/once/a')) === 404);
    expect(performance.now() - changedAt).to.be.below(CONFIGURATION_TIMEOUT_MS);
  });

  it('refuse requests with a key as not run when the keys are too old', async () => {
    await start(answerOk);
    deployment.store.faults.silent = true;
    const lostAt = performance.now();
    await waitUntil(async () => (await callStatus('/once/a')) === 503);
    expect(performance.now() - lostAt).to.be.below(KEY_FRESHNESS_MS + 200);
    expect(await callStatus('/open/a')).to.equal(200);
    const { headers } = await deployment.call('/once/a');
    expect(Number(headers['retry-after'])).to.be.above(0);
    deployment.store.faults.silent = false;
    await waitUntil(async () => (await callStatus('/once/a')) === 200);
  });

  it('refuse requests with a key while a peer knows a later configuration than the store', async () => {
    await start(answerOk);
    const { host, port } = parseAddress(deployment.settings.meshAddress);
    const socket = createSocket(port, host);
    const clock = createSystemClock();
    const events = { onMessage: () => undefined, onClose: () => undefined };
    const peer = createConnection(socket, clock, events);
    peer.send({ kind: 'peer-hello', instance: 'entry-0', incarnation: 'x' });
    peer.send({ ...EMPTY_REPORT, version: 5 });
    await waitUntil(async () => (await callStatus('/once/a')) === 503);
    expect(await callStatus('/open/a')).to.equal(200);
    deployment.writeConfiguration({ version: 5 });
    await waitUntil(async () => (await callStatus('/once/a')) === 200);
    peer.close('test ends');
  });

  it('send no new requests to a draining server', async () => {
    await start(answerOk, answerOk);
    deployment.writeServer(0, { state: 'draining' });
    await waitFor(DRAIN_TIMEOUT_MS * 0.9);
    const before = deployment.backends[0]!.arrivals.length;
    for (let count = 0; count < 10; count += 1) await callStatus('/once/a');
    expect(deployment.backends[0]!.arrivals.length).to.equal(before);
    expect(deployment.backends[1]!.arrivals.length).to.equal(10);
  });

  // An entry that started in between used such servers until their rows were removed (review/12).
  it('send no requests to a server that drains while a new entry reads the list', async () => {
    await start(answerOk, answerOk);
    const { faults } = deployment.store;
    faults.pageRows = 1;
    faults.onPage = (table) => {
      if (table === 'servers') deployment.writeServer(0, { state: 'draining' });
    };
    const address = await deployment.startEntry();
    for (let call = 0; call < 8; call += 1) {
      expect((await deployment.call('/again/a', { address })).status).to.equal(200);
    }
    expect(deployment.backends.map(({ arrivals }) => arrivals.length)).to.deep.equal([0, 8]);
  });

  it('send no requests to a server whose registration was removed or is invalid', async () => {
    await start(answerOk, answerOk);
    deployment.store.remove('servers', 'i-0');
    deployment.writeServer(1, { slots: 'many' });
    await waitUntil(async () => (await callStatus('/once/a')) === 503);
    expect((await deployment.call('/once/a')).headers).to.have.property('retry-after');
  });

  it('after a stop, continue to serve, then refuse requests as not run, then exit', async () => {
    await start(({ socket }) => {
      setTimeout(() => socket.write(formatAnswer(200, 'done')), 300);
    });
    const agent = new Agent({ connections: 1 });
    const callKeepAlive = async () => {
      const { statusCode, body, headers } = await send(
        `http://${deployment.settings.callerAddress}/once/a`,
        {
          dispatcher: agent,
          method: 'POST',
          headers: { host: HOST, 'x-masticbend-key': KEY, 'x-masticbend-attempt-id': 'a1' },
        },
      );
      return { status: statusCode, text: await body.text(), connection: headers.connection };
    };
    const open = callKeepAlive();
    await waitFor(50);
    const stopped = deployment.gateway.stop();
    expect((await open).status).to.equal(200);
    const ready = await send(`http://${deployment.settings.readinessAddress}/v1/readyz`);
    expect(ready.statusCode).to.equal(503);
    expect(await callKeepAlive()).to.include({ status: 200, connection: 'close' });
    await stopped;
    const refused = await callKeepAlive().catch((error: NodeJS.ErrnoException) => error.code);
    expect(refused).to.equal('ECONNREFUSED');
  });
});
