/** State of a request in one entry, from its arrival to its final answer. */
import type { RequestMetadata } from '@masticbend/platform/ingress';
import { listSharedParts } from '@masticbend/scheduling/prompt-parts';
import { hashRequest } from '@masticbend/scheduling/request-digest';
import { chooseService } from '@masticbend/scheduling/gateway-route';
import type { PermitOutcome } from '@masticbend/scheduling/permit-queue';
import type { PlacedWork, ServerEntry } from '@masticbend/scheduling/server-entry';
import type { StreamOrigin } from '@masticbend/scheduling/stream-origins';
import type { GatewayAccount, GatewayRoute } from '@masticbend/settings/routing';
import type { Attempt } from './attempt.js';
import type { AttemptResult } from './attempt-result.js';
import type { ExchangeRequest } from './backend-client.js';
import type { ConfigurationView } from './configuration-view.js';
import type { SentRequest } from './crash-watch.js';
import type { Ranking } from './ranking.js';
import type { Delivery } from './delivery.js';
import type { RolloutTracker, TrackedAttempt } from './rollout-tracker.js';

/** Expected output tokens of a request without an estimate, as a fraction of its maximum. */
const EXPECTED_OUTPUT_FRACTION = 0.3;

/** A request as it was received. */
export interface IncomingRequest {
  method: ExchangeRequest['method'];
  /** Path with query, as sent. */
  target: string;
  host: string;
  rawHeaders: readonly string[];
  metadata: RequestMetadata;
  body: Buffer;
  arrivedAt: number;
}

/** An attempt in progress. */
export interface RunningAttempt {
  entry: ServerEntry;
  startedAt: number;
  attempt: Attempt;
  /** The attempt as the crash watch tracks it. */
  sent: SentRequest;
  /** The attempt as a rollout counts it; undefined where its service has no order. */
  tracked?: TrackedAttempt;
  /** Its server has sent nothing for the inactivity timeout. */
  isSilent: boolean;
  /** Releases the slot that the attempt occupies. */
  releaseSlot: (outcome?: PermitOutcome) => void;
}

/** A finished request, for metrics. */
export interface RequestOutcome {
  tier: number;
  account: string;
  outcome: string;
  /** Times from arrival until first sent and until the first byte; undefined without one. */
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
  /** Its place in the order of service. */
  ranking: Ranking;
  /** The caller seems to retry after a refusal: its answer is late in any case. */
  isCallerRetry: boolean;
  /** Version of the configuration by which the request was admitted, or its access checked last. */
  version: number;
  work: PlacedWork;
  /** Shared parts of its prompt, by which it may be blocked. */
  parts: readonly string[];
  /** Identity of the whole request; undefined until `getDigest` is first called. */
  digest?: string;
  /** The blocked suspect with which it is sent, to find out whether that still crashes servers. */
  triedSuspect?: string;
  /** Units taken from the account's limit. */
  units: number;
  deadlineAt: number;
  /** It waits for a server: in the request queue, or for permits. */
  isPlacing: boolean;
  /** Servers to which the request was sent. */
  sentServers: Set<string>;
  /**
   * Servers excluded from further placement: the request was sent there, or the refusal of their
   * agent left no permit request pending.
   */
  triedServers: Set<string>;
  /** Servers whose agents have not answered a permit request yet. */
  pendingServers: Set<string>;
  /**
   * Number of permit requests so far, and the shortest wait expected by an agent that refused one.
   */
  permitRequests: number;
  minRefusedWaitMs: number | undefined;
  /**
   * Origin of its stream, once the caller has received the first event: only servers of the same
   * service and software version may continue it.
   */
  origin?: StreamOrigin;
  /** The rollout whose new version it is placed at, by a part of the exposure budget. */
  trial?: RolloutTracker;
  /** It is moved there in the shift, and not as a sample that may also go to the old version. */
  isMoved?: boolean;
  /** The new version had no room for it. */
  isTrialRefused?: boolean;
  /** Attempts in which the request was sent. */
  sentCount: number;
  /** Times at which it was first sent and the first byte arrived; undefined until then. */
  firstSentAt: number | undefined;
  firstByteAt: number | undefined;
  /** Number of attempts that may have run. */
  possibleRuns: number;
  lastEventId?: string;
  /** Time at which a repeat was taken from the budget; undefined once it is sent. */
  repeatTakenAt?: number;
  /** One attempt, or silent ones and that which may replace them. */
  attempts: Set<RunningAttempt>;
  /** A failure answered by a backend server, delivered if no repeat succeeds. */
  fallback?: Extract<AttemptResult, { kind: 'answer' }>;
  lastFailureReason: string;
  stopDeadlineTimer: () => void;
}

