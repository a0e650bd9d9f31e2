/** How long a request may wait for a place, and how long its server may be silent. */
import { computeRank } from '@masticbend/scheduling/rank';
import type { WaitingRequest } from '@masticbend/scheduling/waiting-line';
import { Repeat } from '@masticbend/settings/routing';
import type { RequestState } from './request-state.js';

/** Part of the objective in which the first byte is planned. */
const ON_TIME_PART = 0.85;
/** Wait of a request whose answer will be late in any case: a part of its time limit. */
const LATE_WAIT_PART = 0.15;
/** Wait of a repeat, as a part of the objective. */
const REPEAT_WAIT_PART = 2;
/** Silence after which a repeatable request goes elsewhere: parts of objective and pause. */
const SILENT_OBJECTIVES = 2.5;
const SILENT_PAUSES = 4;
const LEAST_SILENCE_MS = 600;

/** What is expected of a place that a request waits for. */
export interface ExpectedPlace {
  /** The first byte is expected on time. */
  onTime: boolean;
  /** Order of service there. */
  rank: number;
  /** Time from the start to the first byte, in milliseconds. */
  firstMs: number;
}

/** Describes a request that waits for a place, which it will hold for `costMs`. */
export function describeWaiting(
  now: number,
  state: RequestState,
  { onTime, rank, firstMs }: ExpectedPlace,
  costMs: number,
): WaitingRequest {
  const { id, service, account, incoming } = state;
  const waitMs = onTime ? computeOnTimeMs(now, state) - firstMs : computeLateWaitMs(now, state);
  return {
    id,
    service,
    account: account?.name ?? '',
    rank,
    arrivedAt: incoming.arrivedAt,
    startBy: now + Math.max(0, waitMs),
    costMs,
    tokens: (incoming.facts.promptTokens ?? 0) + (incoming.facts.outputTokens ?? 0),
  };
}

/** Returns the order of service; a repeat goes on with what was begun, so it is not put behind. */
export function chooseRank({ tier, mayHaveRun }: RequestState, onTime: boolean): number {
  return computeRank(tier, !onTime && mayHaveRun === 0);
}

/** Returns the time from arrival in which a first byte is on time; Infinity for the returned. */
export function computeObjectiveMs({ route, returned }: RequestState): number {
  return returned ? Infinity : route.objectiveMs * ON_TIME_PART;
}

/** Returns the time left for a first byte that is on time; below 0 where none can be. */
export function computeOnTimeMs(now: number, state: RequestState): number {
  if (state.returned) return -1;
  return state.incoming.arrivedAt + computeObjectiveMs(state) - now;
}

/** Returns how long a request whose answer will be late may still wait for a place. */
export function computeLateWaitMs(now: number, state: RequestState): number {
  const { route, incoming, deadlineAt, mayHaveRun } = state;
  if (mayHaveRun > 0) return Math.min(deadlineAt - now, route.objectiveMs * REPEAT_WAIT_PART);
  return incoming.arrivedAt + (deadlineAt - incoming.arrivedAt) * LATE_WAIT_PART - now;
}

/** Returns the silence of a server after which a request is repeated; 0 where none is allowed. */
export function chooseSilence({ route, sent }: RequestState): number {
  if (route.repeat === Repeat.Never || sent + 1 >= route.attempts) return 0;
  const first = route.objectiveMs * SILENT_OBJECTIVES;
  const between = route.streamed ? route.pauseMs * SILENT_PAUSES : 0;
  return Math.max(LEAST_SILENCE_MS, first, between);
}
