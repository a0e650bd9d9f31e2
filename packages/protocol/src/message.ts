/**
 * Messages between entries and agents. An entry connects to each agent that it uses; both ends send
 * these messages as length-prefixed frames of CBOR. Times on the wire are durations relative to the
 * moment of sending, since the clocks of two instances may differ.
 */
import type {
  AbortMessage,
  BodyMessage,
  CancelMessage,
  ClaimMessage,
  CreditMessage,
  DataMessage,
  DenyMessage,
  EndMessage,
  FailedMessage,
  GrantMessage,
  HeadMessage,
  QueuedMessage,
  RefusedMessage,
  ReserveMessage,
  ReturnedMessage,
  StartedMessage,
} from './call-message.js';
import type {
  ConfigurationEditMessage,
  ConfigurationMessage,
  QuotaMessage,
  QuotaRequestMessage,
  RevisionMessage,
  RevisionRequestMessage,
} from './configuration-message.js';
import type {
  CrashEvidenceMessage,
  ExposureLendMessage,
  PeerHelloMessage,
  PeerReportMessage,
  PermitHelloMessage,
  PermitMessage,
  PermitLeavingMessage,
  PermitRefusalMessage,
  PermitReleaseMessage,
  PermitReportMessage,
  PermitStartedMessage,
  RolloutReportMessage,
  StreamOriginMessage,
  StreamOriginReadMessage,
  StreamOriginsMessage,
  TableReadMessage,
  TableRowsMessage,
  VersionRecordMessage,
  PermitRequestMessage,
} from './gateway-message.js';

/** Version of this message set; both ends must use the same version. */
export const PROTOCOL_VERSION = 1;

/** Interval after which a heartbeat is sent on a connection that sent no other message. */
export const HEARTBEAT_INTERVAL_MS = 1_000;
/** Time without any message from the peer after which a connection is closed. */
export const HEARTBEAT_TIMEOUT_MS = 4_000;
/**
 * Longest silence of a peer with which calls are in progress. It may be suspended, and the calls
 * and their answers go on when it does.
 */
export const MAX_SILENCE_MS = 30_000;

/** HTTP path of chat completions, for callers and on model engines. */
export const CHAT_PATH = '/v1/chat/completions';

/** Longest time for which an agent waits for the first byte of its backend server's answer. */
export const FIRST_BYTE_TIMEOUT_MS = 600_000;

/** Bytes of an answer that may be in flight before the receiver grants more credit. */
export const STREAM_WINDOW_BYTES = 256 * 1024;

/** Largest chunk of a request or answer body in one message. */
export const MAX_CHUNK_BYTES = 32 * 1024;

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
  TableRead: 'table-read',
  TableRows: 'table-rows',
  StreamOrigins: 'stream-origins',
  StreamOriginRead: 'stream-origin-read',
  StreamOrigin: 'stream-origin',
  VersionRecord: 'version-record',
  PermitHello: 'permit-hello',
  PermitRequest: 'permit-request',
  Permit: 'permit',
  PermitRefusal: 'permit-refusal',
  PermitLeaving: 'permit-leaving',
  PermitStarted: 'permit-started',
  PermitRelease: 'permit-release',
  PermitReport: 'permit-report',
  CrashEvidence: 'crash-evidence',
  RolloutReport: 'rollout-report',
  ExposureLend: 'exposure-lend',
} as const;
export type MessageKind = (typeof MessageKind)[keyof typeof MessageKind];

/** Agent → entry, first message: the nonce that the proof in `hello` must cover. */
export interface ChallengeMessage {
  kind: 'challenge';
  nonce: string;
}

/** Entry → agent: identifies the entry and proves that it knows the mesh secret. */
export interface HelloMessage {
  kind: 'hello';
  version: number;
  instance: string;
  dataCentre: string;
  /** HMAC-SHA-256 of nonce and instance under the mesh secret, in hexadecimal. */
  proof: string;
  /** Configuration revision in force at the entry. */
  revision: number;
  /** Number of agents that the entry is connected to; they share its budget for load reports. */
  peers: number;
}

/** Agent → entry: the connection is accepted. */
export interface WelcomeMessage {
  kind: 'welcome';
  instance: string;
  backendServer: string;
  /** HMAC-SHA-256 of nonce and backend server under the mesh secret, as proof by the agent. */
  proof: string;
  revision: number;
  load: LoadReport;
}

/** Either direction: sent on an otherwise idle connection to show that it is alive. */
export interface HeartbeatMessage {
  kind: 'heartbeat';
}

/** State of an agent's queue and of its backend server. */
export interface LoadReport {
  /** False while the backend server is unreachable, ejected or has no model loaded. */
  ready: boolean;
  leaving: boolean;
  /** Time until a new request of the highest tier would start, in milliseconds. */
  startDelayMs: number;
  /** Measured prompt tokens per second. */
  prefillRate: number;
  /** Measured seconds per output token, for a request added to the current batch. */
  decodeRate: number;
  running: number;
  limit: number;
  /** Number of waiting reservations by tier, highest tier first. */
  waiting: number[];
  /** Waiting work by tier, in milliseconds of this backend server's time. */
  backlogMs: number[];
  /** Models (adapters as `model:adapter`) or services that can currently be served. */
  serves: string[];
}

/** Agent → entry, on change and periodically. */
export interface LoadMessage {
  kind: 'load';
  load: LoadReport;
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
  | CrashEvidenceMessage
  | PeerHelloMessage
  | PeerReportMessage
  | PermitHelloMessage
  | PermitRequestMessage
  | PermitMessage
  | PermitLeavingMessage
  | PermitRefusalMessage
  | PermitReleaseMessage
  | PermitReportMessage
  | PermitStartedMessage
  | StreamOriginMessage
  | StreamOriginReadMessage
  | StreamOriginsMessage
  | TableReadMessage
  | TableRowsMessage
  | VersionRecordMessage
  | RolloutReportMessage
  | ExposureLendMessage;

/** The message type of one kind. */
export type MessageOf<Kind extends MessageKind> = Extract<Message, { kind: Kind }>;
