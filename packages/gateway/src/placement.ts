/**
 * Where a request goes: straight to a server, to its agent for a permit, into the line of this
 * entry, or nowhere. Takes the agents' answers and gives up what has waited too long.
 */
import type { Clock } from '@masticbend/kernel/clock';
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import type {
  AgentLoad,
  Choice,
  ServerBoard,
  ServerChoice,
} from '@masticbend/scheduling/server-board';
import type { ServerEntry } from '@masticbend/scheduling/server-entry';
import type { WaitingLine } from '@masticbend/scheduling/waiting-line';
import { OUTAGE_RETRY_MS } from './access.js';
import type { PermitClient, PermitEvents } from './permit-client.js';
import type { RequestState } from './request-state.js';
import {
  chooseRank,
  computeLateWaitMs,
  computeObjectiveMs,
  computeOnTimeMs,
  describeWaiting,
} from './request-timing.js';

/** Interval of the check for requests that waited too long, in milliseconds. */
const EXPIRY_CHECK_MS = 10;
/** Agents asked for one request at a time, and in all. */
const PARALLEL_ASKS = 6;
const MOST_ASKS = 12;

/** What placement needs. */
export interface PlacementOptions {
  clock: Clock;
  board: ServerBoard;
  line: WaitingLine;
  permits: Pick<PermitClient, 'findLoad' | 'ask' | 'release'>;
  /** Instances that share the servers. */
  countInstances: () => number;
  /** Returns a request that has no final answer yet. */
  findOpen: (id: string) => RequestState | undefined;
  drawRetryMs: (state: RequestState, waitMs: number) => number;
  /** Sends a request to the server that was found for it. */
  send: (state: RequestState, entry: ServerEntry, finishMs: number) => void;
  /** Ends a request for which there is no place. */
  refuse: (state: RequestState, failure: Failure) => void;
}

/** Placement of one entry's requests. */
export interface Placement {
  place: (state: RequestState) => void;
  /** Withdraws a request from the line and from the agents asked. */
  withdraw: (state: RequestState) => void;
  /** Sends what waits for a service, or for any, to places that came free. */
  sendWaiting: (service: string) => void;
  sendAllWaiting: () => void;
  /** Answers of agents. */
  agentEvents: PermitEvents;
  stop: () => void;
}

