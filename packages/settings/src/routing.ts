/**
 * The routing configuration: routes from host and path to services, which requests may be repeated,
 * client accounts and their limits. Decoded by the platform's adapter; processes only read it.
 */

/** Whether a request may be sent again after its backend server did not answer completely. */
export const Repeat = {
  /** It may be executed again from the start. */
  Again: 'again',
  /** Its stream may be resumed at another backend server after the last delivered event. */
  Resume: 'resume',
  /** It is executed at most once. */
  Never: 'never',
} as const;
export type Repeat = (typeof Repeat)[keyof typeof Repeat];

/** A service and the weight of its share of a route's requests. */
export interface RouteTarget {
  service: string;
  weight: number;
}

/** Rules for the requests to one host whose path begins with a prefix. */
export interface GatewayRoute {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  prefix: string;
  targets: RouteTarget[];
  repeat: Repeat;
  /** Whether the answer is a stream of events. */
  streamed: boolean;
  /** Longest time until the complete answer, in milliseconds. */
  timeoutMs: number;
  /** Objective for the time to the answer, or to a stream's first event, in milliseconds. */
  objectiveMs: number;
  /** Objective for the time between two events of a stream, in milliseconds. */
  pauseMs: number;
  /** Maximum number of attempts, the first included, for one request. */
  attempts: number;
  /** Rank of the work; 0 is served first. */
  tier: number;
  /** Whether requests need no API key. */
  anonymous: boolean;
}

/** Properties that all backend servers of a service share. */
export interface GatewayService {
  name: string;
  healthPath: string;
  /** Maximum number of connections that one backend server accepts from all processes together. */
  connections: number;
  /**
   * Present where the backend servers are model engines. `batch` is the number of requests that an
   * engine runs together, `cacheTokens` the capacity of its KV cache.
   */
  engine?: { batch: number; cacheTokens: number; tokensPerEvent: number };
}

/** Unit of an account's limit. */
export const LimitUnit = { Requests: 'requests', Tokens: 'tokens' } as const;
export type LimitUnit = (typeof LimitUnit)[keyof typeof LimitUnit];

/** Limit of a client account over all instances. */
export interface AccountLimit {
  unit: LimitUnit;
  /** Units a second, sustained. */
  ratePerSecond: number;
  /** Units that may be admitted at once. */
  burst: number;
  /** Tokens counted for a request that does not state its number of tokens. */
  defaultTokens: number;
}

export interface GatewayAccount {
  name: string;
  keys: string[];
  /** Takes precedence over the tier of the route. */
  tier?: number;
  limit?: AccountLimit;
}

/** Limits on the requests and connections of callers. */
export interface CallerLimits {
  headerBytes: number;
  bodyBytes: number;
  /** Timeout for receiving the headers of a request. */
  headerMs: number;
  /** Timeout after which an idle connection is closed. */
  idleMs: number;
}

/** Bytes of a header line in addition to its name and value: colon, space and line break. */
export const HEADER_LINE_OVERHEAD_BYTES = 4;

/** Limits until a configuration is known, and where it sets none; from the platform's examples. */
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
  /**
   * Undefined where the configuration has no accounts at all, so that no route needs a key. With an
   * empty list no key is valid, and only anonymous routes are open.
   */
  accounts: GatewayAccount[] | undefined;
  limits: CallerLimits;
}

/** State that a backend server reports about itself. */
export const ServerState = { Ready: 'ready', Leaving: 'leaving' } as const;
export type ServerState = (typeof ServerState)[keyof typeof ServerState];

/** What a backend server says about itself in the headers of an answer. */
export interface ServerNotice {
  /** The server is leaving and must get no new requests. */
  isLeaving: boolean;
  /** Time for which it wants no requests from this instance, in milliseconds; 0 for none. */
  pauseMs: number;
  /**
   * Requests a second that it takes from all instances together; 'none' where it names no limit,
   * undefined where the answer does not tell.
   */
  limitPerS?: number | 'none';
}

/** A backend server as listed by the platform. */
export interface BackendServer {
  id: string;
  /** Start of the process as Unix time in milliseconds; distinguishes two incarnations. */
  bornAt: number;
  service: string;
  /** `IP:port`. */
  address: string;
  dataCentre: string;
  slots: number;
  state: ServerState;
  /** Version of its software, not of its model; empty when it states none. */
  softwareVersion: string;
  /** Remaining time for which it is slow after its start, in milliseconds. */
  coldMs: number;
}
