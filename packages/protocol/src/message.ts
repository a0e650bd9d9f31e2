/**
 * Messages between entries and agents. An entry dials each agent it uses; both ends speak these
 * messages as CBOR maps in length-prefixed frames. Times on the wire are durations relative to the
 * moment of sending, since no two clocks agree.
 */
import type { Failure } from './error.js';
import type {
  PeerHelloMessage,
  PeerReportMessage,
  PermitHelloMessage,
  PermitMessage,
  PermitRefusalMessage,
  PermitReleaseMessage,
  PermitReportMessage,
  PermitRequestMessage,
} from './gateway-message.js';

/** Version of this message set; both ends must match. */
export const PROTOCOL_VERSION = 1;

/** Longest pause between two messages on a live connection; silence beyond it closes it. */
export const HEARTBEAT_INTERVAL_MS = 1_000;
export const SILENCE_LIMIT_MS = 4_000;

/** Path of chat completions, for callers and at model engines. */
export const CHAT_PATH = '/v1/chat/completions';

/** Longest time an agent waits for the first byte of its backend server's answer. */
export const FIRST_BYTE_LIMIT_MS = 600_000;

/** Bytes a stream may have in flight before the receiver returns credit. */
export const STREAM_WINDOW_BYTES = 256 * 1024;

/** Largest piece of a request or answer body in one message. */
export const CHUNK_BYTES = 32 * 1024;

export const MessageKind = {
  Challenge: 'challenge',
  Hello: 'hello',
  Welcome: 'welcome',
  Heartbeat: 'heartbeat',
  Load: 'load',
  Reserve: 'reserve',
  Queued: 'queued',
  Refused: 'refused',
  Cancel: 'cancel',
  Claim: 'claim',
  Grant: 'grant',
  Deny: 'deny',
  Body: 'body',
  Returned: 'returned',
  Started: 'started',
  Head: 'head',
  Data: 'data',
  Credit: 'credit',
  End: 'end',
  Failed: 'failed',
  Abort: 'abort',
  Revision: 'revision',
  RevisionRequest: 'revision-request',
  ConfigurationEdit: 'configuration-edit',
  Configuration: 'configuration',
  QuotaRequest: 'quota-request',
  Quota: 'quota',
  PeerHello: 'peer-hello',
  PeerReport: 'peer-report',
  PermitHello: 'permit-hello',
  PermitRequest: 'permit-request',
  Permit: 'permit',
  PermitRefusal: 'permit-refusal',
  PermitRelease: 'permit-release',
  PermitReport: 'permit-report',
} as const;
export type MessageKind = (typeof MessageKind)[keyof typeof MessageKind];

/** Agent → entry, first message: the nonce that `hello` must sign. */
export interface ChallengeMessage {
  kind: 'challenge';
  nonce: string;
}

/** Entry → agent: who dials, with a keyed hash of the nonce. */
export interface HelloMessage {
  kind: 'hello';
  version: number;
  instance: string;
  dataCentre: string;
  /** HMAC-SHA-256 of nonce and instance under the mesh secret, in hexadecimal. */
  proof: string;
  /** Revision in force at the entry. */
  revision: number;
  /** Agents that the entry keeps connections to, which share its budget for load reports. */
  peers: number;
}

/** Agent → entry: the connection is accepted. */
export interface WelcomeMessage {
  kind: 'welcome';
  instance: string;
  backendServer: string;
  /** HMAC-SHA-256 of nonce and backend server under the mesh secret: proves the agent too. */
  proof: string;
  revision: number;
  load: LoadReport;
}

/** Either way: the connection is alive. */
export interface HeartbeatMessage {
  kind: 'heartbeat';
}

