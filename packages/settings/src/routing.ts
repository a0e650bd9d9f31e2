/**
 * The routing configuration: which path of which host goes to which service, what may be repeated,
 * who may call and how much. Decoded by the platform's adapter; every process only reads it.
 */

/** What may be done with a request whose backend server did not answer whole. */
export const Repeat = {
  /** It may run again from the start. */
  Again: 'again',
  /** Its stream may go on at another backend server after the last event delivered. */
  Resume: 'resume',
  /** It runs once at most. */
  Never: 'never',
} as const;
export type Repeat = (typeof Repeat)[keyof typeof Repeat];

/** A service with its share of a route's requests. */
export interface RouteTarget {
  service: string;
  weight: number;
}

/** Requests of one host whose path begins with a prefix. */
export interface GatewayRoute {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  targets: RouteTarget[];
  repeat: Repeat;
  /** The answer is a series of events. */
  streamed: boolean;
  /** Longest time until the final answer, in milliseconds. */
  timeoutMs: number;
  /** Time to the answer, or a stream's first event, that callers are promised, in milliseconds. */
  objectiveMs: number;
  /** Longest pause between two events of a stream that is in time, in milliseconds. */
  pauseMs: number;
  /** Most backend servers one request is sent to. */
  attempts: number;
  /** Rank of the work; 0 goes first. */
  tier: number;
  /** Needs no API key. */
  anonymous: boolean;
}

/** Facts about a service that hold for all its backend servers. */
export interface GatewayService {
  name: string;
  healthPath: string;
  /** Most connections one backend server accepts from all processes together. */
  connections: number;
  /** Present where the backend servers are model engines. */
  engine?: { batch: number; cacheTokens: number; tokensPerEvent: number };
}

/** Unit that an account's limit counts in. */
export const LimitUnit = { Requests: 'requests', Tokens: 'tokens' } as const;
export type LimitUnit = (typeof LimitUnit)[keyof typeof LimitUnit];

/** Limit of a client account over all instances. */
export interface AccountLimit {
  unit: LimitUnit;
  /** Units a second, sustained. */
  ratePerSecond: number;
  /** Units that may come at once. */
  burst: number;
  /** Tokens counted for a request that does not say how many it has. */
  defaultTokens: number;
}

/** A client account. */
export interface GatewayAccount {
  name: string;
  keys: string[];
  /** Goes before the tier of the route. */
  tier?: number;
  limit?: AccountLimit;
}

/** Bounds of what a caller may send. */
export interface CallerLimits {
  headerBytes: number;
  bodyBytes: number;
  /** Longest time for the head of a request, in milliseconds. */
  headerMs: number;
  /** Longest time a connection may stay unused, in milliseconds. */
  idleMs: number;
}

/** Bounds where a configuration gives none, and before one is known; the platform's examples. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  headerBytes: 16_384,
  bodyBytes: 4_194_304,
  headerMs: 3_000,
  idleMs: 15_000,
};

/** One version of the routing configuration. */
export interface RoutingConfiguration {
  version: number;
  routes: GatewayRoute[];
  services: Map<string, GatewayService>;
  accounts: GatewayAccount[];
  limits: CallerLimits;
}

/** State that a backend server reports of itself. */
export const ServerState = { Ready: 'ready', Leaving: 'leaving' } as const;
export type ServerState = (typeof ServerState)[keyof typeof ServerState];

/** A backend server as listed by the platform. */
export interface BackendServer {
  id: string;
  /** Start of the process as a Unix time in milliseconds; tells two incarnations apart. */
  bornAt: number;
  service: string;
  /** `IP:port`. */
  address: string;
  dataCentre: string;
  slots: number;
  state: ServerState;
  /** Time it stays slow after its start, in milliseconds. */
  coldMs: number;
}
