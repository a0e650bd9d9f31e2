/**
 * The product's own decisions on virtual time: the router and the agent scheduler are the real
 * ones; only connections and engines are modelled. Follows the entry's and the agent's tasks:
 * reservation, claim, one grant, refusal to the next candidates.
 */
import type { Failure } from '@masticbend/protocol/error';
import { ErrorKind } from '@masticbend/protocol/error';
import type { WorkDescription } from '@masticbend/protocol/message';
import { createAgentScheduler, type AgentScheduler } from '@masticbend/scheduling/agent-scheduler';
import { createLengthEstimator } from '@masticbend/scheduling/output-length';
import type { Claim, Refusal } from '@masticbend/scheduling/reservation';
import { AgentOutcome, createRouter, type Router } from '@masticbend/scheduling/router';
import { REPORT_INTERVAL_MS, type Policy, type PolicyContext } from './policy.js';
import type { Arrival } from './workload.js';

/** Interval at which an agent looks for lapsed claims and late reservations, in milliseconds. */
const EXPIRY_INTERVAL_MS = 20;
/** Calls an agent lets into its engine, and reservations it lets wait. */
const CONCURRENCY = 48;
const QUEUE_LIMIT = 512;
/** Times a displaced request may ask every agent anew. */
const WALK_LIMIT = 2;
const TARGET = 'model';

/** Called at each final refusal, with what was left of the work's time and each live agent. */
export type WatchRefusal = (
  work: WorkDescription,
  failure: Failure,
  agents: AgentScheduler[],
  now: number,
) => void;

/** What a test may change of the product's policy. */
export interface MasticbendOptions {
  queueLimit?: number;
  /** False switches the displacement of lower tiers off. */
  displace?: boolean;
  watch?: WatchRefusal;
}

interface OpenRequest {
  arrival: Arrival;
  work: WorkDescription;
  deadlineAt: number;
  tried: Set<string>;
  reserved: Set<number>;
  /** Agents that said the request waits there. */
  queued: Set<number>;
  /** Times the request was displaced and asked every agent anew. */
  walks: number;
  granted?: number;
  failure: Failure;
}