/** Returns a placement with nothing waiting. */
export function createPlacement(options: PlacementOptions): Placement {
  const { clock, board, line, permits, findOpen, drawRetryMs, send, refuse } = options;
  let stopExpiry: (() => void) | undefined;

  /** Sends a request to a backend server, asks its agent, or lets it wait, or refuses it. */
  function place(state: RequestState): void {
    const { service } = state;
    const choice = chooseServer(state);
    if (choice.kind === 'server' && choice.load) {
      reserveBest(state, choice, choice.load);
    } else if (choice.kind === 'none') {
      refuse(state, createPlaceFailure(state));
    } else if (choice.kind === 'full' && choice.waitMs !== undefined) {
      refuse(state, createOverload(state, choice.waitMs));
    } else if (choice.kind === 'server' && line.count(service) === 0) {
      send(state, choice.entry, choice.finishMs);
    } else {
      waitInLine(state);
      if (choice.kind === 'server') sendWaiting(service);
    }
  }

  function chooseServer(state: RequestState): Choice {
    const now = clock.now();
    const { service, work, tried, asked, deadlineAt } = state;
    return board.choose(now, {
      service,
      work,
      rank: chooseRank(state, true),
      lateRank: chooseRank(state, false),
      excluded: new Set([...tried, ...asked]),
      objectiveMs: computeObjectiveMs(state),
      onTimeMs: computeOnTimeMs(now, state),
      lateWaitMs: computeLateWaitMs(now, state),
      leftMs: deadlineAt - now,
      findLoad: permits.findLoad,
    });
  }

  function createPlaceFailure(state: RequestState): Failure {
    if (state.refusedWaitMs === undefined) {
      return { kind: ErrorKind.NoBackendServer, retryAfterMs: OUTAGE_RETRY_MS };
    }
    return createOverload(state, state.refusedWaitMs);
  }

  function createOverload(state: RequestState, waitMs: number): Failure {
    return { kind: ErrorKind.Overloaded, retryAfterMs: drawRetryMs(state, waitMs) };
  }

  function waitInLine(state: RequestState): void {
    const now = clock.now();
    const { service, work } = state;
    const places = board.countPlaces(now, service) / options.countInstances();
    const firstMs = board.estimateFirstMs(service, work);
    const expectedMs = line.estimateWaitMs(service, chooseRank(state, true), places) + firstMs;
    const onTime = expectedMs <= computeOnTimeMs(now, state);
    const rank = chooseRank(state, onTime || firstMs > computeObjectiveMs(state));
    const costMs = board.estimateHoldMs(service, work);
    const waiting = describeWaiting(now, state, { onTime, rank, firstMs }, costMs);
    const waitMs = line.add(now, waiting, places);
    if (waitMs === undefined) scheduleExpiry();
    else refuse(state, createOverload(state, waitMs));
  }

  /** Asks the agent of the best server; where it would wait, those of the next best as well. */
  function reserveBest(state: RequestState, best: ServerChoice, load: AgentLoad): void {
    const holdMs = board.estimateHoldMs(state.service, state.work);
    if (load.held < best.entry.server.slots) {
      reserveAt(state, best, holdMs, 1);
      return;
    }
    let next: Choice = best;
    while (next.kind === 'server' && next.load && next.onTime === best.onTime) {
      reserveAt(state, next, holdMs, PARALLEL_ASKS);
      if (state.asked.size >= PARALLEL_ASKS) return;
      next = chooseServer(state);
    }
  }

  function reserveAt(
    state: RequestState,
    expected: ServerChoice,
    holdMs: number,
    agents: number,
  ): void {
    const now = clock.now();
    const { server } = expected.entry;
    const wish = describeWaiting(now, state, expected, holdMs);
    const { id, account, rank, tokens, startBy } = wish;
    state.asked.add(server.id);
    state.asks += 1;
    const waitMs = Math.max(0, startBy - now);
    permits.ask(server.id, { request: id, account, rank, tokens, holdMs, waitMs, agents });
  }

  function receivePermit(serverId: string, id: string): void {
    const state = findOpen(id);
    const entry = board.find(serverId);
    state?.asked.delete(serverId);
    if (!state || state.attempt || !entry) {
      permits.release(serverId, id);
      return;
    }
    releaseAsks(state);
    const held = permits.findLoad(serverId)?.held ?? 0;
    send(state, entry, board.estimateFinishMs(entry, state.work, held));
  }

  function receiveRefusal(serverId: string, id: string, waitMs: number): void {
    const state = findOpen(id);
    if (!state) return;
    state.asked.delete(serverId);
    state.refusedWaitMs = Math.min(waitMs, state.refusedWaitMs ?? Infinity);
    if (state.attempt || state.asked.size > 0) return;
    state.tried.add(serverId);
    const now = clock.now();
    const isLate = computeLateWaitMs(now, state) <= 0;
    if (isLate || state.asks >= MOST_ASKS) refuse(state, createPlaceFailure(state));
    else place(state);
  }

  function receiveLoss(serverId: string, id: string): void {
    const state = findOpen(id);
    if (!state) return;
    state.asked.delete(serverId);
    if (!state.attempt && state.asked.size === 0) place(state);
  }

  function releaseAsks(state: RequestState): void {
    for (const server of state.asked) permits.release(server, state.id);
    state.asked.clear();
  }

  function sendWaiting(service: string): void {
    for (let id = line.getFirst(service); id !== undefined; id = line.getFirst(service)) {
      const state = findOpen(id);
      if (!state) {
        line.remove(service, id);
      } else {
        const choice = chooseServer(state);
        if (choice.kind === 'full') return;
        line.take(service, id);
        if (choice.kind === 'none') refuse(state, createPlaceFailure(state));
        else if (choice.load) place(state);
        else send(state, choice.entry, choice.finishMs);
      }
    }
  }

  function sendAllWaiting(): void {
    for (const service of line.listServices()) sendWaiting(service);
  }

  function checkExpiry(): void {
    stopExpiry = undefined;
    for (const id of line.expire(clock.now())) {
      const state = findOpen(id);
      if (state) {
        refuse(state, {
          kind: ErrorKind.DeadlineUnreachable,
          retryAfterMs: drawRetryMs(state, 0),
        });
      }
    }
    sendAllWaiting();
    scheduleExpiry();
  }

  /** Runs the check only while something waits: each wake-up costs processor time. */
  function scheduleExpiry(): void {
    if (stopExpiry || line.listServices().length === 0) return;
    stopExpiry = clock.startTimer(EXPIRY_CHECK_MS, checkExpiry);
  }

  return {
    place,
    withdraw(state) {
      line.remove(state.service, state.id);
      releaseAsks(state);
    },
    sendWaiting,
    sendAllWaiting,
    agentEvents: { onPermit: receivePermit, onRefusal: receiveRefusal, onLost: receiveLoss },
    stop: () => stopExpiry?.(),
  };
}
