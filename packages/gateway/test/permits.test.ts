/** An entry before an engine with an agent beside it, and what happens when the agent is lost. */
import { expect } from 'chai';
import { createVirtualClock, createSystemClock } from '@masticbend/kernel/clock';
import { createSilentLogger } from '@masticbend/kernel/log';
import { createPermitServer, type PermitServer } from '../src/permit-server.js';
import { formatAnswer, type Arrival, type Script } from './backend.js';
import { HOST, KEY, startDeployment, waitFor, waitUntil, type Deployment } from './harness.js';

/** Agents listen on the same port as entries, on the address of their engine. */
const ENGINE_HOST = '127.0.0.2';
const SLOTS = 4;
const AHEAD = 1;
/** Time in which work must find another way when an agent falls silent, in milliseconds. */
const SWITCH_LIMIT_MS = 700;

describe('permits of an engine', () => {
  let deployment: Deployment;
  let agent: PermitServer;
  let open: Arrival[] = [];

  const hold: Script = (arrival) => {
    open.push(arrival);
  };
  const answer = ({ socket }: Arrival) => socket.write(formatAnswer(200, 'done'));

  async function startAgent(clock = createSystemClock()): Promise<void> {
    const port = deployment.settings.meshAddress.split(':')[1];
    const address = `${ENGINE_HOST}:${port}`;
    agent = createPermitServer({ address, clock, log: createSilentLogger() });
    await agent.start();
  }

  function readAgent() {
    return agent.dump() as { held: number; waiting: number; owners: number };
  }

  beforeEach(async () => {
    open = [];
    deployment = await startDeployment([hold], ENGINE_HOST);
    await startAgent();
    deployment.writeConfiguration({
      version: 4,
      services: [{ name: 'plain', health_path: '/h', max_conns: 100, engine: { slots: SLOTS } }],
    });
    await waitUntil(() => readAgent().owners === 1);
  });

  afterEach(async () => {
    agent.stop();
    await deployment.close();
  });

  it('bound what is sent to it, and come back with each answer', async () => {
    const calls = Array.from({ length: 8 }, () =>
      deployment.call('/once/a', { headers: { 'x-masticbend-deadline-ms': '5000' } }),
    );
    await waitUntil(() => open.length === SLOTS + AHEAD);
    await waitFor(50);
    expect(open.length).to.equal(SLOTS + AHEAD);
    expect(readAgent().held).to.equal(SLOTS + AHEAD);
    for (let index = 0; index < open.length; index += 1) answer(open[index]!);
    deployment.backends[0]!.script = answer;
    const statuses = (await Promise.all(calls)).map(({ status }) => status);
    expect(statuses.filter((status) => status === 200).length).to.be.at.least(SLOTS + AHEAD);
    await waitUntil(() => readAgent().held === 0 && readAgent().waiting === 0);
  });

  it('come back when a key is taken away while the request waits', async () => {
    const calls = Array.from({ length: 7 }, () => deployment.call('/once/a'));
    await waitUntil(() => open.length === SLOTS + AHEAD);
    deployment.writeConfiguration({
      version: 5,
      tenants: [],
      services: [{ name: 'plain', health_path: '/h', max_conns: 100, engine: { slots: SLOTS } }],
    });
    await Promise.all(calls);
    await waitUntil(() => readAgent().held === 0);
  });

  it('are not needed once the agent is silent', async () => {
    agent.stop();
    await startAgent(createVirtualClock());
    deployment.backends[0]!.script = answer;
    await waitFor(SWITCH_LIMIT_MS);
    const startedAt = performance.now();
    expect((await deployment.call('/once/a')).status).to.equal(200);
    expect(performance.now() - startedAt).to.be.below(SWITCH_LIMIT_MS);
  });

  it('know after a restart of the agent what already runs', async () => {
    const call = deployment.call('/once/a', { headers: { 'x-masticbend-deadline-ms': '5000' } });
    await waitUntil(() => open.length === 1);
    agent.stop();
    await startAgent();
    await waitUntil(() => readAgent().held === 1);
    answer(open[0]!);
    expect((await call).status).to.equal(200);
    await waitUntil(() => readAgent().held === 0);
  });

  it('are given to a caller’s request only once', async () => {
    deployment.backends[0]!.script = answer;
    const replies = await Promise.all(
      Array.from({ length: 20 }, () =>
        deployment.call('/again/a', {
          method: 'GET',
          headers: { host: HOST, 'x-masticbend-key': KEY },
        }),
      ),
    );
    const served = replies.filter(({ status }) => status === 200).length;
    expect(deployment.backends[0]!.arrivals.length).to.equal(served);
  });
});
