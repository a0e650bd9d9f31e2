/** Longest waits of a request for a slot, and for data from its backend server. */
import { computeRank, Standing } from '@masticbend/scheduling/rank';
import type { WaitingRequest } from '@masticbend/scheduling/request-queue';
import { Repeat } from '@masticbend/settings/routing';
import type { RequestState } from './request-state.js';

/** Fraction of the objective within which the first byte is planned. */
const ON_TIME_FRACTION = 0.85;
/** Longest wait of a continuation, as a multiple of the objective. */
const CONTINUATION_WAIT_FACTOR = 2;
/**
 * Time without data after which a repeatable request is also sent to another server: the greatest
 * of the minimum and these multiples of the route's objective and, for streams, of its objective
 * for the time between two events.
 */
const INACTIVITY_OBJECTIVE_FACTOR = 2.5;
const INACTIVITY_PAUSE_FACTOR = 4;
const MIN_INACTIVITY_TIMEOUT_MS = 600;

/** Estimate for the slot that a request waits for. */
export interface ExpectedSlot {
  /** The first byte is expected on time. */
  onTime: boolean;
  /** Order of service there. */
  rank: number;
  /** Time from the start to the first byte, in milliseconds. */
  firstMs: number;
}

/** Describes a request that waits for a slot, which it will hold for `costMs`. */
export function describeWaitingRequest(
  now: number,
  state: RequestState,
  { onTime, rank, firstMs }: ExpectedSlot,
  costMs: number,
): WaitingRequest {
  const { id, service, account, incoming } = state;
  const waitMs = onTime
    ? computeOnTimeLeftMs(now, state) - firstMs
    : computeMaxLateWaitMs(now, state);
  return {
    id,
    service,
    account: account?.name ?? '',
    rank,
    arrivedAt: incoming.arrivedAt,
    startBy: now + Math.max(0, waitMs),
    costMs,
    tokens: (incoming.metadata.promptTokens ?? 0) + (incoming.metadata.outputTokens ?? 0),
  };
}

/**
 * Returns the order of service. What continues work that has begun keeps the rank of requests that
 * are on time.
 */
export function chooseRank(state: RequestState, onTime: boolean): number {
  const { tier, lateStanding } = state.ranking;
  return computeRank(tier, onTime || isContinuation(state) ? Standing.OnTime : lateStanding);
}

/**
 * Returns the time from arrival in which the first byte is on time; Infinity for caller retries.
 */
export function computeObjectiveMs({ route, isCallerRetry }: RequestState): number {
  return isCallerRetry ? Infinity : route.objectiveMs * ON_TIME_FRACTION;
}

/** Returns the time left for a first byte on time; negative where it can no longer be on time. */
export function computeOnTimeLeftMs(now: number, state: RequestState): number {
  if (state.isCallerRetry) return -1;
  return state.incoming.arrivedAt + computeObjectiveMs(state) - now;
}

/** Returns how long a request whose answer will be late may still wait for a slot. */
export function computeMaxLateWaitMs(now: number, state: RequestState): number {
  const { route, incoming, deadlineAt, ranking } = state;
  if (isContinuation(state)) {
    return Math.min(deadlineAt - now, route.objectiveMs * CONTINUATION_WAIT_FACTOR);
  }
  const limitMs = deadlineAt - incoming.arrivedAt;
  return incoming.arrivedAt + limitMs * ranking.lateWaitFraction - now;
}

/** Returns whether the request repeats an attempt or takes up a stream. */
function isContinuation({ possibleRuns, attempts, origin }: RequestState): boolean {
  return possibleRuns > 0 || attempts.size > 0 || origin !== undefined;
}

/** Returns the time without data after which a server is silent; 0 where no repeat may follow. */
export function chooseInactivityTimeoutMs({ route, sentCount }: RequestState): number {
  if (route.repeat === Repeat.Never || sentCount + 1 >= route.attempts) return 0;
  const objectiveBasedMs = route.objectiveMs * INACTIVITY_OBJECTIVE_FACTOR;
  const pauseBasedMs = route.streamed ? route.pauseMs * INACTIVITY_PAUSE_FACTOR : 0;
  return Math.max(MIN_INACTIVITY_TIMEOUT_MS, objectiveBasedMs, pauseBasedMs);
}
