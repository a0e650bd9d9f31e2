/** Metrics at the metrics address of an entry. */
import { expect } from 'chai';
import { request as send } from 'undici';
import { formatAnswer, type Script } from './backend.js';
import { startDeployment, waitUntil, type Deployment } from './harness.js';

const MAX_AGE_MS = 2_000;

describe('metrics of an entry', () => {
  const answerOk: Script = ({ socket }) => socket.write(formatAnswer(200, 'done'));
  let deployment: Deployment;

  async function readMetrics(): Promise<string> {
    const { body } = await send(`http://${deployment.settings.metricsAddress}/metrics`);
    return body.text();
  }

  function readValue(text: string, name: string): number {
    return Number(new RegExp(`^${name}(?:\\{.*\\})? (.*)$`, 'm').exec(text)?.[1]);
  }

  beforeEach(async () => {
    deployment = await startDeployment([answerOk]);
    await deployment.waitUntilServing();
  });

  afterEach(() => deployment.close());

  it('count requests by account and outcome, and attempts by server', async () => {
    await deployment.call('/once/a');
    const text = await readMetrics();
    expect(text).to.match(/masticbend_requests_total\{tier="1",account="bakery",outcome="200"\} 1/);
    expect(text).to.match(/masticbend_attempts_total\{server="i-0",result="\w+"\} 1/);
    for (const name of ['wait', 'first_byte', 'request']) {
      expect(readValue(text, `masticbend_${name}_duration_ms_count`), name).to.equal(1);
    }
  });

  it('count calls to the store by result, and report the age of its tables', async () => {
    const before = await readMetrics();
    expect(before).to.match(/store_calls_total\{call="write",result="committed"\} \d+/);
    expect(before).to.match(/store_calls_total\{call="rows",result="rows"\} \d+/);
    for (const name of ['configuration', 'servers']) {
      expect(readValue(before, `masticbend_${name}_age_ms`), name).to.be.within(0, MAX_AGE_MS);
    }
    expect(readValue(before, 'masticbend_usable_servers')).to.equal(1);
    const readShare = async () => readValue(await readMetrics(), 'masticbend_limit_share');
    await waitUntil(async () => (await readShare()) === 1);
    deployment.store.faults.status = 500;
    await waitUntil(async () => /result="unavailable"/.test(await readMetrics()));
  });
});
