/** What callers get, and what backend servers see, for each kind of route and failure. */
import { expect } from 'chai';
import { connect } from 'node:net';
import {
  formatAnswer,
  formatChunk,
  formatEvent,
  formatStreamHead,
  LAST_CHUNK,
  type Arrival,
  type Script,
} from './backend.js';
import {
  HOST,
  KEY,
  waitFor,
  startDeployment,
  waitUntil,
  type Deployment,
  type Reply,
} from './harness.js';

/** Time within which a request that is given up is answered, in milliseconds. */
const AT_ONCE_MS = 500;
/** Time within which work must end after its caller left, in milliseconds. */
const LEAVE_LIMIT_MS = 500;

const answerWell: Script = ({ socket, headers }) =>
  socket.write(
    formatAnswer(200, 'done', [`X-Masticbend-Attempt-Id: ${headers['x-masticbend-attempt-id']}`]),
  );
const reset: Script = ({ socket }) => socket.resetAndDestroy();
const fail: Script = ({ socket }) => socket.write(formatAnswer(500, 'failed'));
const refuse: Script = ({ socket }) =>
  socket.write('HTTP/1.1 503 Full\r\nX-Masticbend-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n');
const stayMute: Script = () => undefined;

function writeEvents({ socket }: Arrival, first: number, last: number): void {
  for (let id = first; id <= last; id += 1) socket.write(formatChunk(formatEvent(id)));
}

function formatEvents(first: number, last: number): string {
  return Array.from({ length: last - first + 1 }, (_, index) => formatEvent(first + index)).join(
    '',
  );
}

