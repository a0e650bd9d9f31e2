import { expect } from 'chai';
import { createAnswerText } from '@masticbend/standins/engine-call';
import { startEngine, type Engine, type EngineOptions } from '@masticbend/standins/engine';

const FAST: EngineOptions = { port: 0, prefillRate: 1e6, stepMs: 1, stepPerCallMs: 0 };

function createBody(text: string, stream: boolean, tokens = 8) {
  const messages = [{ role: 'user', content: text }];
  return { model: 'praline', messages, max_tokens: tokens, stream };
}

function sendChat(engine: Engine, body: object, id = 'call-1') {
  return fetch(`${engine.url}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'x-request-id': id },
    body: JSON.stringify(body),
  });
}

/** Returns the concatenated content of a stream's events. */
function readContent(text: string): string {
  return text
    .split('\n\n')
    .filter((event) => event.startsWith('data: {'))
    .map((event) => JSON.parse(event.slice(6)).choices[0].delta.content ?? '')
    .join('');
}

describe('engine stand-in', () => {
  let engine: Engine;

  async function start(options: Partial<EngineOptions> = {}): Promise<void> {
    engine = await startEngine({ ...FAST, ...options });
  }

  afterEach(() => engine.close());

  it('answers streamed and buffered calls with the same text and records both', async () => {
    await start();
    const body = createBody('a', true);
    const streamed = await (await sendChat(engine, body)).text();
    const buffered = (await (await sendChat(engine, { ...body, stream: false })).json()) as {
      choices: { message: { content: string } }[];
    };
    const expected = createAnswerText(body.messages, 8);
    expect(readContent(streamed)).to.equal(expected);
    expect(buffered.choices[0]!.message.content).to.equal(expected);
    expect(streamed.endsWith('data: [DONE]\n\n')).to.equal(true);
    expect(engine.calls.map(({ whole: isWhole, madeTokens }) => [isWhole, madeTokens]))
      .to.deep //
      .equal([
        [true, 8],
        [true, 8],
      ]);
  });

  it('reports the cached tokens of a shared prefix and evicts the oldest blocks', async () => {
    await start({ cacheTokens: 512, eventLagMs: 0 });
    const long = 'x'.repeat(2_500);
    await (await sendChat(engine, createBody(long, false))).text();
    await (await sendChat(engine, createBody(long, false))).text();
    await (await sendChat(engine, createBody('y'.repeat(2_500), false))).text();
    expect(engine.calls.map(({ cachedTokens }) => cachedTokens)).to.deep.equal([0, 512, 0]);
    const { events } = (await (await fetch(`${engine.url}/v1/cache-events?after=0`)).json()) as {
      events: { kind: string }[];
    };
    expect(events.map(({ kind }) => kind)).to.deep.equal([
      'stored',
      'stored',
      'stored',
      'stored',
      'evicted',
      'evicted',
    ]);
  });

  it('resumes an interrupted stream after the events already received', async () => {
    await start();
    const body = createBody('resume', true);
    engine.faults.cutAfter = 3;
    const cut = await (await sendChat(engine, body)).text().catch(() => 'cut');
    engine.faults.cutAfter = -1;
    const rest = await (await fetch(`${engine.url}/v1/streams/call-1?after=3`)).text();
    expect(cut).to.equal('cut');
    expect(readContent(rest)).to.equal(
      createAnswerText(body.messages, 8).split(' ').slice(3).join(' '),
    );
  });

  it('cancels a stream and counts its prefilled tokens as thrown away', async () => {
    await start({ stepMs: 20 });
    const response = await sendChat(engine, createBody('cancel', true, 1_000));
    await response.body!.getReader().read();
    await fetch(`${engine.url}/v1/streams/call-1`, { method: 'DELETE' });
    const [call] = engine.calls;
    expect(call!.cancelled).to.equal(true);
    expect(call!.thrownAwayTokens).to.equal(call!.promptTokens);
    await response.body!.cancel().catch(() => undefined);
  });

  it('ends streams early or without their final event, on request', async () => {
    await start();
    engine.faults.truncateAfter = 2;
    const truncated = await (await sendChat(engine, createBody('t', true))).text();
    expect(truncated.split('\n\n').filter(Boolean)).to.have.length(2);
    engine.faults.truncateAfter = -1;
    engine.faults.omitDone = true;
    const open = await (await sendChat(engine, createBody('t', true), 'call-2')).text();
    expect(open).not.to.include('[DONE]');
  });

  it('announces a wrong length and loses answers on request', async () => {
    await start();
    engine.faults.wrongLength = true;
    const wrong = await (await sendChat(engine, createBody('w', false))).text().catch(() => 'cut');
    engine.faults.wrongLength = false;
    engine.faults.loseAnswers = 1;
    const lost = await sendChat(engine, createBody('l', false)).catch(() => 'lost');
    expect([wrong, lost]).to.deep.equal(['cut', 'lost']);
    expect(engine.calls.every(({ whole }) => whole)).to.equal(true);
  });

  function sendOrder(fencing: number) {
    return fetch(`${engine.url}/v1/orders`, {
      method: 'POST',
      body: JSON.stringify({ fencing, order: 'load', model: 'praline' }),
    });
  }

  async function checkOldOrder(checksFencing: boolean, status: number): Promise<void> {
    await start({ models: [], checksFencing });
    expect((await sendChat(engine, createBody('o', false))).status).to.equal(404);
    expect((await sendOrder(2)).status).to.equal(200);
    expect((await sendOrder(1)).status).to.equal(status);
    expect((await sendChat(engine, createBody('o', false))).status).to.equal(200);
  }

  it('refuses an old order if it checks fencing numbers', () => checkOldOrder(true, 409));
  it('accepts an old order if it does not check fencing numbers', () => checkOldOrder(false, 200));

  it('rejects unknown faults and reports its load with a delay', async () => {
    await start({ loadLagMs: 60_000 });
    const control = await fetch(`${engine.url}/_control`, { method: 'POST', body: '{"slow":2}' });
    expect(control.status).to.equal(400);
    await (await sendChat(engine, createBody('z', false))).text();
    const load = (await (await fetch(`${engine.url}/v1/load`)).json()) as { running: number };
    expect(load.running).to.equal(0);
  });
});
