/**
 * State of one accepted request, from acceptance to its final answer, and the choice of the refusal
 * to report when no agent accepts the request.
 */
import { ANSWERS, ErrorKind, RetryAdvice, type Failure } from '@masticbend/protocol/error';
import type { BackendCall, Usage, WorkDescription } from '@masticbend/protocol/call-message';
import { FIRST_BYTE_TIMEOUT_MS } from '@masticbend/protocol/message';
import { createAnswerState, type AnswerSink, type AnswerState } from './answer.js';

/** A request ready to be placed. */
export interface PlacedRequest {
  id: string;
  work: WorkDescription;
  call: BackendCall;
  body: Buffer;
  sink: AnswerSink;
}

/** Limits and timeouts of one request. */
export interface RequestBounds {
  /** Maximum grants of one request; each but the first follows a call returned as not run. */
  maxGrants: number;
  /** Maximum placement passes over the agents; each but the first follows a displacement. */
  maxPasses: number;
  /**
   * Time after the deadline, or after the last progress if that is later, at which a request ends
   * whose granted agent sends nothing. It is a last resort: missing heartbeats reveal a stopped
   * agent, and a running agent times out its backend server earlier than this.
   */
  agentTimeoutMs: number;
  /** Time after which a request ends whose caller reads no bytes. */
  callerTimeoutMs: number;
  /** Bytes buffered for one agent at which the sending of bodies pauses. */
  maxBufferedBytes: number;
}

/** Time an entry waits beyond the first-byte timeout of its agent. */
const AGENT_TIMEOUT_MARGIN_MS = 30_000;

/** Limits and timeouts in use. */
export const REQUEST_BOUNDS: RequestBounds = {
  maxGrants: 3,
  maxPasses: 3,
  agentTimeoutMs: FIRST_BYTE_TIMEOUT_MS + AGENT_TIMEOUT_MARGIN_MS,
  callerTimeoutMs: 60_000,
  maxBufferedBytes: 1024 * 1024,
};

/** How a request ended. */
export interface RequestResult {
  id: string;
  work: WorkDescription;
  /** Time from acceptance to the end of the request. */
  totalMs: number;
  /** Present if the answer was complete. */
  usage?: Usage;
  status?: number;
  /** Present if the request failed; `usage` and `failure` are both absent if the caller left. */
  failure?: Failure;
}

/** The active grant of a request; a request has at most one. */
export interface ActiveGrant {
  agent: string;
  claim: number;
  /** The agent has reported that the backend call started. */
  started: boolean;
  /** Time of the agent's last message or of the last delivery to the caller. */
  lastProgressAt: number;
}

/** A request that has no final answer yet. */
export interface RequestState extends PlacedRequest {
  acceptedAt: number;
  deadlineAt: number;
  /** Agents that were sent a reservation in the current placement pass. */
  tried: Set<string>;
  /** Agents that hold a reservation and have not refused it. */
  reserved: Set<string>;
  /** Agents among these that have confirmed that the request is in their queue. */
  queued: Set<string>;
  /** Placement passes started so far. */
  passCount: number;
  /** Grants sent so far. */
  grantCount: number;
  grant?: ActiveGrant;
  answer: AnswerState;
  /** Refusal to report if no agent accepts the request. */
  bestRefusal?: Failure;
  stopTimer: () => void;
}

/** Failures that apply at every agent alike, although a later retry may succeed. */
const AGENT_INDEPENDENT_FAILURES: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.PlatformUnavailable,
  ErrorKind.DeadlineExceeded,
]);

/** Returns the state of a request accepted now. */
export function createRequestState(now: number, request: PlacedRequest): RequestState {
  return {
    ...request,
    acceptedAt: now,
    deadlineAt: now + request.work.deadlineMs,
    tried: new Set(),
    reserved: new Set(),
    queued: new Set(),
    passCount: 1,
    grantCount: 0,
    answer: createAnswerState(),
    stopTimer: () => undefined,
  };
}

/** Returns whether bytes of the answer are still waiting for the caller to read them. */
export function isAwaitingCaller(state: RequestState): boolean {
  return state.answer.unsentBytes > 0;
}

/** Returns the time at which a granted request ends unless its agent or caller makes progress. */
export function computeTimeoutAt(
  state: RequestState,
  grant: ActiveGrant,
  bounds: RequestBounds,
): number {
  if (isAwaitingCaller(state)) return grant.lastProgressAt + bounds.callerTimeoutMs;
  return Math.max(state.deadlineAt, grant.lastProgressAt) + bounds.agentTimeoutMs;
}

/** Returns whether a refusal by one agent is the final answer, so that no other agent is tried. */
export function isFinalRefusal(failure: Failure): boolean {
  return (
    ANSWERS[failure.kind].retry !== RetryAdvice.After ||
    AGENT_INDEPENDENT_FAILURES.has(failure.kind)
  );
}

/**
 * Returns the refusal with the shorter retry delay. A refusal by a stopping agent is used only if
 * there is no other.
 */
export function chooseRefusal(best: Failure | undefined, next: Failure): Failure {
  if (!best || best.kind === ErrorKind.Stopping) return next;
  if (next.kind === ErrorKind.Stopping) return best;
  return getRetryAfterMs(next) < getRetryAfterMs(best) ? next : best;
}

/** Returns the representation of a request in the state dump. */
export function describeRequest(state: RequestState): unknown {
  const { id, work, reserved, grantCount: grants, grant, answer, passCount } = state;
  const { account, tier, target } = work;
  return {
    id,
    account,
    tier,
    target,
    reserved: [...reserved],
    walks: passCount,
    grants,
    granted: grant?.agent,
    started: grant?.started,
    bytes: answer.bytes,
  };
}

function getRetryAfterMs(failure: Failure): number {
  return failure.retryAfterMs ?? ANSWERS[failure.kind].retryAfterMs;
}