describe('answers of an entry', () => {
  let deployment: Deployment;

  async function start(...scripts: Script[]): Promise<Deployment> {
    deployment = await startDeployment(scripts);
    return deployment;
  }

  function countArrivals(): number {
    return deployment.backends.reduce((sum, { arrivals }) => sum + arrivals.length, 0);
  }

  afterEach(() => deployment.close());

  it('pass a request on under the name of its account, and the answer back unchanged', async () => {
    await start(answerWell);
    const reply = await deployment.call('/once/a?b=c', {
      body: 'order',
      headers: { 'x-masticbend-tenant': 'forged' },
    });
    expect(reply).to.include({ status: 200, body: 'done' });
    expect(reply.headers['x-masticbend-server-stamp']).to.equal('stamp');
    const { line, headers, body } = deployment.backends[0]!.arrivals[0]!;
    expect(line).to.equal('POST /once/a?b=c HTTP/1.1');
    expect(body).to.equal('order');
    expect(headers).to.include({
      host: HOST,
      'x-masticbend-tenant': 'bakery',
      'x-masticbend-expect-instance': 'i-0',
    });
    expect(headers).not.to.have.property('x-masticbend-key');
    expect(Number(headers['x-masticbend-deadline-ms'])).to.be.within(1_000, 1_500);
  });

  it('refuse unknown keys, hosts and paths', async () => {
    await start(answerWell);
    const unknown = await deployment.call('/once/a', { headers: { 'x-masticbend-key': 'other' } });
    const path = await deployment.call('/none/a');
    const host = await deployment.call('/once/a', { headers: { host: 'other.example' } });
    const open = await deployment.call('/open/a', { headers: { 'x-masticbend-key': 'other' } });
    expect([unknown, path, host, open].map(({ status }) => status)).to.deep.equal([
      401, 404, 404, 200,
    ]);
  });

  it('repeat what may run again, on another server', async () => {
    await start(fail, fail);
    const both = await deployment.call('/again/a', { method: 'GET' });
    expect(both).to.include({ status: 500, body: 'failed' });
    expect(deployment.backends.map(({ arrivals }) => arrivals.length)).to.deep.equal([1, 1]);
    let calls = 0;
    const failFirst: Script = (arrival, index) => {
      calls += 1;
      (calls === 1 ? fail : answerWell)(arrival, index);
    };
    for (const backend of deployment.backends) backend.script = failFirst;
    expect(await deployment.call('/again/a', { method: 'GET' })).to.include({ status: 200 });
    expect(calls).to.equal(2);
  });

  it('never repeat what may run once, and promise nothing about it', async () => {
    await start(reset, reset);
    const reply = await deployment.call('/once/a', { body: 'order' });
    expect(reply.status).to.equal(502);
    expect(reply.headers).not.to.have.property('retry-after');
    expect(reply.headers).not.to.have.property('x-masticbend-server-stamp');
    expect(countArrivals()).to.equal(1);
  });

  it('say not run when the server says so, with when to come back', async () => {
    await start(refuse);
    const reply = await deployment.call('/once/a', { body: 'order' });
    expect(reply.status).to.equal(503);
    expect(Number(reply.headers['retry-after'])).to.be.above(0);
    expect(reply.headers).not.to.have.property('x-masticbend-server-stamp');
  });

  it('leave out a server that is not the one meant, until its registration changes', async () => {
    const misdirect: Script = ({ socket }) => socket.write(formatAnswer(421, 'other'));
    await start(misdirect);
    expect((await deployment.call('/once/a')).status).to.equal(503);
    await waitFor(100);
    expect((await deployment.call('/once/a')).status).to.equal(503);
    expect(countArrivals()).to.equal(1);
    deployment.backends[0]!.script = answerWell;
    deployment.writeServer(0, { born: 2 });
    await waitUntil(async () => (await deployment.call('/once/a')).status === 200);
  });

  it('never pass on an answer that belongs to another request or bears no signature', async () => {
    await start(({ socket }) =>
      socket.write(formatAnswer(200, 'other', ['X-Masticbend-Attempt-Id: b2'])),
    );
    expect((await deployment.call('/once/a')).status).to.equal(502);
    deployment.backends[0]!.script = ({ socket }) =>
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok');
    expect((await deployment.call('/once/a')).status).to.equal(502);
  });

  it('never pass on a truncated answer as whole, and ignore bytes after a whole one', async () => {
    await start(({ socket }) => {
      socket.write(formatAnswer(200, 'done').slice(0, -1));
      socket.end();
    });
    expect((await deployment.call('/once/a')).status).to.equal(502);
    deployment.backends[0]!.script = ({ socket }) =>
      socket.write(`${formatAnswer(200, 'done')}${formatAnswer(200, 'again')}`);
    expect(await deployment.call('/once/a')).to.include({ status: 200, body: 'done' });
    deployment.backends[0]!.script = answerWell;
    expect(await deployment.call('/once/a')).to.include({ status: 200, body: 'done' });
  });

  it('pass on an answer that ends with its connection', async () => {
    await start(({ socket }) =>
      socket.end('HTTP/1.1 200 OK\r\nX-Masticbend-Server-Stamp: s\r\n\r\nwhole'),
    );
    expect(await deployment.call('/once/a')).to.include({ status: 200, body: 'whole' });
  });

  it('never pass on as whole an answer without a length that was reset', async () => {
    await start(({ socket }) => {
      socket.write('HTTP/1.1 200 OK\r\nX-Masticbend-Server-Stamp: s\r\n\r\npart');
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
    expect((await deployment.call('/once/a')).status).to.equal(502);
    deployment.backends[0]!.script = ({ socket }) => {
      socket.write('HTTP/1.1 200 OK\r\nX-Masticbend-Server-Stamp: s\r\n\r\npart');
      setImmediate(() => socket.resetAndDestroy());
    };
    expect((await deployment.call('/once/a')).status).to.equal(502);
    expect(await deployment.call('/stream/a')).to.satisfy(
      ({ status, broken }: Reply) => status !== 200 || broken === true,
    );
  });

  it('end at the route’s time limit: sent requests unknown, others not run', async () => {
    await start(stayMute);
    const startedAt = performance.now();
    expect((await deployment.call('/short/a')).status).to.equal(504);
    expect(performance.now() - startedAt).to.be.within(290, 800);
  });

  it('go to another server when a connection is refused', async () => {
    await start(answerWell, answerWell);
    await deployment.backends[0]!.close();
    for (let count = 0; count < 6; count += 1) {
      expect((await deployment.call('/once/a')).status).to.equal(200);
    }
  });

  it('pass events on as they come, and break off a stream that broke off', async () => {
    await start((arrival) => {
      arrival.socket.write(formatStreamHead());
      writeEvents(arrival, 1, 3);
      setTimeout(() => arrival.socket.destroy(), 50);
    });
    const reply = await deployment.call('/stream/a');
    expect(reply).to.include({ status: 200, body: formatEvents(1, 3), broken: true });
    expect(countArrivals()).to.equal(1);
  });

  it('go on with a resumable stream after the last whole event', async () => {
    const script: Script = (arrival) => {
      const after = Number(arrival.headers['last-event-id'] ?? 0);
      arrival.socket.write(formatStreamHead());
      if (after > 0) {
        writeEvents(arrival, after + 1, 6);
        arrival.socket.write(LAST_CHUNK);
        return;
      }
      writeEvents(arrival, 1, 3);
      arrival.socket.write(formatChunk('id: 4\ndata: to'));
      setTimeout(() => arrival.socket.destroy(), 30);
    };
    await start(script, script);
    const reply = await deployment.call('/resume/a');
    expect(reply).to.include({ status: 200, body: formatEvents(1, 6) });
    expect(reply).not.to.have.property('broken');
    expect(countArrivals()).to.equal(2);
  });

  it('go on elsewhere when a resumable stream falls silent', async () => {
    const script: Script = (arrival) => {
      const after = Number(arrival.headers['last-event-id'] ?? 0);
      arrival.socket.write(formatStreamHead());
      writeEvents(arrival, after + 1, after + 2);
      if (after > 0) arrival.socket.write(LAST_CHUNK);
    };
    await start(script, script);
    const reply = await deployment.call('/resume/a', {
      headers: { 'x-masticbend-deadline-ms': '5000' },
    });
    expect(reply).to.include({ status: 200, body: formatEvents(1, 4) });
  });

  it('break off a stream whose continuation fails elsewhere, and serve on', async () => {
    const script: Script = (arrival) => {
      if (arrival.headers['last-event-id'] !== undefined) {
        arrival.socket.write(formatAnswer(500, 'failed'));
        return;
      }
      arrival.socket.write(formatStreamHead());
      writeEvents(arrival, 1, 2);
      setTimeout(() => arrival.socket.destroy(), 30);
    };
    await start(script, script);
    const startedAt = performance.now();
    const reply = await deployment.call('/resume/a');
    expect(reply).to.include({ status: 200, body: formatEvents(1, 2), broken: true });
    expect(performance.now() - startedAt).to.be.below(AT_ONCE_MS);
    for (const backend of deployment.backends) backend.script = answerWell;
    expect((await deployment.call('/once/a')).status).to.equal(200);
  });

  it('end the work of a caller that left', async () => {
    await start((arrival) => {
      arrival.socket.write(formatStreamHead());
      writeEvents(arrival, 1, 1);
    });
    const controller = new AbortController();
    const call = deployment.call('/stream/a', { signal: controller.signal });
    await waitUntil(() => countArrivals() === 1);
    await waitFor(30);
    const leftAt = performance.now();
    controller.abort();
    await call.catch(() => undefined);
    await waitUntil(() => deployment.backends[0]!.arrivals[0]!.closed);
    expect(performance.now() - leftAt).to.be.below(LEAVE_LIMIT_MS);
  });

  it('do not read a request into another one’s body', async () => {
    await start(answerWell);
    const [host, port] = deployment.settings.callerAddress.split(':');
    const socket = connect(Number(port), host);
    const smuggled = 'POST /once/b HTTP/1.1\r\nHost: x\r\n\r\n';
    socket.write(
      `POST /once/a HTTP/1.1\r\nHost: ${HOST}\r\nX-Masticbend-Key: ${KEY}\r\n` +
        `Content-Length: ${smuggled.length}\r\nTransfer-Encoding: chunked\r\n\r\n` +
        `0\r\n\r\n${smuggled}`,
    );
    let text = '';
    socket.on('data', (piece) => {
      text += piece.toString();
    });
    await new Promise((resolve) => {
      socket.once('close', resolve);
    });
    expect(text).to.match(/^HTTP\/1.1 400/);
    expect(countArrivals()).to.equal(0);
  });
});
