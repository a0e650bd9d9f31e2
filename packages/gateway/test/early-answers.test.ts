/**
 * Backend servers that answer before they have read the request, and servers whose status is none.
 * A caller gets a part of an answer never as a complete one.
 */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { expect } from 'chai';
import {
  createDocument,
  createRegistration,
  startDeployment,
  waitUntil,
  type Deployment,
  type Reply,
} from './harness.js';

const SIGNED = 'X-Masticbend-Server-Stamp: stamp\r\n';
const PART = 'a part of the answer';
const CHUNKED = `Transfer-Encoding: chunked\r\n\r\n${PART.length.toString(16)}\r\n${PART}\r\n`;
const BODY = 'x'.repeat(4 * 1024 * 1024 - 1);
const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 4 * 1024 * 1024,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};
/** Time between the part and the reset. */
const RESET_DELAYS_MS = [0, 30];

const PARTS: Readonly<Record<string, string>> = {
  'without a length': `HTTP/1.1 200 OK\r\n${SIGNED}\r\n${PART}`,
  'in chunks': `HTTP/1.1 200 OK\r\n${SIGNED}${CHUNKED}`,
  'with a length': `HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 500\r\n\r\n${PART}`,
};
const NO_STATUSES: Readonly<Record<string, string>> = {
  '000': `HTTP/1.1 000 None\r\n${SIGNED}Content-Length: 4\r\n\r\ndone`,
  '000 without a length': `HTTP/1.1 000 None\r\n${SIGNED}\r\ndone`,
  '099': `HTTP/1.1 099 None\r\n${SIGNED}Content-Length: 4\r\n\r\ndone`,
};

describe('answers that are none', () => {
  let deployment: Deployment;
  let server: Server;

  async function start(answer: (socket: Socket) => void): Promise<void> {
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => answer(socket));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    deployment = await startDeployment([() => undefined]);
    deployment.store.remove('servers', 'i-0');
    deployment.store.put('op', 'config', createDocument({ version: 4, limits: LIMITS }));
    deployment.store.put('servers', 'i-raw', createRegistration(`127.0.0.1:${port}`));
    await waitUntil(() => {
      const state = JSON.stringify(deployment.gateway.dump());
      return state.includes('i-raw') && !state.includes('i-0');
    });
  }

  function callOnce(body: string): Promise<Reply> {
    return deployment.call('/once/a', { body }).catch(() => ({
      status: 0,
      headers: {},
      body: '',
      broken: true,
    }));
  }

  afterEach(async () => {
    server.close();
    await deployment.close();
  });

  for (const [framing, text] of Object.entries(PARTS)) {
    for (const delayMs of RESET_DELAYS_MS) {
      // A caller got the part as a complete answer.
      it(`are failures: a part ${framing} during the upload, and a reset ${delayMs} ms later`, async () => {
        await start((socket) => {
          socket.write(text);
          setTimeout(() => socket.resetAndDestroy(), delayMs);
        });
        const { status, broken } = await callOnce(BODY);
        expect(broken === true || status >= 500, `status ${status}`).to.equal(true);
      });
    }
  }

  for (const [name, text] of Object.entries(NO_STATUSES)) {
    // A caller got it as an answer.
    it(`are failures: the status ${name}`, async () => {
      await start((socket) => socket.write(text, () => socket.end()));
      expect((await callOnce('x')).status).to.equal(502);
    });
  }
});
