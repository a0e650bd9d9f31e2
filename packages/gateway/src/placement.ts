/**
 * Places requests: sends each to a backend server, requests permits from agents, adds it to the
 * entry's request queue, or refuses it. Handles the agents' answers and refuses requests that have
 * waited too long.
 */
import type { Clock } from '@masticbend/kernel/clock';
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import {
  isCostlyWait,
  type AgentLoad,
  type PlacementQuery,
} from '@masticbend/scheduling/server-candidate';
import { hasFreeConnection, isUsable, type ServerEntry } from '@masticbend/scheduling/server-entry';
import type { Choice, ServerChoice, ServerPool } from '@masticbend/scheduling/server-pool';
import type { RequestQueue } from '@masticbend/scheduling/request-queue';
import { Repeat } from '@masticbend/settings/routing';
import { OUTAGE_RETRY_AFTER_MS } from './access.js';
import type { PermitClient, PermitEvents } from './permit-client.js';
import type { RequestState } from './request-state.js';
import type { RequestRollouts } from './rollout-gate.js';
import {
  chooseRank,
  computeMaxLateWaitMs,
  computeObjectiveMs,
  computeOnTimeLeftMs,
  countTokens,
  describeWaitingRequest,
} from './request-timing.js';

/** Interval at which requests that have waited too long are expired. */
const EXPIRY_CHECK_INTERVAL_MS = 10;
/** Maximum permit requests for one request: pending at the same time, and in total. */
const MAX_PARALLEL_PERMIT_REQUESTS = 6;
const MAX_PERMIT_REQUESTS = 12;
/** Pending permit requests beyond which none goes where the request would make streams late. */
const MIN_PARALLEL_PERMIT_REQUESTS = 3;

/** Why a request waits while all servers are silent. */
const SILENT_REASON = 'servers silent';

/** Dependencies of the placement. */
export interface PlacementOptions {
  clock: Clock;
  serverPool: ServerPool;
  requestQueue: RequestQueue;
  permits: Pick<PermitClient, 'findLoad' | 'requestPermit' | 'release'>;
  /** Returns the number of instances that share the servers. */
  countInstances: () => number;
  /** Returns whether a stream that callers can take up may begin at this software version. */
  isVersionRecorded: (service: string, version: string) => boolean;
  /** Undefined where the deployment has no rollouts. */
  rollouts?: Pick<RequestRollouts, 'isVersionAccepted' | 'tryTakeTrial' | 'returnTrial'>;
  /** Agents are told which of the requests that they lose have got no slot elsewhere. */
  reportsUnplaced?: boolean;
  /** Returns the tokens for which each server of a service has room, where they are bounded. */
  findMemory?: (service: string) => number | undefined;
  /** The pause objectives of routes count in the choice of servers. */
  avoidsPauses?: boolean;
  /** Returns a request that has no final answer yet; undefined for any other id. */
  findOpenRequest: (id: string) => RequestState | undefined;
  drawRetryMs: (state: RequestState, waitMs: number) => number;
  /** Sends a request to the server that was chosen for it. */
  send: (state: RequestState, entry: ServerEntry, finishMs: number) => void;
  /** Ends a request that cannot be placed. */
  refuse: (state: RequestState, failure: Failure) => void;
}

/** Placement of one entry's requests. */
export interface Placement {
  place: (state: RequestState) => void;
  /** Removes a request from the request queue and withdraws its permit requests. */
  withdraw: (state: RequestState) => void;
  /** Sends queued requests of a service, or of all services, to slots that became free. */
  sendWaiting: (service: string) => void;
  sendAllWaiting: () => void;
  /** Handlers of the agents' answers. */
  agentEvents: Omit<PermitEvents, 'onLeaving'>;
  stop: () => void;
}

