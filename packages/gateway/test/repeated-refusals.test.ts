/** Servers that write an earlier refusal once more on a connection that is kept. */
import { expect } from 'chai';
import { formatAnswer, type Arrival, type Script } from './backend.js';
import { startDeployment, waitFor, type Deployment } from './harness.js';

const SETTLING_MS = 50;
const NOT_RUN = 'X-Masticbend-Not-Executed: 1';
const LEAVING = 'Server-Leaving: 1';

/** Returns a refusal that names a request, or none, and no id but that. */
function formatRefusal(id?: string, headers: string[] = []): Buffer {
  const echoed = id === undefined ? [] : [`X-Masticbend-Attempt-Id: ${id}`];
  return Buffer.from(formatAnswer(503, 'busy', [NOT_RUN, ...echoed, ...headers]));
}

describe('a refusal that a server writes once more', () => {
  let deployment: Deployment;

  async function start(script: Script): Promise<void> {
    deployment = await startDeployment([script]);
  }

  function answer({ socket }: Arrival): void {
    socket.write(formatAnswer(200, 'done'));
  }

  function call(path: string, id: string) {
    return deployment.call(path, { headers: { 'x-masticbend-attempt-id': id } });
  }

  function countArrivals(): number {
    return deployment.backends[0]!.arrivals.length;
  }

  afterEach(() => deployment.close());

  // Callers were told that a request which ran had not run.
  it('is no answer to a later request where it has no id', async () => {
    await start((arrival, index) => {
      if (index === 1) arrival.socket.write(formatRefusal());
      else answer(arrival);
    });
    expect((await call('/once/a', 'a1')).status).to.equal(200);
    expect((await call('/once/a', 'a2')).status).to.equal(502);
    expect(countArrivals()).to.equal(2);
  });

  it('is no answer to a later request where it has the id of the earlier one', async () => {
    await start((arrival, index) => {
      if (index === 1) arrival.socket.write(formatRefusal('a1'));
      else answer(arrival);
    });
    expect((await call('/once/a', 'a1')).status).to.equal(200);
    expect((await call('/once/a', 'a2')).status).to.equal(502);
    expect(countArrivals()).to.equal(2);
  });

  // A connection that was refused on is not used again, so that a repeat finds no request.
  it('meets no request on the connection of the first one', async () => {
    await start((arrival, index) => {
      if (index > 0) answer(arrival);
      else arrival.socket.write(Buffer.concat([formatRefusal('a1'), formatRefusal('a1')]));
    });
    expect((await call('/once/a', 'a1')).status).to.equal(503);
    await waitFor(SETTLING_MS);
    const { arrivals } = deployment.backends[0]!;
    expect(arrivals[0]!.closed).to.equal(true);
    expect((await call('/once/a', 'a1')).status).to.equal(200);
    expect(arrivals[1]!.socket).not.to.equal(arrivals[0]!.socket);
  });

  // The library could take bytes on an idle connection for the answer to the next request.
  for (const delayMs of [0, SETTLING_MS]) {
    it(`ends the connection where it follows an answer after ${delayMs} ms`, async () => {
      await start(({ socket }, index) => {
        const repeated = index === 0 ? formatRefusal('a2') : Buffer.alloc(0);
        const first = Buffer.from(
          formatAnswer(200, 'done', [`X-Masticbend-Attempt-Id: a${index + 1}`]),
        );
        if (delayMs === 0) {
          socket.write(Buffer.concat([first, repeated]));
        } else {
          socket.write(first);
          setTimeout(() => socket.write(repeated), delayMs);
        }
      });
      expect((await call('/once/a', 'a1')).status).to.equal(200);
      await waitFor(2 * delayMs);
      expect((await call('/once/a', 'a2')).status).to.equal(200);
      expect(countArrivals()).to.equal(2);
    });
  }

  // Another server's request was the reason for the notice, or an earlier life of this one.
  it('says nothing about the server where it belongs to another request', async () => {
    await start((arrival, index) => {
      if (index === 0) arrival.socket.write(formatRefusal('b9', [LEAVING]));
      else answer(arrival);
    });
    expect((await call('/once/a', 'a1')).status).to.equal(502);
    expect((await call('/once/a', 'a2')).status).to.equal(200);
  });
});
