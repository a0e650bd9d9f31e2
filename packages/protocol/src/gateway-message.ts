/** Messages of the gateway: between its entries, and between an entry and a permit agent. */

/** Entry → entry, first message in either direction. */
export interface PeerHelloMessage {
  kind: 'peer-hello';
  instance: string;
  /** Identifies the process: differs between two processes of the same instance. */
  incarnation: string;
}

/**
 * Entry → entry: the sender's running requests by backend server, and the units that it admitted by
 * account. `running` is in the order of `servers`, `units` and
 * `askedUnits` in that of `accounts`. On backend servers
 * that are not listed, none of the sender's requests runs.
 */
export interface PeerReportMessage {
  kind: 'peer-report';
  servers: string[];
  running: number[];
  accounts: string[];
  /** Units admitted and units asked for since the sender's start. */
  units: number[];
  askedUnits: number[];
  /** Version of the configuration in force at the sender; 0 for none. */
  version: number;
  /**
   * Backend servers that told the sender that they are leaving or want a pause; `noticeBornAt`
   * identifies their incarnation, `noticePauseMs` is 0 where no pause is left.
   */
  noticeServers: string[];
  noticeBornAt: number[];
  noticeLeaving: boolean[];
  noticePauseMs: number[];
  /**
   * Requests a second that these servers take from all entries: -1 where their answers name no
   * limit any more, -2 where that is not known; and the age of the answer in milliseconds.
   */
  noticeLimitPerS: number[];
  noticeLimitAgeMs: number[];
  /** Services with limited servers, and the sender's demand for them in requests a second. */
  demandServices: string[];
  demandPerS: number[];
}

/**
 * Entry → entry: reads a table of the store from the rows that the receiver has read. Without newer
 * rows the receiver answers after `waitMs`.
 */
export interface TableReadMessage {
  kind: 'table-read';
  id: number;
  table: string;
  /** Store era and revision after which changes are requested; -1 requests all rows. */
  era: number;
  after: number;
  waitMs: number;
}

/** Entry → entry: the answer to `table-read`. The lists are in the order of `keys`. */
export interface TableRowsMessage {
  kind: 'table-rows';
  id: number;
  result: 'rows' | 'history-lost' | 'unavailable';
  era: number;
  revision: number;
  /** Time since the sender sent the read that last confirmed its rows, in milliseconds. */
  ageMs: number;
  keys: string[];
  values: Uint8Array[];
  revisions: number[];
  deleted: boolean[];
}

/**
 * Entry → entry: streams whose first events came from a service's backend servers of one software
 * version, by the ids of their requests.
 */
export interface StreamOriginsMessage {
  kind: 'stream-origins';
  service: string;
  softwareVersion: string;
  streams: string[];
}

/** Entry → entry: asks for the origin of a stream. */
export interface StreamOriginReadMessage {
  kind: 'stream-origin-read';
  stream: string;
}

/** Entry → entry: the answer to `stream-origin-read`; the origin is empty where it is not known. */
export interface StreamOriginMessage {
  kind: 'stream-origin';
  stream: string;
  isKnown: boolean;
  service: string;
  softwareVersion: string;
}

/** Entry → entry: the sender has written the row with the software versions of a service. */
export interface VersionRecordMessage {
  kind: 'version-record';
  service: string;
  era: number;
  revision: number;
  /** The value of the row. */
  value: string;
}

/**
 * Entry → entry: evidence on what may crash backend servers. The lists are in the order of `parts`,
 * which are parts of prompts and whole requests; incarnations of servers are separated by spaces.
 */
export interface CrashEvidenceMessage {
  kind: 'crash-evidence';
  parts: string[];
  crashes: string[];
  /** Those of `crashes` for which the part was not the cause. */
  refuted: string[];
  trials: number[];
  /**
   * Those of `trials` that failed, and those that were lost with a crashed server; entries of an
   * earlier build don't send them.
   */
  failedTrials?: number[];
  lostTrials?: number[];
  /** Server of which the sender asks what else was lost with it. */
  askedCrash?: string;
  /** Server of which the message tells all that its sender lost with it, if it is complete. */
  answeredCrash?: string;
  isComplete?: boolean;
}

/**
 * Entry → entry: what the sender knows of an order to roll out a software version, and what it has
 * counted since. The counters only grow. `good` and `bad` are in the order of `routes` and
 * `versions`, which name one pair of route and version at each index.
 */
export interface RolloutReportMessage {
  kind: 'rollout-report';
  service: string;
  /** Revision of the order's row, and the era of the store in which it was read first. */
  order: number;
  era: number;
  to: string;
  stage: string;
  /** The sender has stopped to send requests to the version for good. */
  isBad: boolean;
  /** Requests sent to any server of the service, and those sent to the version. */
  requests: number;
  exposed: number;
  /** Requests that are open at other versions, and those that may still be sent there. */
  openElsewhere: number;
  /** In the shift: the sender is ready to promise that it sends to no other version any more. */
  isDrained?: boolean;
  /** In the shift: requests that its budget has beyond its need; negative what it lacks. */
  balance?: number;
  routes: string[];
  versions: string[];
  good: number[];
  bad: number[];
}

