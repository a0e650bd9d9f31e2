/**
 * Bytes without end: from backend servers in a head or a body, fast or slowly, and from callers.
 * The entry ends them within bounds of bytes and time, and answers the caller within its deadline.
 */
import { connect, type Socket } from 'node:net';
import { expect } from 'chai';
import { parseAddress } from '@masticbend/settings/address';
import {
  formatAnswer,
  formatChunk,
  formatEvent,
  formatStreamHead,
  formatUnframedStreamHead,
  type Arrival,
  type Script,
} from './backend.js';
import { writeEndlessly, writeSlowly } from './endless-bytes.js';
import { startDeployment, waitFor, waitUntil, type Deployment, type Reply } from './harness.js';

/** Time limit of the callers, and the time after it by which they must be answered. */
const DEADLINE_MS = 1_500;
const ANSWER_TOLERANCE_MS = 300;
/** Growth of the memory that is allowed while bytes arrive. */
const MAX_GROWTH_BYTES = 64 * 1024 * 1024;
/** Bytes that a server gets rid of: those of the largest answer, and in the buffers on the way. */
const MAX_TAKEN_BYTES = 32 * 1024 * 1024;
const PIECE = Buffer.alloc(64 * 1024, 'a');

const PLAIN_HEAD = 'HTTP/1.1 200 OK\r\nX-Masticbend-Server-Stamp: stamp\r\n';
const NUL_BYTES = Buffer.alloc(64 * 1024, 0);

const ANSWERS: Readonly<Record<string, Script>> = {
  'of no protocol': ({ socket }) => writeEndlessly(socket, NUL_BYTES),
  'in the status line': ({ socket }) => {
    socket.write('HTTP/1.1 200 ');
    writeEndlessly(socket, PIECE);
  },
  'in one header': ({ socket }) => {
    socket.write(`${PLAIN_HEAD}X-Long: `);
    writeEndlessly(socket, PIECE);
  },
  'in headers': ({ socket }) => {
    socket.write(PLAIN_HEAD);
    writeEndlessly(socket, 'X-More: 1\r\n'.repeat(500));
  },
  'in heads of no final answer': ({ socket }) =>
    writeEndlessly(socket, 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(100)),
  'in a head, slowly': ({ socket }) => {
    socket.write(`${PLAIN_HEAD}X-Long: `);
    writeSlowly(socket, 'a');
  },
  'in a body without length': ({ socket }) => {
    socket.write(`${PLAIN_HEAD}\r\n`);
    writeEndlessly(socket, PIECE);
  },
  'in a body in chunks': ({ socket }) => {
    socket.write(`${PLAIN_HEAD}Transfer-Encoding: chunked\r\n\r\n`);
    writeEndlessly(socket, formatChunk(PIECE.toString()));
  },
  'in a body with a huge length': ({ socket }) => {
    socket.write(`${PLAIN_HEAD}Content-Length: 999999999999\r\n\r\n`);
    writeEndlessly(socket, PIECE);
  },
  'in a body, slowly': ({ socket }) => {
    socket.write(`${PLAIN_HEAD}\r\n`);
    writeSlowly(socket, 'a');
  },
  'in the extension of a chunk': ({ socket }) => {
    socket.write(`${PLAIN_HEAD}Transfer-Encoding: chunked\r\n\r\n5;x=`);
    writeEndlessly(socket, PIECE);
  },
  'in trailers': ({ socket }) => {
    socket.write(`${PLAIN_HEAD}Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n`);
    writeEndlessly(socket, 'X-More: 1\r\n'.repeat(500));
  },
};

const STREAMS: Readonly<Record<string, Script>> = {
  'in one event': ({ socket }) => {
    socket.write(`${formatUnframedStreamHead()}${formatEvent(1)}data: `);
    writeEndlessly(socket, PIECE);
  },
  'in one event of many lines': ({ socket }) => {
    socket.write(`${formatStreamHead()}${formatChunk(formatEvent(1))}`);
    writeEndlessly(socket, formatChunk('data: a\n'.repeat(2_000)));
  },
  'in one event, slowly': ({ socket }) => {
    socket.write(`${formatUnframedStreamHead()}${formatEvent(1)}data: `);
    writeSlowly(socket, 'a'.repeat(200));
  },
  'in events': ({ socket }) => {
    socket.write(formatUnframedStreamHead());
    writeEndlessly(socket, formatEvent(1).repeat(500));
  },
};

