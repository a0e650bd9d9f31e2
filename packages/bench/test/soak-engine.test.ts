/** The engines of the soak test: pauses, and requests that crash them. */
import { request as send } from 'undici';
import { expect } from 'chai';
import { EXPECTED_SERVER_HEADER, REQUEST_ID_HEADER } from '@masticbend/platform/ingress';
import { formatEvents, startEngine, type SoakEngine } from '../src/soak/engine.js';
import { startRelay, type Relay } from '../src/soak/relay.js';

const HOST = '127.0.0.1';
/** Between the second and the third event of a stream. */
const PAUSE_AFTER_MS = 100;
const PAUSE_MS = 400;

function wait(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

describe('engine of the soak', () => {
  let engine: SoakEngine;
  let relay: Relay;

  beforeEach(async () => {
    engine = await startEngine('i-0', HOST, 'v0', () => 0.9);
    relay = await startRelay(HOST, engine.address);
  });
  afterEach(() => {
    relay.close();
    engine.close();
  });

  function sendRequest(path: string, requestBody: string) {
    return send(`http://${relay.address}${path}`, {
      method: 'POST',
      headers: { [REQUEST_ID_HEADER]: 'r1', [EXPECTED_SERVER_HEADER]: 'i-0' },
      body: requestBody,
    });
  }

  async function checkPause(cutsChunks: boolean): Promise<void> {
    const { body } = await sendRequest('/stream/x', 'order');
    let text = '';
    body.on('data', (bytes: Buffer) => {
      text += bytes.toString();
    });
    const ended = new Promise((resolve) => {
      body.on('end', resolve);
    });
    await wait(PAUSE_AFTER_MS);
    engine.faults.isPaused = true;
    relay.pause(cutsChunks);
    await wait(PAUSE_MS / 2);
    const before = text;
    expect(before.endsWith('\n\n')).to.equal(!cutsChunks);
    await wait(PAUSE_MS / 2);
    expect(text).to.equal(before);
    engine.faults.isPaused = false;
    relay.resume();
    await ended;
    expect(text).to.equal(formatEvents('r1', 'v0'));
  }

  it('falls silent between events and goes on', () => checkPause(false));

  it('falls silent inside an event and goes on', () => checkPause(true));

  it('crashes under each run of a crashing request', async () => {
    const causes: string[] = [];
    engine.handlers.crash = (cause) => {
      causes.push(cause);
      relay.resetConnections();
    };
    const failed = await sendRequest('/again/x', 'crash /again/').catch((error: Error) => error);
    expect(failed).to.be.instanceOf(Error);
    const { body } = await sendRequest('/again/x', 'order');
    expect(await body.text()).to.equal('answer to r1');
    expect(causes).to.deep.equal(['crash /again/']);
  });
});