/** Route and account by which a request was admitted. */
export interface Access {
  route: GatewayRoute;
  account?: GatewayAccount;
}

/** Returns the state of a newly admitted request; `id` is unique in this process. */
export function createRequestState(
  id: string,
  incoming: IncomingRequest,
  delivery: Delivery,
  { route, account }: Access,
  { configuration }: ConfigurationView,
  drawRandom: () => number,
  isCallerRetry: boolean,
  ranking: Ranking,
): RequestState {
  const { metadata, arrivedAt } = incoming;
  const service = chooseService(route, drawRandom);
  const engine = configuration.services.get(service)?.engine;
  const timeoutMs = Math.min(metadata.deadlineMs ?? route.timeoutMs, route.timeoutMs);
  return {
    id,
    incoming,
    delivery,
    route,
    service,
    account,
    tier: account?.tier ?? route.tier,
    ranking,
    isCallerRetry,
    version: configuration.version,
    work: describeWork(route, metadata, engine?.tokensPerEvent ?? 1),
    parts: listSharedParts(metadata.prompt),
    units: 0,
    deadlineAt: arrivedAt + timeoutMs,
    isPlacing: false,
    sentServers: new Set(),
    triedServers: new Set(),
    pendingServers: new Set(),
    permitRequests: 0,
    minRefusedWaitMs: undefined,
    sentCount: 0,
    possibleRuns: 0,
    firstSentAt: undefined,
    firstByteAt: undefined,
    lastFailureReason: '',
    attempts: new Set(),
    stopDeadlineTimer: () => {},
  };
}

/** Returns the identity of a whole request, which takes time in proportion to its body. */
export function getDigest(state: RequestState): string {
  const { incoming, route, account } = state;
  const { method, target, metadata, body } = incoming;
  state.digest ??= hashRequest({
    method,
    host: route.host,
    target,
    account: account?.name ?? '',
    prompt: metadata.prompt,
    body,
  });
  return state.digest;
}

/** Describes a request that has received its final answer. */
export function describeOutcome(
  now: number,
  { incoming, tier, account, firstSentAt, firstByteAt }: RequestState,
  outcome: string,
): RequestOutcome {
  const getElapsedMs = (moment: number) => moment - incoming.arrivedAt;
  return {
    tier,
    account: account?.name ?? '',
    outcome,
    waitMs: firstSentAt && getElapsedMs(firstSentAt),
    firstByteMs: firstByteAt && getElapsedMs(firstByteAt),
    totalMs: getElapsedMs(now),
  };
}

function describeWork(
  route: GatewayRoute,
  metadata: RequestMetadata,
  tokensPerEvent: number,
): PlacedWork {
  if (!route.streamed) return { promptTokens: 0, events: 0 };
  const maxTokens = metadata.outputTokens ?? 0;
  const tokens = metadata.expectedTokens ?? maxTokens * EXPECTED_OUTPUT_FRACTION;
  return {
    promptTokens: metadata.promptTokens ?? 0,
    events: Math.max(1, Math.min(tokens, maxTokens || tokens) / tokensPerEvent),
  };
}