/** What an agent knows about its queue and its backend server. */
export interface LoadReport {
  /** False while the backend server is unreachable, ejected or has no model loaded. */
  ready: boolean;
  leaving: boolean;
  /** Time until a newcomer of the highest tier would start, in milliseconds. */
  startDelayMs: number;
  /** Measured prompt tokens per second, and seconds per output token at the current batch. */
  prefillRate: number;
  decodeRate: number;
  running: number;
  limit: number;
  /** Waiting reservations by tier, highest tier first. */
  waiting: number[];
  /** Work waiting by tier, in milliseconds of this backend server's time. */
  backlogMs: number[];
  /** Models (with adapters as `model:adapter`) or services that can be served now. */
  serves: string[];
}

/** Agent → entry, on change and at intervals. */
export interface LoadMessage {
  kind: 'load';
  load: LoadReport;
}

/** Size and rights of one request, without its body. */
export interface WorkDescription {
  account: string;
  /** 0 is the highest tier. */
  tier: number;
  /** Model or service name. */
  target: string;
  /** Class of work whose lengths are alike, such as `dossier` or `tag`. */
  work: string;
  promptTokens: number;
  /** Chained hashes of the prompt's blocks, the first block first. */
  prefix: string[];
  /** Output tokens: expected at the median, and at the high quantile used for deadlines. */
  outputTokens: number;
  outputTokensHigh: number;
  /** Time left until the answer is late, in milliseconds. */
  deadlineMs: number;
  /** Share of the account inside its tier. */
  weight: number;
  /** False when a second run would do harm. */
  idempotent: boolean;
}

/** Entry → agent: asks for a place in the queue. */
export interface ReserveMessage {
  kind: 'reserve';
  request: string;
  work: WorkDescription;
  /** May displace lower tiers that wait here. */
  displace: boolean;
}

/** Agent → entry: the reservation waits. */
export interface QueuedMessage {
  kind: 'queued';
  request: string;
  startDelayMs: number;
  /** Prompt tokens the backend server holds already. */
  cachedTokens: number;
}

/** Agent → entry: the reservation was refused, displaced or has expired; it never ran. */
export interface RefusedMessage {
  kind: 'refused';
  request: string;
  failure: Failure;
}

/** Entry → agent: the reservation is no longer wanted. */
export interface CancelMessage {
  kind: 'cancel';
  request: string;
}

/** Agent → entry: the backend server can take this request now. */
export interface ClaimMessage {
  kind: 'claim';
  request: string;
  /** Number unique on this agent since its start. */
  claim: number;
  /** Time the entry has to answer, in milliseconds. */
  validMs: number;
}

/** Entry → agent: the one grant of this request; the body follows. */
export interface GrantMessage {
  kind: 'grant';
  request: string;
  claim: number;
  /** Time left until the answer is late, in milliseconds. */
  deadlineMs: number;
  call: BackendCall;
}

/** The call to make at the backend server. */
export interface BackendCall {
  method: string;
  path: string;
  headers: Record<string, string>;
  bodyBytes: number;
  /** Present on calls that must run at most once, and on keyed lookups. */
  idempotency?: IdempotencyReference;
  /** True when the backend server answers with server-sent events. */
  stream: boolean;
}

/** Names the record that guards a keyed call. */
export interface IdempotencyReference {
  account: string;
  key: string;
  /** SHA-256 of method, path and body, in hexadecimal. */
  fingerprint: string;
  /** Unique for each grant. */
  attempt: string;
}

/** Entry → agent: the claim is not granted. */
export interface DenyMessage {
  kind: 'deny';
  request: string;
  claim: number;
}

/** Entry → agent: a piece of the request body; `last` ends it. */
export interface BodyMessage {
  kind: 'body';
  request: string;
  data: Uint8Array;
  last: boolean;
}

/** Agent → entry: a granted request was not started and never will be by this agent. */
export interface ReturnedMessage {
  kind: 'returned';
  request: string;
  claim: number;
  failure: Failure;
}

/** Agent → entry: the first byte goes to the backend server now; the request counts as run. */
export interface StartedMessage {
  kind: 'started';
  request: string;
}

/** Agent → entry: status and headers of the answer. */
export interface HeadMessage {
  kind: 'head';
  request: string;
  status: number;
  headers: Record<string, string>;
  /** True when the answer comes from an idempotency record. */
  recorded: boolean;
}

