import { expect } from 'chai';
import { Agent } from 'undici';
import { answerWith, sendAnswer, startFakeAgent } from './fake-agent.js';
import { sendChat, startFakeEntry, type CallerAnswer } from './fake-entry.js';
import { openRawCaller } from './raw-caller.js';
import { waitFor, waitUntil } from './wait.js';

const LAME_DUCK_MS = 300;

describe('stopping', () => {
  it('completes running requests and those that arrive before the load balancer reacts', async () => {
    const slow: string[] = [];
    const answer = answerWith('quick');
    const agent = await startFakeAgent('only', (self, message) => {
      if (message.kind === 'grant' && message.deadlineMs > 5_500) slow.push(message.request);
      else answer(self, message);
    });
    const document = 'large';
    const entry = await startFakeEntry([agent], { document, lameDuckMs: LAME_DUCK_MS });
    const long = sendChat(entry, { 'x-masticbend-deadline-ms': '6000' });
    await waitUntil(() => slow.length === 1, 'the long request');

    let stopped = false;
    const stop = entry.stop().then(() => {
      stopped = true;
    });
    const callers = new Agent({ connections: 4 });
    const quick: CallerAnswer[] = [];
    const end = performance.now() + LAME_DUCK_MS * 0.8;
    while (performance.now() < end) quick.push(await sendChat(entry, {}, {}, callers));
    expect(quick.length).to.be.greaterThan(3);
    for (const { status, headers } of quick) {
      expect(status).to.equal(200);
      expect(headers.connection).to.equal('close');
    }
    await waitFor(LAME_DUCK_MS);
    const late = openRawCaller(entry.port);
    await waitUntil(late.isClosed, 'the late connection to be closed');
    expect(stopped).to.equal(false);
    sendAnswer(agent, slow[0]!, 'long');
    expect((await long).text).to.equal('long');
    await stop;
    await callers.close();
    await entry.close();
    await agent.close();
  });
});
