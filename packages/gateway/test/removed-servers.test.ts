/** Requests at a server that leaves the list while they run or wait for a connection to it. */
import { expect } from 'chai';
import { formatAnswer, type Arrival, type Script } from './backend.js';
import { HOST, startDeployment, waitFor, waitUntil, type Deployment } from './harness.js';

const DEADLINE_MS = 8_000;
/** More requests than an entry opens connections to one server. */
const REQUESTS = 60;
const CONNECTIONS = 40;
/** Bound of the entry's reads of the list, and time in which a change of it is applied. */
const FAST_LIST_MS = 200;
const CHANGE_DELAY_MS = 500;
const ROUTE = {
  name: 'long',
  host: HOST,
  prefix: '/long/',
  route_kind: 'non_idempotent',
  service: 'plain',
  anonymous: true,
  timeout_ms: DEADLINE_MS,
  slo_ms: DEADLINE_MS,
};

const answer: Script = ({ socket }) => socket.write(formatAnswer(200, 'done'));

describe('requests at a server that is removed from the list', () => {
  let deployment: Deployment;
  let open: Arrival[] = [];

  beforeEach(async () => {
    open = [];
    const bounds = { leavingMs: FAST_LIST_MS };
    deployment = await startDeployment([answer, answer], { bounds });
    deployment.store.remove('servers', 'i-1');
    deployment.writeServer(0, { slots: REQUESTS });
    deployment.writeConfiguration({ version: 4, routes: [ROUTE] });
    await waitUntil(async () => (await deployment.call('/long/a')).status === 200);
    await waitFor(CHANGE_DELAY_MS);
    deployment.backends[0]!.script = (arrival) => open.push(arrival);
  });

  afterEach(() => deployment.close());

  /** Requests that the entry has read and placed. */
  function countOpen(): number {
    return (deployment.gateway.dump() as { requests: { open: number } }).requests.open;
  }

  /**
   * Sends more requests than the server has connections, changes its registration, and lets it
   * answer; returns how many of them were served and how many were refused as not run.
   */
  async function countAnswers(
    changeList: () => void,
  ): Promise<{ served: number; refused: number }> {
    const headers = { 'x-masticbend-deadline-ms': String(DEADLINE_MS) };
    const calls = Array.from({ length: REQUESTS }, () => deployment.call('/long/a', { headers }));
    await waitUntil(() => open.length === CONNECTIONS && countOpen() === REQUESTS);
    changeList();
    await waitFor(CHANGE_DELAY_MS);
    deployment.backends[0]!.script = answer;
    open.forEach((arrival, index) => answer(arrival, index));
    const statuses = (await Promise.all(calls)).map(({ status }) => status);
    const count = (status: number) => statuses.filter((each) => each === status).length;
    return { served: count(200), refused: count(503) };
  }

  // The connections of a server must not close before the requests that were sent there end.
  it('are answered if they were sent, and refused as not run if they wait', async () => {
    const answers = await countAnswers(() => deployment.writeServer(0, { slots: 'many' }));
    expect(answers).to.deep.equal({ served: CONNECTIONS, refused: REQUESTS - CONNECTIONS });
    expect(open).to.have.lengthOf(CONNECTIONS);
  });

  it('are all answered where it is replaced', async () => {
    const answers = await countAnswers(() => {
      deployment.writeServer(0, { slots: REQUESTS, born: 2 });
    });
    expect(answers).to.deep.equal({ served: REQUESTS, refused: 0 });
  });

  // They waited for a connection, were sent to the server long after it had begun to drain, and
  // were lost when it ended (review/13).
  it('go to another one if they wait while it drains', async () => {
    let sentBefore = 0;
    const answers = await countAnswers(() => {
      sentBefore = deployment.backends[0]!.arrivals.length;
      deployment.writeServer(0, { slots: REQUESTS, state: 'draining' });
      deployment.writeServer(1, { slots: REQUESTS });
    });
    expect(answers).to.deep.equal({ served: REQUESTS, refused: 0 });
    expect(deployment.backends[0]!.arrivals).to.have.lengthOf(sentBefore);
    expect(deployment.backends[1]!.arrivals).to.have.lengthOf(REQUESTS - CONNECTIONS);
  });
});
