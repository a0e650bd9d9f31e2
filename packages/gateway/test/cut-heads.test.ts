/** Answers that a server cuts at each of their bytes, by each way to end a connection. */
import type { Socket } from 'node:net';
import { expect } from 'chai';
import { REQUEST_ID_HEADER } from '@masticbend/platform/ingress';
import { formatAnswer, formatChunk, formatEvent, LAST_CHUNK, type Script } from './backend.js';
import { startDeployment, type Deployment } from './harness.js';

const BODY = 'done and whole';
const HEADERS = 'X-Masticbend-Server-Stamp: stamp\r\nX-Note: any';
const EVENTS = formatEvent(1) + formatEvent(2);

/** Whole answers by their forms; `ID` stands for the line that names the request. */
const PLAIN_ANSWERS: Readonly<Record<string, string>> = {
  'with a length': `HTTP/1.1 200 OK\r\nID\r\n${HEADERS}\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`,
  'of HTTP/1.0': `HTTP/1.0 200 OK\r\nID\r\n${HEADERS}\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`,
  'that announces the close': `HTTP/1.1 200 OK\r\nID\r\nConnection: close\r\n${HEADERS}\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`,
  'behind an interim answer': `HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nID\r\n${HEADERS}\r\nContent-Length: ${BODY.length}\r\n\r\n${BODY}`,
  'in chunks with a trailer': `HTTP/1.1 200 OK\r\nID\r\n${HEADERS}\r\nTransfer-Encoding: chunked\r\n\r\n${formatChunk(BODY)}0\r\nX-End: yes\r\n\r\n`,
};

const STREAM_ANSWERS: Readonly<Record<string, string>> = {
  'with a length': `HTTP/1.1 200 OK\r\nID\r\n${HEADERS}\r\nContent-Length: ${EVENTS.length}\r\n\r\n${EVENTS}`,
  'in chunks': `HTTP/1.1 200 OK\r\nID\r\n${HEADERS}\r\nTransfer-Encoding: chunked\r\n\r\n${formatChunk(EVENTS)}${LAST_CHUNK}`,
};

/** Heads of answers that end with their connection; a cut in their body shows no fault. */
const OPEN_HEADS: Readonly<Record<string, string>> = {
  'without a length': `HTTP/1.1 200 OK\r\nID\r\nConnection: close\r\n${HEADERS}\r\n\r\n`,
  'of HTTP/1.0 without a length': `HTTP/1.0 200 OK\r\nID\r\n${HEADERS}\r\n\r\n`,
};

const ENDS: Readonly<Record<string, (socket: Socket) => void>> = {
  'closes it': (socket) => socket.destroySoon(),
  'closes its sending side': (socket) => socket.end(),
  'resets it': (socket) => socket.resetAndDestroy(),
};

describe('an answer that is cut', () => {
  let deployment: Deployment;

  afterEach(() => deployment.close());

  /** Sends a request whose answer is cut, and another one, so that the server stays in use. */
  async function callCut(path: string, answer: string, cut: number, end: (socket: Socket) => void) {
    const { backends } = deployment;
    const [backend] = backends as [(typeof backends)[0]];
    const arrivals = backend.arrivals.length;
    const script: Script = ({ headers, socket }) => {
      const line = `${REQUEST_ID_HEADER}: ${headers[REQUEST_ID_HEADER]}`;
      const text = Buffer.from(answer.replace('ID', line).slice(0, cut));
      socket.write(text, () => end(socket));
    };
    backend.script = script;
    const reply = await deployment.call(path);
    expect(backend.arrivals).to.have.lengthOf(arrivals + 1);
    backend.script = ({ socket }) => socket.write(formatAnswer(200, 'done'));
    expect((await deployment.call('/once/next')).status).to.equal(200);
    return reply;
  }

  function countBytes(answer: string): number {
    return answer.replace('ID', `${REQUEST_ID_HEADER}: a1`).length;
  }

  async function startServer(): Promise<void> {
    deployment = await startDeployment([({ socket }) => socket.write(formatAnswer(200, 'done'))]);
  }

  for (const [ending, end] of Object.entries(ENDS)) {
    // Another operator's clients got a 200 with an empty or short body, framed as whole.
    for (const [form, answer] of Object.entries(PLAIN_ANSWERS)) {
      it(`is no success, ${form}, where the server ${ending}`, async () => {
        await startServer();
        for (let cut = 1; cut < countBytes(answer); cut += 1) {
          const { status } = await callCut('/once/a', answer, cut, end);
          expect(status, `after ${cut} bytes`).to.equal(502);
        }
      });
    }

    for (const [form, answer] of Object.entries(STREAM_ANSWERS)) {
      it(`is no complete stream, ${form}, where the server ${ending}`, async () => {
        await startServer();
        for (let cut = 1; cut < countBytes(answer); cut += 1) {
          const { status, broken = false } = await callCut('/stream/a', answer, cut, end);
          expect(status === 502 || broken, `after ${cut} bytes: ${status}`).to.equal(true);
        }
      });
    }

    for (const [form, head] of Object.entries(OPEN_HEADS)) {
      it(`is no success, ${form}, where the server ${ending} within the head`, async () => {
        await startServer();
        for (let cut = 1; cut < countBytes(head); cut += 1) {
          for (const path of ['/once/a', '/stream/a']) {
            const { status } = await callCut(path, head, cut, end);
            expect(status, `${path} after ${cut} bytes`).to.equal(502);
          }
        }
      });
    }
  }
});