/** Returns the product's policy. */
export function createMasticbendPolicy(
  context: PolicyContext,
  { queueLimit = QUEUE_LIMIT, displace = true, watch }: MasticbendOptions = {},
): Policy {
  const { events, deployment, engines, random, linkDelayMs, reportLagMs } = context;
  const agents = new Map<number, AgentScheduler>();
  const routers: Router[] = [];
  const lengths = Array.from({ length: deployment.entries }, createLengthEstimator);
  const open = new Map<string, OpenRequest>();

  function startAgent(server: number): void {
    const scheduler = createAgentScheduler({
      tiers: deployment.tiers,
      concurrency: CONCURRENCY,
      queueLimit,
      serves: [TARGET],
    });
    agents.set(server, scheduler);
    for (let entry = 0; entry < deployment.entries; entry += 1) {
      const load = scheduler.report(events.now());
      routers[entry]!.updateAgent(events.now(), String(server), load);
    }
    const repeat = (intervalMs: number, action: () => void) => {
      events.schedule(intervalMs, () => {
        if (agents.get(server) !== scheduler) return;
        action();
        repeat(intervalMs, action);
      });
    };
    repeat(EXPIRY_INTERVAL_MS, () => expire(server, scheduler));
    repeat(REPORT_INTERVAL_MS, () => sendLoad(server, scheduler));
  }

  function sendLoad(server: number, scheduler: AgentScheduler): void {
    const load = scheduler.report(events.now());
    routers.forEach((router, entry) => {
      events.schedule(linkDelayMs(entry, server) + reportLagMs, () => {
        if (agents.get(server) === scheduler) {
          router.updateAgent(events.now(), String(server), load);
        }
      });
    });
  }

  function expire(server: number, scheduler: AgentScheduler): void {
    sendRefusals(server, scheduler.expire(events.now()));
    sendClaims(server);
  }

  function sendToAgent(entry: number, server: number, action: (agent: AgentScheduler) => void) {
    const scheduler = agents.get(server);
    events.schedule(linkDelayMs(entry, server), () => {
      if (!scheduler || agents.get(server) !== scheduler) return;
      action(scheduler);
      sendClaims(server);
    });
  }

  function sendToEntry(server: number, request: string, action: (state: OpenRequest) => void) {
    const state = open.get(request);
    if (!state) return;
    events.schedule(linkDelayMs(state.arrival.entry, server), () => {
      if (open.get(request) === state) action(state);
    });
  }

  function reserve(state: OpenRequest): void {
    const now = events.now();
    const { id, entry } = state.arrival;
    const work = { ...state.work, deadlineMs: state.deadlineAt - now };
    for (const agent of routers[entry]!.chooseCandidates(now, work, state.tried)) {
      state.tried.add(agent);
      const server = Number(agent);
      state.reserved.add(server);
      sendToAgent(entry, server, (scheduler) => {
        const result = scheduler.reserve(events.now(), String(entry), id, work, displace);
        sendRefusals(server, result.refusals);
        if (result.queued) sendQueued(server, id, result.startDelayMs);
      });
    }
    if (state.reserved.size === 0) refuse(state);
  }

  function sendQueued(server: number, request: string, startDelayMs: number): void {
    sendToEntry(server, request, ({ arrival, work, reserved, queued }) => {
      if (reserved.has(server)) queued.add(server);
      const router = routers[arrival.entry]!;
      router.recordQueued(events.now(), String(server), work.tier, startDelayMs);
    });
  }

  function sendRefusals(server: number, refusals: Refusal[]): void {
    for (const { reservation, failure } of refusals) {
      sendToEntry(server, reservation.request, (state) => {
        if (!state.reserved.delete(server)) return;
        state.failure = failure;
        const router = routers[state.arrival.entry]!;
        router.recordOutcome(events.now(), String(server), AgentOutcome.Refused);
        const displaced = state.queued.delete(server);
        if (state.reserved.size > 0 || state.granted !== undefined) return;
        if (displaced && state.walks < WALK_LIMIT) {
          state.walks += 1;
          state.tried = new Set([String(server)]);
        }
        reserve(state);
      });
    }
  }

  function sendClaims(server: number): void {
    for (;;) {
      const claim = agents.get(server)?.claimNext(events.now());
      if (!claim) return;
      const entry = Number(claim.reservation.owner);
      events.schedule(linkDelayMs(entry, server), () => handleClaim(entry, server, claim));
    }
  }

  function handleClaim(entry: number, server: number, { claim, reservation }: Claim): void {
    const { request } = reservation;
    const state = open.get(request);
    if (!state || state.granted !== undefined || !state.reserved.has(server)) {
      sendToAgent(entry, server, (agent) => agent.deny(events.now(), request, claim));
      return;
    }
    state.granted = server;
    state.reserved.delete(server);
    cancelReservations(state);
    sendToAgent(entry, server, (agent) => {
      if (agent.grant(events.now(), request, claim, true)) startCall(state, server, agent);
      else sendToEntry(server, request, handleReturned);
    });
  }

  function handleReturned(state: OpenRequest): void {
    delete state.granted;
    reserve(state);
  }

  function startCall(state: OpenRequest, server: number, agent: AgentScheduler): void {
    const { arrival } = state;
    const startedAt = events.now();
    let firstByteMs = 0;
    engines[server]!.submit({
      ...arrival,
      onFirstByte() {
        firstByteMs = events.now() - startedAt;
        agent.recordFirstByte(events.now(), arrival.id);
        sendClaims(server);
      },
      onFinish(cachedTokens, computedTokens) {
        const { promptTokens, outputTokens } = arrival;
        const totalMs = events.now() - startedAt;
        const usage = { promptTokens, cachedTokens, outputTokens, firstByteMs, totalMs };
        agent.recordFinish(events.now(), arrival.id, usage);
        sendToEntry(server, arrival.id, () => finish(state, server, computedTokens, totalMs));
        sendClaims(server);
      },
    });
  }

  function finish(state: OpenRequest, server: number, computedTokens: number, totalMs: number) {
    const { entry, id, work, outputTokens } = state.arrival;
    open.delete(id);
    lengths[entry]!.record(work.name, outputTokens);
    const router = routers[entry]!;
    router.recordOutcome(events.now(), String(server), AgentOutcome.Completed, totalMs);
    context.onAnswer(state.arrival, computedTokens);
  }

  function refuse(state: OpenRequest): void {
    open.delete(state.arrival.id);
    const work = { ...state.work, deadlineMs: state.deadlineAt - events.now() };
    watch?.(work, state.failure, [...agents.values()], events.now());
    context.onRefusal(state.arrival);
  }

  function cancelReservations(state: OpenRequest): void {
    const { entry, id } = state.arrival;
    for (const server of state.reserved) {
      sendToAgent(entry, server, (agent) => agent.cancel(events.now(), id));
    }
    state.reserved.clear();
  }

  function leave(state: OpenRequest): void {
    const { arrival, granted } = state;
    if (open.get(arrival.id) !== state) return;
    cancelReservations(state);
    if (granted !== undefined) {
      sendToAgent(arrival.entry, granted, (agent) => {
        engines[granted]!.cancel(arrival.id);
        agent.recordFailure(events.now(), arrival.id);
      });
    }
    open.delete(arrival.id);
    context.onRefusal(arrival);
  }

  function handleAgentGone(server: number): void {
    for (const state of [...open.values()]) {
      if (state.granted === server) refuse(state);
      else if (state.reserved.delete(server) && state.reserved.size === 0) {
        if (state.granted === undefined) reserve(state);
      }
    }
  }

  for (let entry = 0; entry < deployment.entries; entry += 1) routers.push(createRouter(random));
  engines.forEach((_, server) => startAgent(server));
  return {
    offer(arrival) {
      const { work, promptTokens, prefix, account } = arrival;
      const expected = lengths[arrival.entry]!.estimate(work.name);
      const state: OpenRequest = {
        arrival,
        work: {
          account,
          tier: work.tier,
          target: TARGET,
          work: work.name,
          promptTokens,
          prefix,
          outputTokens: expected?.median ?? work.outputTokens[1],
          outputTokensHigh: expected?.high ?? work.outputTokens[1],
          deadlineMs: work.deadlineMs,
          weight: 1,
          idempotent: true,
        },
        deadlineAt: events.now() + work.deadlineMs,
        tried: new Set(),
        reserved: new Set(),
        queued: new Set(),
        walks: 0,
        failure: { kind: ErrorKind.NoBackendServer },
      };
      open.set(arrival.id, state);
      reserve(state);
      events.schedule(work.deadlineMs, () => leave(state));
    },
    kill(server) {
      agents.delete(server);
      engines[server]!.kill();
      for (const router of routers) router.removeAgent(String(server));
      handleAgentGone(server);
    },
    revive: startAgent,
  };
}