/** Entry → entry: the sender has reduced its own exposure budget by `amount`. */
export interface ExposureLendMessage {
  kind: 'exposure-lend';
  service: string;
  order: number;
  era: number;
  amount: number;
}

/** Entry → agent, first message: the backend server that the entry needs permits for. */
export interface PermitHelloMessage {
  kind: 'permit-hello';
  instance: string;
  server: string;
  /** Start of the backend server, as Unix time in milliseconds. */
  bornAt: number;
  /** The entry knows that the backend server is leaving. */
  leaving: boolean;
  /** Number of requests that the backend server runs concurrently. */
  slots: number;
  /** Ids of the entry's requests that already run there. */
  running: string[];
  /** Most requests of the entry that this incarnation ran at once and answered. */
  proven?: number;
}

/** Entry → agent: requests a permit to send one request to the backend server. */
export interface PermitRequestMessage {
  kind: 'permit-request';
  request: string;
  account: string;
  /** Order of service; 0 is served first. */
  rank: number;
  tokens: number;
  /** Prompt tokens that the backend server reads before the first output. */
  promptTokens: number;
  /** Time for which the request is expected to hold its permit, in milliseconds. */
  holdMs: number;
  /** Longest wait for the permit, in milliseconds; beyond it the request is refused. */
  waitMs: number;
  /** Number of agents from which the entry requests a permit for this request at the same time. */
  agents: number;
  /** Tokens that the backend server has room for; without it there is no bound. */
  memoryTokens?: number;
  /** The request may be sent again after a failure; it may by default. */
  repeatable?: boolean;
  /** Longest time between two events of its answer, in milliseconds; an entry may not state it. */
  pauseMs?: number;
}

/** Agent → entry: the permit is granted; the request may be sent now. */
export interface PermitMessage {
  kind: 'permit';
  request: string;
  /** Permits in use at the agent, over all entries. */
  held: number;
  /** Prompt tokens of the permits in use whose requests have no output yet. */
  pendingTokens: number;
  /** Tokens of the permits in use, prompts and longest answers; an agent may not report them. */
  heldTokens?: number;
  /** Prefill time per thousand prompt tokens, in milliseconds, where the agent measures it. */
  prefillMs?: number;
  /** Expected wait by rank, in milliseconds; the last value also applies to later ranks. */
  waitsMs: readonly number[];
  /**
   * Highest rank whose requests are refused since it gets no slots, and how many of them got slots
   * in the last second or so; absent where no rank is closed.
   */
  closedRank?: number;
  closedPlaced?: number;
}

/**
 * Agent → entry: the permit is refused; its wait would exceed, or has exceeded, the longest wait.
 */
export interface PermitRefusalMessage {
  kind: 'permit-refusal';
  request: string;
  /** Expected wait at the refusal, in milliseconds. */
  waitMs: number;
  held: number;
  pendingTokens: number;
  /** Tokens of the permits in use, prompts and longest answers; an agent may not report them. */
  heldTokens?: number;
  /** Prefill time per thousand prompt tokens, in milliseconds, where the agent measures it. */
  prefillMs?: number;
  waitsMs: readonly number[];
  /** The backend server is leaving: the agent grants no more permits. */
  leaving: boolean;
  /** As in `PermitMessage`. */
  closedRank?: number;
  closedPlaced?: number;
}

/** Entry → agent: the backend server has said that it is leaving. */
export interface PermitLeavingMessage {
  kind: 'permit-leaving';
  /** Start of the backend server, as Unix time in milliseconds. */
  bornAt: number;
}

/** Entry → agent: the first output of the request has arrived; its prompt has been read. */
export interface PermitStartedMessage {
  kind: 'permit-started';
  request: string;
}

/** Entry → agent: the request has ended, or no longer needs a permit from this agent. */
export interface PermitReleaseMessage {
  kind: 'permit-release';
  request: string;
  /** How the server dealt with the request, where its pace goes by that. */
  outcome?: 'answered' | 'refused' | 'failed';
  /** False where a request that waited got no slot at any other server. */
  placed?: boolean;
}

/** Agent → entry, periodically. */
export interface PermitReportMessage {
  kind: 'permit-report';
  /** Interval of these reports while no request of the entry waits, in milliseconds. */
  intervalMs: number;
  held: number;
  pendingTokens: number;
  /** Tokens of the permits in use, prompts and longest answers; an agent may not report them. */
  heldTokens?: number;
  /** Prefill time per thousand prompt tokens, in milliseconds, where the agent measures it. */
  prefillMs?: number;
  waitsMs: readonly number[];
  /** As in `PermitMessage`. */
  closedRank?: number;
  closedPlaced?: number;
}
