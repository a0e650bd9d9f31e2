/** What one entry knows of a request between its arrival and its final answer. */
import type { CallerFacts } from '@masticbend/platform/ingress';
import { chooseService } from '@masticbend/scheduling/gateway-route';
import type { PlacedWork } from '@masticbend/scheduling/server-entry';
import type { GatewayAccount, GatewayRoute } from '@masticbend/settings/routing';
import type { Attempt, AttemptResult } from './attempt.js';
import type { ExchangeRequest } from './backend-client.js';
import type { ConfigurationView } from './configuration-view.js';
import type { Delivery } from './delivery.js';

/** Output tokens expected of a request that gives no estimate, as a part of its most. */
const EXPECTED_OUTPUT_PART = 0.3;

/** A request as it came in. */
export interface IncomingRequest {
  method: ExchangeRequest['method'];
  /** Path with query, as sent. */
  target: string;
  host: string;
  rawHeaders: readonly string[];
  facts: CallerFacts;
  body: Buffer;
  arrivedAt: number;
}

/** One answered request, for metrics. */
export interface RequestOutcome {
  tier: number;
  account: string;
  outcome: string;
  /** Time to the first sending and to the first byte; undefined without one. */
  waitMs: number | undefined;
  firstByteMs: number | undefined;
  totalMs: number;
}

/** State of an open request. Times are monotonic, in milliseconds. */
export interface RequestState {
  id: string;
  incoming: IncomingRequest;
  delivery: Delivery;
  route: GatewayRoute;
  service: string;
  account?: GatewayAccount;
  tier: number;
  /** The caller was refused before; its answer is late in any case. */
  returned: boolean;
  version: number;
  work: PlacedWork;
  units: number;
  deadlineAt: number;
  tried: Set<string>;
  /** Servers whose agents were asked and have not answered. */
  asked: Set<string>;
  /** Agents asked so far, and the least wait that one of them expected. */
  asks: number;
  refusedWaitMs: number | undefined;
  /** Servers that it was sent to. */
  sent: number;
  /** When it was first sent, and when the first byte of an answer came; undefined until then. */
  sentAt: number | undefined;
  firstByteAt: number | undefined;
  /** Attempts that may have run. */
  mayHaveRun: number;
  lastEventId?: string;
  attempt?: Attempt;
  /** Frees the place that the attempt holds. */
  release: () => void;
  /** A backend server's failure, delivered when no repeat does better. */
  fallback?: Extract<AttemptResult, { kind: 'answer' }>;
  lastReason: string;
  stopDeadline: () => void;
}

/** Route and account that a request was admitted by. */
export interface Access {
  route: GatewayRoute;
  account?: GatewayAccount;
}

/** Returns the state of a request that was just admitted; `id` is unique in this process. */
export function createRequestState(
  id: string,
  incoming: IncomingRequest,
  delivery: Delivery,
  { route, account }: Access,
  { configuration }: ConfigurationView,
  drawRandom: () => number,
  returned: boolean,
): RequestState {
  const { facts, arrivedAt } = incoming;
  const service = chooseService(route, drawRandom);
  const engine = configuration.services.get(service)?.engine;
  const limitMs = Math.min(facts.deadlineMs ?? route.timeoutMs, route.timeoutMs);
  return {
    id,
    incoming,
    delivery,
    route,
    service,
    account,
    tier: account?.tier ?? route.tier,
    returned,
    version: configuration.version,
    work: describeWork(route, facts, engine?.tokensPerEvent ?? 1),
    units: 0,
    deadlineAt: arrivedAt + limitMs,
    tried: new Set(),
    asked: new Set(),
    asks: 0,
    refusedWaitMs: undefined,
    sent: 0,
    mayHaveRun: 0,
    sentAt: undefined,
    firstByteAt: undefined,
    lastReason: '',
    release: () => {},
    stopDeadline: () => {},
  };
}

/** Describes a request that has its final answer. */
export function describeOutcome(
  now: number,
  { incoming, tier, account, sentAt, firstByteAt }: RequestState,
  outcome: string,
): RequestOutcome {
  const getTimeTo = (moment: number) => moment - incoming.arrivedAt;
  return {
    tier,
    account: account?.name ?? '',
    outcome,
    waitMs: sentAt && getTimeTo(sentAt),
    firstByteMs: firstByteAt && getTimeTo(firstByteAt),
    totalMs: getTimeTo(now),
  };
}

function describeWork(route: GatewayRoute, facts: CallerFacts, tokensPerEvent: number): PlacedWork {
  if (!route.streamed) return { promptTokens: 0, events: 0 };
  const most = facts.outputTokens ?? 0;
  const tokens = facts.expectedTokens ?? most * EXPECTED_OUTPUT_PART;
  return {
    promptTokens: facts.promptTokens ?? 0,
    events: Math.max(1, Math.min(tokens, most || tokens) / tokensPerEvent),
  };
}
