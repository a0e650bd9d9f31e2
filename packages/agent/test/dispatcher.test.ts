import { expect } from 'chai';
import { createVirtualClock } from '@masticbend/kernel/clock';
import { startService, type Service } from '@masticbend/standins/service';
import { createWork, dialAgent, startTestAgent, waitUntil, type TestAgent } from './harness.js';

describe('dispatcher', () => {
  let service: Service;
  let agent: TestAgent;

  beforeEach(async () => {
    service = await startService(0, 0);
    // The virtual clock is never advanced, so no periodic report is sent.
    const clock = createVirtualClock();
    agent = await startTestAgent({ backendUrl: service.url, tableUrl: service.url, clock });
  });

  afterEach(async () => {
    await agent.close();
    await service.close();
  });

  it('reports changes to its entries at once', async () => {
    const entry = await dialAgent(agent.port);
    const countReports = () => entry.received.filter(({ kind }) => kind === 'load').length;
    await waitUntil(() => countReports() === 1, 'the first report');
    agent.dispatcher.send({ kind: 'served' });
    await waitUntil(() => countReports() === 2, 'the report');
    agent.dispatcher.send({ kind: 'leaving', reason: 'draining', leaving: true });
    await waitUntil(() => countReports() === 3, 'the report');
    agent.dispatcher.send({ kind: 'health', ready: false });
    await waitUntil(() => countReports() === 4, 'the report');
  });

  it('refuses open and new reservations while its backend server is not ready', async () => {
    const entry = await dialAgent(agent.port);
    entry.send({ kind: 'reserve', request: 'r1', work: createWork(), displace: false });
    await entry.waitForMessage('claim', 'r1');
    agent.dispatcher.send({ kind: 'health', ready: false });
    await entry.waitForMessage('refused', 'r1');
    entry.send({ kind: 'reserve', request: 'r2', work: createWork(), displace: false });
    const { failure } = await entry.waitForMessage('refused', 'r2');
    expect(failure.kind).to.equal('no-backend-server');
    agent.dispatcher.send({ kind: 'health', ready: true });
    entry.send({ kind: 'reserve', request: 'r3', work: createWork(), displace: false });
    await entry.waitForMessage('claim', 'r3');
  });
});
