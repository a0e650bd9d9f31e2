/**
 * Messages of one call between an entry and an agent: its reservation in the agent's queue, the
 * claim and the grant, the body, and the answer of the backend server.
 */
import type { Failure } from './error.js';

/** Size, deadline and priority of one request, without its body. */
export interface WorkDescription {
  account: string;
  /** 0 is the highest tier. */
  tier: number;
  /** Model or service name. */
  target: string;
  /** Class of work with similar output lengths, such as `dossier` or `tag`. */
  work: string;
  promptTokens: number;
  /** Chained hashes of the prompt's blocks, in order. */
  prefix: string[];
  /** Expected output tokens, at the median. */
  outputTokens: number;
  /** Expected output tokens, at the high quantile used for deadlines. */
  outputTokensHigh: number;
  /** Time left until the deadline of the answer, in milliseconds. */
  deadlineMs: number;
  /** Weight of the account within its tier. */
  weight: number;
  /** False when the request must not be executed twice. */
  idempotent: boolean;
}

/** Entry → agent: requests a reservation in the agent's queue. */
export interface ReserveMessage {
  kind: 'reserve';
  request: string;
  work: WorkDescription;
  /** Whether it may displace a waiting reservation of a lower tier. */
  displace: boolean;
}

/** Agent → entry: the reservation is queued. */
export interface QueuedMessage {
  kind: 'queued';
  request: string;
  startDelayMs: number;
  /** Prompt tokens that the backend server has in its prefix cache. */
  cachedTokens: number;
}

/** Agent → entry: the reservation was refused, displaced or has expired; it was never executed. */
export interface RefusedMessage {
  kind: 'refused';
  request: string;
  failure: Failure;
}

/** Entry → agent: the reservation is no longer needed. */
export interface CancelMessage {
  kind: 'cancel';
  request: string;
}

/** Agent → entry: offers to run the request now. */
export interface ClaimMessage {
  kind: 'claim';
  request: string;
  /** Id of the claim, unique on this agent since its start. */
  claim: number;
  /** Time within which the entry must answer, in milliseconds. */
  validMs: number;
}

/** Entry → agent: accepts the claim; a request has one grant at a time. The body follows. */
export interface GrantMessage {
  kind: 'grant';
  request: string;
  claim: number;
  /** Time left until the deadline of the answer, in milliseconds. */
  deadlineMs: number;
  call: BackendCall;
}

/** The call to make at the backend server. */
export interface BackendCall {
  method: string;
  path: string;
  headers: Record<string, string>;
  bodyBytes: number;
  /** Present on calls with an idempotency key, which are idempotent or executed at most once. */
  idempotency?: IdempotencyReference;
  /** True when the backend server answers with server-sent events. */
  stream: boolean;
}

/** Identifies the idempotency record of a call with an idempotency key. */
export interface IdempotencyReference {
  account: string;
  key: string;
  /** SHA-256 of method, path and body, in hexadecimal. */
  fingerprint: string;
  /** Unique for each grant. */
  attempt: string;
}

/** Entry → agent: declines the claim. */
export interface DenyMessage {
  kind: 'deny';
  request: string;
  claim: number;
}

/** Entry → agent: a chunk of the request body; `last` marks the final one. */
export interface BodyMessage {
  kind: 'body';
  request: string;
  data: Uint8Array;
  last: boolean;
}

/** Agent → entry: the granted request was not started, and this agent will not start it. */
export interface ReturnedMessage {
  kind: 'returned';
  request: string;
  claim: number;
  failure: Failure;
}

/** Agent → entry: the request is now sent to the backend server and counts as executed. */
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

/** Agent → entry: a chunk of the answer body, numbered from 0. */
export interface DataMessage {
  kind: 'data';
  request: string;
  sequence: number;
  data: Uint8Array;
}

/** Entry → agent: the receiver consumed this many bytes; the sender may send as many more. */
export interface CreditMessage {
  kind: 'credit';
  request: string;
  bytes: number;
}

/** Agent → entry: the answer is complete. */
export interface EndMessage {
  kind: 'end';
  request: string;
  /** Chunks and bytes sent, which the entry compares with those received. */
  chunks: number;
  bytes: number;
  usage: Usage;
}

/** Tokens and time that the request used at the backend server. */
export interface Usage {
  promptTokens: number;
  cachedTokens: number;
  outputTokens: number;
  /** Time from the call to the first byte and to the last byte, in milliseconds. */
  firstByteMs: number;
  totalMs: number;
}

/** Agent → entry: the backend call failed after it had started. */
export interface FailedMessage {
  kind: 'failed';
  request: string;
  failure: Failure;
}

/** Entry → agent: the caller has disconnected; cancel the call where that is safe. */
export interface AbortMessage {
  kind: 'abort';
  request: string;
}