/** Returns a placement without waiting requests. */
export function createPlacement(options: PlacementOptions): Placement {
  const { clock, serverPool, requestQueue, permits, findOpenRequest, drawRetryMs } = options;
  const { rollouts } = options;
  let stopExpiryTimer: (() => void) | undefined;

  /** Sends a request, requests permits for it, queues it, or refuses it. */
  function place(state: RequestState): void {
    const { service } = state;
    state.isPlacing = true;
    const choice = chooseServer(state);
    if (choice.kind === 'server' && choice.load) {
      sendPermitRequests(state, choice, choice.load);
    } else if (choice.kind === 'none') {
      refuse(state, createFailure(state));
    } else if (choice.kind === 'paused' && choice.waitMs > computeMaxWaitMs(state)) {
      refuse(state, createPauseFailure(state, choice.waitMs));
    } else if (choice.kind === 'full' && choice.waitMs !== undefined) {
      refuse(state, createOverloadFailure(state, choice.waitMs));
    } else if (choice.kind === 'server' && (isSample(state) || requestQueue.count(service) === 0)) {
      send(state, choice.entry, choice.finishMs);
    } else {
      if (choice.kind === 'silent') state.lastFailureReason ||= SILENT_REASON;
      addToQueue(state, choice);
      if (choice.kind === 'server') sendWaiting(service);
    }
  }

  function send(state: RequestState, entry: ServerEntry, finishMs: number): void {
    state.isPlacing = false;
    options.send(state, entry, finishMs);
  }

  function refuse(state: RequestState, failure: Failure): void {
    cancel(state);
    options.refuse(state, failure);
  }

  function cancel(state: RequestState): void {
    state.isPlacing = false;
    requestQueue.remove(state.service, state.id);
    releasePermitRequests(state, options.reportsUnplaced ? false : undefined);
    if (state.trial) rollouts?.returnTrial(state);
  }

  /**
   * Chooses a server of a version that is being rolled out if the request belongs to its trial and
   * finds room there, and one of the other versions otherwise.
   */
  function chooseServer(state: RequestState): Choice {
    if (rollouts?.tryTakeTrial(state)) {
      const choice = chooseAcceptedServer(state);
      if (choice.kind === 'server' && choice.hasFreeSlot) return choice;
      // A stream of the new version can go on nowhere else, so that it waits there; a request that
      // is moved would be open at the old version for too long.
      if ((state.origin || state.isMoved) && choice.kind !== 'none') return choice;
      rollouts.returnTrial(state);
    }
    return chooseAcceptedServer(state);
  }

  function chooseAcceptedServer(state: RequestState): Choice {
    const now = clock.now();
    const { service, work, triedServers, pendingServers, deadlineAt } = state;
    return serverPool.choose(now, {
      service,
      acceptsVersion: (version) => isVersionAccepted(state, version),
      isPacked: isSample(state),
      work,
      rank: chooseRank(state, true),
      lateRank: chooseRank(state, false),
      excluded: new Set([...triedServers, ...pendingServers]),
      objectiveMs: computeObjectiveMs(state),
      pauseMs: choosePauseMs(state),
      onTimeMs: computeOnTimeLeftMs(now, state),
      isRepeatable: state.route.repeat !== Repeat.Never,
      lateWaitMs: computeMaxLateWaitMs(now, state),
      // Where attempts are in progress, each further silence finds a replacement if there is one.
      waitsForSilent: state.attempts.size === 0,
      leftMs: deadlineAt - now,
      findLoad: permits.findLoad,
      memory: describeMemory(state),
    });
  }

  function choosePauseMs({ route }: RequestState): number | undefined {
    return options.avoidsPauses ? route.pauseMs : undefined;
  }

  function describeMemory({ service, incoming }: RequestState): PlacementQuery['memory'] {
    const capacity = options.findMemory?.(service);
    return capacity === undefined ? undefined : { capacity, tokens: countTokens(incoming) };
  }

  /** Returns whether a version may continue the stream of a request, or run it from the start. */
  function isVersionAccepted(state: RequestState, version: string): boolean {
    const { origin, route, service } = state;
    if (rollouts && !rollouts.isVersionAccepted(state, version)) return false;
    if (origin) return origin.softwareVersion === version;
    return route.repeat !== Repeat.Resume || options.isVersionRecorded(service, version);
  }

  function computeMaxWaitMs(state: RequestState): number {
    const now = clock.now();
    return Math.max(computeOnTimeLeftMs(now, state), computeMaxLateWaitMs(now, state));
  }

  /** Returns the failure of a request that cannot be placed. */
  function createFailure(state: RequestState): Failure {
    if (state.minRefusedWaitMs === undefined) {
      return { kind: ErrorKind.NoBackendServer, retryAfterMs: OUTAGE_RETRY_AFTER_MS };
    }
    return createOverloadFailure(state, state.minRefusedWaitMs);
  }

  function createOverloadFailure(state: RequestState, waitMs: number): Failure {
    return { kind: ErrorKind.Overloaded, retryAfterMs: drawRetryMs(state, waitMs) };
  }

  /** No earlier return can succeed than at the end of the first pause. */
  function createPauseFailure(state: RequestState, waitMs: number): Failure {
    const retryAfterMs = Math.max(waitMs, drawRetryMs(state, waitMs));
    return { kind: ErrorKind.Overloaded, retryAfterMs };
  }

  function addToQueue(state: RequestState, choice: Choice): void {
    const now = clock.now();
    const { service, work } = state;
    const slots = serverPool.countSlots(now, service) / options.countInstances();
    const firstMs = serverPool.estimateFirstMs(service, work);
    const expectedFirstByteMs =
      requestQueue.estimateWaitMs(service, chooseRank(state, true), slots) + firstMs;
    const onTimeLeftMs = computeOnTimeLeftMs(now, state);
    // Nobody knows when a silent server goes on, so a request takes the longer of its waits.
    const isShortened = choice.kind === 'silent' && onTimeLeftMs < computeMaxLateWaitMs(now, state);
    const onTime = expectedFirstByteMs <= onTimeLeftMs && !isShortened;
    const rank = chooseRank(state, onTime || firstMs > computeObjectiveMs(state));
    const costMs = serverPool.estimateHoldMs(service, work);
    const waitingRequest = describeWaitingRequest(now, state, { onTime, rank, firstMs }, costMs);
    const waitMs = requestQueue.add(now, waitingRequest, slots);
    if (waitMs === undefined) scheduleExpiry();
    else refuse(state, createOverloadFailure(state, waitMs));
  }

  /**
   * Requests a permit from the agent of the best server. Where the request would wait there, also
   * requests permits from the agents of the next best servers.
   */
  function sendPermitRequests(state: RequestState, best: ServerChoice, load: AgentLoad): void {
    const holdMs = serverPool.estimateHoldMs(state.service, state.work);
    if (isSample(state) || load.held < best.entry.server.slots) {
      sendPermitRequest(state, best, holdMs, 1);
      return;
    }
    let candidate: Choice = best;
    while (candidate.kind === 'server' && candidate.load && candidate.onTime === best.onTime) {
      const isCostly = isCostlyWait(candidate) && !isCostlyWait(best);
      if (isCostly && state.pendingServers.size >= MIN_PARALLEL_PERMIT_REQUESTS) return;
      sendPermitRequest(state, candidate, holdMs, MAX_PARALLEL_PERMIT_REQUESTS);
      if (state.pendingServers.size >= MAX_PARALLEL_PERMIT_REQUESTS) return;
      candidate = chooseServer(state);
    }
  }

  function sendPermitRequest(
    state: RequestState,
    choice: ServerChoice,
    holdMs: number,
    agents: number,
  ): void {
    const now = clock.now();
    const { server } = choice.entry;
    const waitingRequest = describeWaitingRequest(now, state, choice, holdMs);
    const { id, account, rank, tokens, startBy } = waitingRequest;
    state.pendingServers.add(server.id);
    state.permitRequests += 1;
    const waitMs = Math.max(0, startBy - now);
    permits.requestPermit(server.id, {
      request: id,
      account,
      rank,
      tokens,
      promptTokens: state.work.promptTokens,
      holdMs,
      waitMs,
      agents,
      memoryTokens: options.findMemory?.(state.service),
      repeatable: state.route.repeat !== Repeat.Never,
      pauseMs: choosePauseMs(state),
    });
  }

  function receivePermit(serverId: string, id: string): void {
    const state = findOpenRequest(id);
    const entry = serverPool.find(serverId);
    state?.pendingServers.delete(serverId);
    if (!state?.isPlacing) {
      permits.release(serverId, id);
      return;
    }
    if (
      !entry ||
      !isUsable(clock.now(), entry) ||
      !hasFreeConnection(entry) ||
      !isVersionAccepted(state, entry.server.softwareVersion)
    ) {
      permits.release(serverId, id);
      if (state.pendingServers.size === 0) place(state);
      return;
    }
    releasePermitRequests(state);
    const held = permits.findLoad(serverId)?.held ?? 0;
    send(state, entry, serverPool.estimateFinishMs(entry, state.work, held));
  }

  function receiveRefusal(serverId: string, id: string, waitMs: number): void {
    const state = findOpenRequest(id);
    if (!state) return;
    state.pendingServers.delete(serverId);
    if (isSample(state)) {
      leaveTrial(state);
      return;
    }
    state.minRefusedWaitMs = Math.min(waitMs, state.minRefusedWaitMs ?? Infinity);
    if (!state.isPlacing || state.pendingServers.size > 0) return;
    state.triedServers.add(serverId);
    const now = clock.now();
    const isLate = computeMaxLateWaitMs(now, state) <= 0;
    if (isLate || state.permitRequests >= MAX_PERMIT_REQUESTS) refuse(state, createFailure(state));
    else place(state);
  }

  /** Places a request at the old version, since the new one had no room for it. */
  function leaveTrial(state: RequestState): void {
    rollouts?.returnTrial(state);
    state.isTrialRefused = true;
    if (state.isPlacing && state.pendingServers.size === 0) place(state);
  }

  function handleAgentLoss(serverId: string, id: string): void {
    const state = findOpenRequest(id);
    if (!state) return;
    state.pendingServers.delete(serverId);
    if (state.isPlacing && state.pendingServers.size === 0) place(state);
  }

  /** `isPlaced` is false where the request got no slot. */
  function releasePermitRequests(state: RequestState, isPlaced?: boolean): void {
    for (const server of state.pendingServers) {
      permits.release(server, state.id, undefined, isPlaced);
    }
    state.pendingServers.clear();
  }

  function sendWaiting(service: string): void {
    for (
      let id = requestQueue.getFirst(service);
      id !== undefined;
      id = requestQueue.getFirst(service)
    ) {
      const state = findOpenRequest(id);
      if (!state) {
        requestQueue.remove(service, id);
      } else {
        const choice = chooseServer(state);
        if (choice.kind !== 'server' && choice.kind !== 'none') return;
        requestQueue.take(service, id);
        if (choice.kind === 'none') refuse(state, createFailure(state));
        else if (choice.load) place(state);
        else send(state, choice.entry, choice.finishMs);
      }
    }
  }

  function sendAllWaiting(): void {
    for (const service of requestQueue.listServices()) sendWaiting(service);
  }

  function checkExpiry(): void {
    stopExpiryTimer = undefined;
    for (const id of requestQueue.expire(clock.now())) {
      const state = findOpenRequest(id);
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

  /** Runs the check only while requests are queued, since each timer wake-up costs CPU time. */
  function scheduleExpiry(): void {
    if (stopExpiryTimer || requestQueue.listServices().length === 0) return;
    stopExpiryTimer = clock.startTimer(EXPIRY_CHECK_INTERVAL_MS, checkExpiry);
  }

  return {
    place,
    withdraw: cancel,
    sendWaiting,
    sendAllWaiting,
    agentEvents: { onPermit: receivePermit, onRefusal: receiveRefusal, onLost: handleAgentLoss },
    stop: () => stopExpiryTimer?.(),
  };
}

/** Returns whether a request is a sample of a trial, which the old version serves as well. */
function isSample({ trial, isMoved }: RequestState): boolean {
  return trial !== undefined && !isMoved;
}