describe('bytes without end', () => {
  let deployment: Deployment;

  async function start(script: Script): Promise<void> {
    deployment = await startDeployment([script]);
  }

  /** Calls and returns the reply, its duration, and the largest growth of the memory meanwhile. */
  async function callMeasured(path: string) {
    const before = process.memoryUsage().rss;
    let growth = 0;
    const timer = setInterval(() => {
      growth = Math.max(growth, process.memoryUsage().rss - before);
    }, 20);
    const startedAt = performance.now();
    const reply: Reply = await deployment.call(path, {
      headers: { 'x-masticbend-deadline-ms': String(DEADLINE_MS) },
    });
    clearInterval(timer);
    return { reply, durationMs: performance.now() - startedAt, growth };
  }

  async function checkBounds(path: string): Promise<void> {
    const { reply, durationMs, growth } = await callMeasured(path);
    expect(durationMs).to.be.below(DEADLINE_MS + ANSWER_TOLERANCE_MS);
    expect(reply.broken === true || reply.status >= 500, `status ${reply.status}`).to.equal(true);
    expect(growth).to.be.below(MAX_GROWTH_BYTES);
    const { arrivals } = deployment.backends[0]!;
    await waitUntil(() => arrivals.every(({ closed }) => closed));
    for (const { socket } of arrivals) expect(socket.bytesWritten).to.be.below(MAX_TAKEN_BYTES);
  }

  afterEach(() => deployment.close());

  for (const [place, script] of Object.entries(ANSWERS)) {
    // A server in trouble sends until its connection is closed; memory and time must stay bounded.
    it(`from a server ${place} end within bounds`, async () => {
      await start(script);
      await checkBounds('/once/a');
    });
  }

  for (const [place, script] of Object.entries(STREAMS)) {
    it(`from a server ${place} of a stream end within bounds`, async () => {
      await start(script);
      await checkBounds('/stream/a');
    });
  }

  it('from a server count as failures, so that others are preferred', async () => {
    const ok: Script = ({ socket }) => socket.write(formatAnswer(200, 'done'));
    deployment = await startDeployment([ANSWERS['of no protocol']!, ok]);
    const statuses: number[] = [];
    for (let index = 0; index < 12; index += 1) {
      statuses.push((await deployment.call('/again/a')).status);
    }
    expect(statuses.every((status) => status === 200)).to.equal(true);
    expect(deployment.backends[0]!.arrivals.length).to.be.at.most(3);
  });

  const CALLS: Readonly<Record<string, (socket: Socket) => void>> = {
    head(socket) {
      socket.write('POST /once/a HTTP/1.1\r\nHost: desk.example\r\nX-Long: ');
      writeEndlessly(socket, PIECE);
    },
    body(socket) {
      socket.write(
        'POST /once/a HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n',
      );
      writeEndlessly(socket, formatChunk(PIECE.toString()));
    },
  };
  function addCallerTest(place: string, send: (socket: Socket) => void): void {
    it(`from a caller in a ${place} are answered and its connection closed`, async () => {
      const arrivals: Arrival[] = [];
      await start((arrival) => arrivals.push(arrival));
      const { host, port } = parseAddress(deployment.settings.callerAddress);
      const before = process.memoryUsage().rss;
      const socket = connect(port, host);
      const received = { text: '', isClosed: false };
      socket.on('data', (bytes) => {
        received.text += bytes.toString();
      });
      socket.on('error', () => undefined);
      socket.on('close', () => {
        received.isClosed = true;
      });
      send(socket);
      await waitUntil(() => received.isClosed);
      await waitFor(50);
      expect(received.text).to.match(/^HTTP\/1\.1 (413|431) /);
      expect(process.memoryUsage().rss - before).to.be.below(MAX_GROWTH_BYTES);
      expect(arrivals).to.deep.equal([]);
    });
  }

  for (const [place, send] of Object.entries(CALLS)) addCallerTest(place, send);
});
