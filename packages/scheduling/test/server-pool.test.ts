/** Load patterns of placement: different engines, some full, slow, remote or failing. */
import { expect } from 'chai';
import { ServerState, type BackendServer } from '@masticbend/settings/routing';
import {
  createServerPool,
  type AgentLoad,
  type PlacementQuery,
  type ServerPool,
} from '../src/server-pool.js';

const SLOTS = 4;
const FAST_MS = 10;
const SLOW_MS = 100;
const LEFT_MS = 10_000;

function createServer(id: string, changes: Partial<BackendServer> = {}): BackendServer {
  return {
    id,
    bornAt: 1,
    service: 'engine',
    address: '10.0.0.1:80',
    dataCentre: 'near',
    slots: SLOTS,
    state: ServerState.Ready,
    coldMs: 0,
    ...changes,
  };
}

/** Creates a pool of two engines, one ten times as fast as the other. */
function createBoard(changes: Partial<BackendServer> = {}): ServerPool {
  const board = createServerPool('near');
  board.setServers([createServer('fast', changes), createServer('slow')]);
  board.recordEventInterval(board.find('fast')!, FAST_MS);
  board.recordEventInterval(board.find('slow')!, SLOW_MS);
  return board;
}

function createQuery(changes: Partial<PlacementQuery> = {}): PlacementQuery {
  return {
    service: 'engine',
    work: { promptTokens: 1_000, events: 50 },
    rank: 0,
    lateRank: 1,
    excluded: new Set(),
    objectiveMs: 300,
    onTimeMs: 300,
    lateWaitMs: 300,
    leftMs: LEFT_MS,
    ...changes,
  };
}

function chooseId(board: ServerPool, query: PlacementQuery, now = 0): string {
  const choice = board.choose(now, query);
  return choice.kind === 'server' ? choice.entry.server.id : choice.kind;
}

function createLoads(loads: Record<string, Partial<AgentLoad>>) {
  return (id: string): AgentLoad | undefined =>
    loads[id] && { held: 0, waitsMs: [0], ...loads[id] };
}

const FULL = { held: SLOTS + 1, waitsMs: [100, 900] };

describe('server board', () => {
  it('chooses the server with the earliest expected finish', () => {
    expect(chooseId(createBoard(), createQuery())).to.equal('fast');
  });

  it('prefers a slow server with a free slot to a fast one that is full', () => {
    const findLoad = createLoads({ fast: FULL, slow: { held: 1 } });
    expect(chooseId(createBoard(), createQuery({ findLoad }))).to.equal('slow');
  });

  it('waits for the fast server when the slow one cannot meet the deadline', () => {
    const findLoad = createLoads({ fast: FULL, slow: { held: 1 } });
    const work = { promptTokens: 1_000, events: 400 };
    expect(chooseId(createBoard(), createQuery({ findLoad, work }))).to.equal('fast');
  });

  it('returns full with the shortest wait when every wait is too long for a late answer', () => {
    const findLoad = createLoads({ fast: FULL, slow: { ...FULL, waitsMs: [100, 700] } });
    expect(
      createBoard().choose(0, createQuery({ findLoad, objectiveMs: Infinity, onTimeMs: -1 })),
    ).to.deep.equal({
      kind: 'full',
      waitMs: 700,
    });
    expect(chooseId(createBoard(), createQuery({ findLoad }))).to.equal('fast');
  });

  it('prefers waiting for a first event on time to a free slot where it is late', () => {
    const board = createBoard();
    board.recordFirstEvent(board.find('slow')!, 2, 1_000);
    const findLoad = createLoads({ fast: FULL, slow: {} });
    expect(chooseId(board, createQuery({ findLoad }))).to.equal('fast');
    const late = createQuery({
      findLoad,
      objectiveMs: Infinity,
      onTimeMs: -1,
      lateWaitMs: 2_000,
    });
    expect(chooseId(board, late)).to.equal('slow');
  });

  it('keeps the rank of a request that is late only because of its size', () => {
    const findLoad = createLoads({ fast: FULL, slow: FULL });
    const large = { promptTokens: 20_000, events: 5 };
    const choice = createBoard().choose(0, createQuery({ findLoad, work: large }));
    expect(choice).to.include({ kind: 'server', onTime: false, rank: 0 });
  });

  it('estimates prefill time from the pending prompt tokens when a request was sent', () => {
    const board = createBoard();
    const fast = board.find('fast')!;
    const work = { promptTokens: 1_000, events: 1 };
    const first = board.addRunning(fast, work);
    const second = board.addRunning(fast, work);
    board.removePendingPrompt(fast, work);
    board.recordFirstEvent(fast, first, 100);
    board.removePendingPrompt(fast, work);
    board.recordFirstEvent(fast, second, 150);
    expect(fast.prefillMsPerThousand).to.be.closeTo(50, 1e-9);
  });

  it('counts its own and its peers’ requests on a server without an agent', () => {
    const board = createBoard();
    board.setPeerLoad('peer', new Map([['fast', SLOTS]]));
    board.addRunning(board.find('fast')!, { promptTokens: 0, events: 1 });
    expect(chooseId(board, createQuery())).to.equal('slow');
    board.setPeerLoad('peer', new Map());
    expect(chooseId(board, createQuery())).to.equal('fast');
  });

  it('prefers its own data centre among equal servers, but not to a much faster one', () => {
    const equal = createServerPool('near');
    equal.setServers([createServer('far', { dataCentre: 'away' }), createServer('close')]);
    expect(chooseId(equal, createQuery())).to.equal('close');
    expect(chooseId(createBoard({ dataCentre: 'away' }), createQuery())).to.equal('fast');
  });

  it('excludes leaving servers, and for a time those that failed to respond twice', () => {
    const board = createBoard();
    const fast = board.find('fast')!;
    expect(board.recordNoResponse(0, fast)).to.equal(false);
    expect(board.recordNoResponse(0, fast)).to.equal(true);
    expect(chooseId(board, createQuery(), 500)).to.equal('slow');
    expect(chooseId(board, createQuery(), 1_500)).to.equal('fast');
    board.setServers([
      createServer('fast', { state: ServerState.Leaving }),
      createServer('slow', { state: ServerState.Leaving }),
    ]);
    expect(chooseId(board, createQuery(), 1_500)).to.equal('none');
  });

  it('avoids a server that fails part of its requests', () => {
    const board = createServerPool('near');
    board.setServers([createServer('grey'), createServer('good')]);
    for (let count = 0; count < 10; count += 1) board.recordFailure(board.find('grey')!);
    expect(chooseId(board, createQuery())).to.equal('good');
  });

  it('resets the state of a server that restarted under the same id', () => {
    const board = createBoard();
    board.recordNoResponse(0, board.find('fast')!);
    board.recordNoResponse(0, board.find('fast')!);
    board.setServers([createServer('fast', { bornAt: 2 }), createServer('slow')]);
    expect(chooseId(board, createQuery({ excluded: new Set(['slow']) }))).to.equal('fast');
  });
});
