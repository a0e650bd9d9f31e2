/** How long a request may wait for a place, and how long its server may be silent. */
import type { ServerBoard } from '@masticbend/scheduling/server-board';
import type { WaitingRequest } from '@masticbend/scheduling/waiting-line';
import { Repeat, type GatewayRoute } from '@masticbend/settings/routing';
import type { RequestState } from './request-state.js';

/** Part of the objective in which a request must be sent, less the time to its first byte. */
const WAIT_PART = 0.85;
/** Least wait that a request is allowed, as a part of its objective. */
const LEAST_WAIT_PART = 0.25;
/** Wait of a request whose first byte will be late in any case, and of a repeat, likewise. */
const LATE_WAIT_PART = 2;
const REPEAT_WAIT_PART = 2;
/** Silence after which a repeatable request goes elsewhere: parts of objective and pause. */
const SILENT_OBJECTIVES = 2.5;
const SILENT_PAUSES = 4;
const LEAST_SILENCE_MS = 600;

/** Describes a request that looks for a place. */
export function describeWaiting(
  now: number,
  board: Pick<ServerBoard, 'estimateFirstMs' | 'estimateHoldMs'>,
  state: RequestState,
): WaitingRequest {
  const { id, service, account, tier, work, incoming } = state;
  return {
    id,
    service,
    account: account?.name ?? '',
    tier,
    arrivedAt: incoming.arrivedAt,
    startBy: computeStartBy(now, board, state),
    costMs: board.estimateHoldMs(service, work),
    tokens: (incoming.facts.promptTokens ?? 0) + (incoming.facts.outputTokens ?? 0),
  };
}

/** Returns the moment after which a start would be too late. */
export function computeStartBy(
  now: number,
  board: Pick<ServerBoard, 'estimateFirstMs'>,
  { route, service, work, incoming, deadlineAt, mayHaveRun }: RequestState,
): number {
  if (mayHaveRun > 0) return Math.min(deadlineAt, now + route.objectiveMs * REPEAT_WAIT_PART);
  return incoming.arrivedAt + chooseWait(route, board.estimateFirstMs(service, work));
}

/** Returns the silence of a server after which a request is repeated; 0 where none is allowed. */
export function chooseSilence({ route, sent }: RequestState): number {
  if (route.repeat === Repeat.Never || sent + 1 >= route.attempts) return 0;
  const first = route.objectiveMs * SILENT_OBJECTIVES;
  const between = route.streamed ? route.pauseMs * SILENT_PAUSES : 0;
  return Math.max(LEAST_SILENCE_MS, first, between);
}

/** What cannot meet its objective loses nothing more by waiting for a place. */
function chooseWait({ objectiveMs }: GatewayRoute, firstMs: number): number {
  const spareMs = objectiveMs * WAIT_PART - firstMs;
  if (spareMs <= 0) return objectiveMs * LATE_WAIT_PART;
  return Math.max(objectiveMs * LEAST_WAIT_PART, spareMs);
}
