/**
 * Load pattern: every engine is full and places come free one by one, first at an engine that was
 * not the best by estimate.
 */
import { expect } from 'chai';
import { createVirtualClock } from '@masticbend/kernel/clock';
import type { Failure } from '@masticbend/protocol/error';
import { createServerBoard } from '@masticbend/scheduling/server-board';
import { createWaitingLine } from '@masticbend/scheduling/waiting-line';
import { Repeat, ServerState, type GatewayRoute } from '@masticbend/settings/routing';
import type { PermitClient } from '../src/permit-client.js';
import { createPlacement } from '../src/placement.js';
import type { RequestState } from '../src/request-state.js';

const ENGINES = 8;
const SLOTS = 4;
const OBJECTIVE_MS = 800;
const LIMIT_MS = 10_000;
const MOST_WAIT_MS = LIMIT_MS / 4;

const ROUTE: GatewayRoute = {
  name: 'r',
  host: 'h',
  prefix: '/',
  targets: [{ service: 'engine', weight: 1 }],
  timeoutMs: LIMIT_MS,
  objectiveMs: OBJECTIVE_MS,
  pauseMs: 250,
  tier: 0,
  repeat: Repeat.Never,
  attempts: 1,
  streamed: true,
  anonymous: true,
};

type Wish = Parameters<PermitClient['ask']>[1];

function createSetUp(waitsMs: readonly number[]) {
  const clock = createVirtualClock();
  const board = createServerBoard('near');
  const asked = new Map<string, Wish>();
  const sent: string[] = [];
  const refused: Failure[] = [];
  board.setServers(
    Array.from({ length: ENGINES }, (_, index) => ({
      id: `i-${index}`,
      bornAt: 1,
      service: 'engine',
      address: `10.0.0.${index}:80`,
      dataCentre: 'near',
      slots: SLOTS,
      state: ServerState.Ready,
      coldMs: 0,
    })),
  );
  const states = new Map<string, RequestState>();
  const placement = createPlacement({
    clock,
    board,
    line: createWaitingLine(),
    permits: {
      findLoad: () => ({ held: SLOTS + 1, waitsMs }),
      ask: (server, wish) => asked.set(server, wish),
      release: (server) => asked.delete(server),
    },
    countInstances: () => 1,
    findOpen: (id) => states.get(id),
    drawRetryMs: (_, waitMs) => waitMs,
    send: (state, { server }) => sent.push(`${state.id} ${server.id}`),
    refuse: (_, failure) => refused.push(failure),
  });
  return {
    placement,
    asked,
    sent,
    refused,
    place(changes: Partial<RequestState> = {}) {
      const state = createState(clock.now(), changes);
      states.set(state.id, state);
      placement.place(state);
    },
  };
}

function createState(now: number, changes: Partial<RequestState>): RequestState {
  return {
    id: 'a',
    incoming: { arrivedAt: now, facts: { promptTokens: 500, outputTokens: 100 } },
    route: ROUTE,
    service: 'engine',
    tier: 0,
    returned: false,
    work: { promptTokens: 500, events: 20 },
    deadlineAt: now + LIMIT_MS,
    tried: new Set(),
    asked: new Set(),
    asks: 0,
    mayHaveRun: 0,
    ...changes,
  } as RequestState;
}

describe('placement', () => {
  it('asks several agents, takes the first place that comes free, and no other', () => {
    const { placement, asked, sent, place } = createSetUp([100]);
    place();
    expect(asked.size).to.be.within(3, ENGINES);
    const last = [...asked.keys()].at(-1)!;
    asked.delete(last);
    placement.agentEvents.onPermit(last, 'a');
    expect(sent).to.deep.equal([`a ${last}`]);
    expect(asked.size).to.equal(0);
  });

  it('tells the agents how many were asked, and when a start is too late', () => {
    const { asked, place } = createSetUp([100]);
    place();
    for (const { agents, waitMs } of asked.values()) {
      expect(agents).to.be.at.least(asked.size);
      expect(waitMs).to.be.within(1, OBJECTIVE_MS);
    }
  });

  it('puts a returned caller behind, for longer than the objective, but not for long', () => {
    const { asked, place } = createSetUp([100, 100, 100, 100, 100, 100, 100, 100, 300]);
    place();
    const [first] = asked.values();
    place({ id: 'b', returned: true });
    const [returned] = asked.values();
    expect(returned!.rank).to.be.above(first!.rank);
    expect(returned!.waitMs).to.be.within(OBJECTIVE_MS, MOST_WAIT_MS);
  });

  it('does not put a repeat behind, even when it is late', () => {
    const { asked, place } = createSetUp([100]);
    place();
    const [first] = asked.values();
    const incoming = { arrivedAt: -OBJECTIVE_MS, facts: { promptTokens: 500, outputTokens: 100 } };
    place({ id: 'b', mayHaveRun: 1, incoming: incoming as RequestState['incoming'] });
    const [repeat] = asked.values();
    expect(repeat!.rank).to.equal(first!.rank);
  });

  it('refuses at once, with the wait, what no agent expects to start in any useful time', () => {
    const { asked, refused, place } = createSetUp([MOST_WAIT_MS * 2]);
    place();
    expect(asked.size).to.equal(0);
    expect(refused.map(({ retryAfterMs }) => retryAfterMs)).to.deep.equal([MOST_WAIT_MS * 2]);
  });

  it('goes on waiting behind when it can no longer be on time, as long as that is useful', () => {
    const { placement, asked, refused, place } = createSetUp([100]);
    place();
    for (const server of [...asked.keys()]) {
      asked.delete(server);
      placement.agentEvents.onRefusal(server, 'a', 900);
    }
    expect(refused).to.deep.equal([]);
    expect(asked.size).to.be.at.least(1);
  });
});
