/** Answers without a length, whose connection ends regularly with their server or without it. */
import { expect } from 'chai';
import { formatEvent, formatUnframedStreamHead, type Arrival, type Script } from './backend.js';
import { startDeployment, waitFor, waitUntil, type Deployment } from './harness.js';

const PLAIN_HEAD = 'HTTP/1.1 200 OK\r\nX-Masticbend-Server-Stamp: stamp\r\n\r\n';
const WHOLE = `${PLAIN_HEAD}whole`;
/** Larger than what an entry buffers until an answer is complete. */
const LARGE_BYTES = 400_000;
const EVENTS = 4;
/** Time in which a part of an answer has reached the entry. */
const PART_MS = 100;

function formatEvents(first: number, last: number): string {
  let text = '';
  for (let id = first; id <= last; id += 1) text += formatEvent(id);
  return text;
}

describe('an answer without a length', () => {
  let deployment: Deployment;
  let begun: Arrival[] = [];

  beforeEach(() => {
    begun = [];
  });

  afterEach(() => deployment.close());

  /** Answers with a part, and leaves the rest open. */
  function createPartScript(part: string): Script {
    return (arrival) => {
      begun.push(arrival);
      arrival.socket.write(part);
    };
  }

  /** Lets the server crash that has begun to answer; its connections end regularly. */
  async function stopServer(): Promise<void> {
    await waitUntil(() => begun.length > 0);
    await waitFor(PART_MS);
    const address = begun[0]!.socket.localPort;
    const crashed = deployment.backends.find((each) => each.address.endsWith(`:${address}`))!;
    // Whoever gets the request then answers it whole.
    for (const each of deployment.backends) {
      each.script = ({ headers, socket }) => {
        const after = Number(headers['last-event-id'] ?? 0);
        socket.end(
          after > 0 ? formatUnframedStreamHead() + formatEvents(after + 1, EVENTS) : WHOLE,
        );
      };
    }
    await crashed.close();
  }

  // The part that had come was delivered as a complete 200 (review/8).
  it('is no success where its server crashes', async () => {
    deployment = await startDeployment([createPartScript(`${PLAIN_HEAD}who`)]);
    const reply = deployment.call('/once/a');
    await stopServer();
    expect((await reply).status).to.equal(502);
  });

  it('is broken off where its server crashes and a part was relayed', async () => {
    const part = PLAIN_HEAD + 'x'.repeat(LARGE_BYTES);
    deployment = await startDeployment([createPartScript(part)]);
    const reply = deployment.call('/once/a');
    await stopServer();
    expect(await reply).to.include({ status: 200, broken: true });
  });

  it('comes from another server where its server crashes and it may be repeated', async () => {
    const script = createPartScript(`${PLAIN_HEAD}who`);
    deployment = await startDeployment([script, script]);
    const reply = deployment.call('/again/a');
    await stopServer();
    expect(await reply).to.include({ status: 200, body: 'whole' });
  });

  it('is no complete stream where its server crashes between two events', async () => {
    const part = formatUnframedStreamHead() + formatEvents(1, 2);
    deployment = await startDeployment([createPartScript(part)]);
    const reply = deployment.call('/stream/a');
    await stopServer();
    expect(await reply).to.include({ status: 200, body: formatEvents(1, 2), broken: true });
  });

  it('is resumed where its server crashes between two events', async () => {
    const script = createPartScript(formatUnframedStreamHead() + formatEvents(1, 2));
    deployment = await startDeployment([script, script]);
    const reply = deployment.call('/resume/a');
    await stopServer();
    const { status, body, broken } = await reply;
    expect({ status, body, broken }).to.deep.equal({
      status: 200,
      body: formatEvents(1, EVENTS),
      broken: undefined,
    });
  });

  it('is complete where its server stays there, with other connections and without', async () => {
    const script: Script = ({ line, socket }) => {
      if (line.includes('/slow/')) return;
      const isStream = line.includes('/stream/');
      socket.end(isStream ? formatUnframedStreamHead() + formatEvents(1, EVENTS) : WHOLE);
    };
    deployment = await startDeployment([script]);
    for (const others of [0, 1]) {
      const open = others > 0 && deployment.call('/open/slow/a');
      expect(await deployment.call('/once/a')).to.include({ status: 200, body: 'whole' });
      const stream = await deployment.call('/stream/a');
      expect(stream).to.include({ status: 200, body: formatEvents(1, EVENTS) });
      expect(stream).not.to.have.property('broken');
      if (open) await open;
    }
  });
});