/** Agent → entry: a piece of the answer, numbered from 0. */
export interface DataMessage {
  kind: 'data';
  request: string;
  sequence: number;
  data: Uint8Array;
}

/** Entry → agent: the receiver took this many bytes; the sender may send as many more. */
export interface CreditMessage {
  kind: 'credit';
  request: string;
  bytes: number;
}

/** Agent → entry: the answer is whole. */
export interface EndMessage {
  kind: 'end';
  request: string;
  /** Pieces and bytes sent, which the entry checks against what came. */
  chunks: number;
  bytes: number;
  usage: Usage;
}

/** What the request cost at the backend server. */
export interface Usage {
  promptTokens: number;
  cachedTokens: number;
  outputTokens: number;
  /** Time from call to first byte and to last byte, in milliseconds. */
  firstByteMs: number;
  totalMs: number;
}

/** Agent → entry: the backend call failed after it started. */
export interface FailedMessage {
  kind: 'failed';
  request: string;
  failure: Failure;
}

/** Entry → agent: the caller is gone; cancel the call where that does no harm. */
export interface AbortMessage {
  kind: 'abort';
  request: string;
}

/** Either way: the configuration revision in force at the sender. */
export interface RevisionMessage {
  kind: 'revision';
  revision: number;
}

/** Either way: asks for the configuration at or above a revision. */
export interface RevisionRequestMessage {
  kind: 'revision-request';
  revision: number;
}

/** Either way: one committed edit, for a peer that has the revision before it in force. */
export interface ConfigurationEditMessage {
  kind: 'configuration-edit';
  revision: number;
  /** Digest of the document after the edit, in hexadecimal. */
  digest: string;
  /** The edit's operations in JSON. */
  operations: string;
}

/** Either way: a piece of a committed configuration document. */
export interface ConfigurationMessage {
  kind: 'configuration';
  revision: number;
  /** Digest of the whole document, in hexadecimal. */
  digest: string;
  /** Place of this piece, from 0, and the number of pieces. */
  index: number;
  count: number;
  /** A part of the document in TOML. */
  text: string;
}

/**
 * Entry → agent: what the entry's callers ask of some accounts; the lists go by position. Asks for
 * leased shares of the accounts' limits.
 */
export interface QuotaRequestMessage {
  kind: 'quota-request';
  accounts: string[];
  /** Requests and tokens per second, and open requests, that callers ask for. */
  requestRates: number[];
  tokenRates: number[];
  concurrencies: number[];
  /** Wanted time of the leases, in milliseconds. */
  validMs: number;
}

/** Agent → entry: leased shares of accounts' limits; the lists go by position. */
export interface QuotaMessage {
  kind: 'quota';
  accounts: string[];
  requestRates: number[];
  tokenRates: number[];
  concurrencies: number[];
  validMs: number;
  /** Entries connected to the agent. */
  entries: number;
}

export type Message =
  | ChallengeMessage
  | HelloMessage
  | WelcomeMessage
  | HeartbeatMessage
  | LoadMessage
  | ReserveMessage
  | QueuedMessage
  | RefusedMessage
  | CancelMessage
  | ClaimMessage
  | GrantMessage
  | DenyMessage
  | BodyMessage
  | ReturnedMessage
  | StartedMessage
  | HeadMessage
  | DataMessage
  | CreditMessage
  | EndMessage
  | FailedMessage
  | AbortMessage
  | RevisionMessage
  | RevisionRequestMessage
  | ConfigurationEditMessage
  | ConfigurationMessage
  | QuotaRequestMessage
  | QuotaMessage
  | PeerHelloMessage
  | PeerReportMessage
  | PermitHelloMessage
  | PermitRequestMessage
  | PermitMessage
  | PermitRefusalMessage
  | PermitReleaseMessage
  | PermitReportMessage;

/** Message of one kind. */
export type MessageOf<Kind extends MessageKind> = Extract<Message, { kind: Kind }>;
