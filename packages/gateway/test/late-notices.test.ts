/** Notices of a server that arrive when its next incarnation is registered. */
import { expect } from 'chai';
import { createVirtualClock } from '@masticbend/kernel/clock';
import { createSilentLogger } from '@masticbend/kernel/log';
import { createServerPool, type ServerPool } from '@masticbend/scheduling/server-pool';
import { ServerState, type BackendServer } from '@masticbend/settings/routing';
import { createServerNotices, type ServerNotices } from '../src/server-notices.js';

const LEAVING = { isLeaving: true, pauseMs: 0 };
const LIMIT_SHARE = { findPart: () => 1, drawRandom: () => 0 };

function createServer(bornAt: number): BackendServer {
  return {
    id: 'i-1',
    bornAt,
    service: 'engine',
    address: '10.0.0.1:80',
    dataCentre: 'z1',
    slots: 4,
    state: ServerState.Ready,
    softwareVersion: 'v1',
    coldMs: 0,
  };
}

describe('the notice of a server that leaves', () => {
  let reported: string[];
  let serverPool: ServerPool;
  let notices: ServerNotices;

  beforeEach(() => {
    reported = [];
    serverPool = createServerPool('z1', LIMIT_SHARE);
    serverPool.setServers([createServer(1)]);
    notices = createServerNotices({
      clock: createVirtualClock(),
      log: createSilentLogger(),
      serverPool,
      limitShare: LIMIT_SHARE,
      reportLeaving: (server) => reported.push(server),
    });
  });

  it('is told to its agent', () => {
    notices.handleAnswer(serverPool.find('i-1')!, LEAVING);
    expect(reported).to.deep.equal(['i-1']);
  });

  // The agent took the present incarnation for a leaving one and refused all requests for good.
  it('is not told of the next incarnation under its id', () => {
    const earlier = serverPool.find('i-1')!;
    serverPool.setServers([createServer(2)]);
    notices.handleAnswer(earlier, LEAVING);
    expect(reported).to.deep.equal([]);
  });
});
