/** Callers of HTTP/1.0, whose answers have no chunks and end with the connection. */
import { expect } from 'chai';
import { connect } from 'node:net';
import { formatChunk, formatEvent, formatStreamHead, LAST_CHUNK, type Script } from './backend.js';
import { HOST, KEY, startDeployment, waitUntil, type Deployment } from './harness.js';

/** Time between an event and the end of its connection, so that the caller has read the event. */
const BREAK_DELAY_MS = 50;

interface RawAnswer {
  text: string;
  /** How the connection ended; undefined while it is open. */
  end?: 'regular' | 'reset';
}

/** Sends a request and collects the answer until its connection ends. */
function sendOldRequest(deployment: Deployment, path: string): RawAnswer {
  const [host, port] = deployment.settings.callerAddress.split(':');
  const answer: RawAnswer = { text: '' };
  const socket = connect(Number(port), host);
  socket.write(
    `POST ${path} HTTP/1.0\r\nHost: ${HOST}\r\nX-Masticbend-Key: ${KEY}\r\n` +
      'X-Masticbend-Attempt-Id: a1\r\n\r\n',
  );
  socket.on('data', (chunk) => {
    answer.text += chunk.toString();
  });
  socket.on('error', () => {
    answer.end = 'reset';
  });
  socket.on('end', () => {
    answer.end ??= 'regular';
  });
  return answer;
}

describe('callers of HTTP/1.0', () => {
  let deployment: Deployment;

  afterEach(() => deployment.close());

  const sendEvent: Script = ({ socket }) =>
    socket.write(`${formatStreamHead()}${formatChunk(formatEvent(1))}`);

  it('get a complete stream with a regular end of the connection', async () => {
    deployment = await startDeployment([
      (arrival, index) => {
        sendEvent(arrival, index);
        arrival.socket.write(LAST_CHUNK);
      },
    ]);
    const answer = sendOldRequest(deployment, '/stream/a');
    await waitUntil(() => answer.end !== undefined);
    expect(answer.end).to.equal('regular');
    expect(answer.text.endsWith(formatEvent(1))).to.equal(true);
  });

  // A broken-off answer must not end like a complete one, which ends with its connection.
  it('get a reset when a stream breaks off', async () => {
    deployment = await startDeployment([
      (arrival, index) => {
        sendEvent(arrival, index);
        setTimeout(() => arrival.socket.destroy(), BREAK_DELAY_MS);
      },
    ]);
    const answer = sendOldRequest(deployment, '/stream/a');
    await waitUntil(() => answer.end !== undefined);
    expect(answer.end).to.equal('reset');
  });

  it('get a reset when the entry stops within a stream', async () => {
    deployment = await startDeployment([sendEvent]);
    const answer = sendOldRequest(deployment, '/stream/a');
    await waitUntil(() => answer.text.includes('id: 1'));
    await deployment.gateway.kill();
    await waitUntil(() => answer.end !== undefined);
    expect(answer.end).to.equal('reset');
  });
});
