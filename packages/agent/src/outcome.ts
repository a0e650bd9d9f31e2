/** Outcomes of keyed calls: collected while the answer passes, and played back to a repeat. */
import type { CallAttempt, RecordedOutcome } from '@masticbend/state/idempotency';
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import type { Message } from '@masticbend/protocol/message';
import type { CallRecords } from './call-records.js';

/** Status from which an answer says that the backend server failed. */
const SERVER_ERROR_STATUS = 500;
/** Largest body kept in a record, in bytes. */
export const MAX_RECORDED_BODY_BYTES = 32 * 1024;

/** Collects the answer to one call. */
export interface OutcomeCollector {
  setHead: (status: number, headers: Record<string, string>) => void;
  addData: (data: Uint8Array) => void;
  /** Returns the outcome once the answer is whole. */
  build: () => RecordedOutcome;
}

/** Returns a collector that keeps at most `OUTCOME_LIMIT_BYTES`. */
export function createOutcomeCollector(): OutcomeCollector {
  let head = { status: 0, headers: {} as Record<string, string> };
  let bodyChunks: Uint8Array[] = [];
  let bodyBytes = 0;
  return {
    setHead(status, headers) {
      head = { status, headers };
    },
    addData(data) {
      bodyBytes += data.length;
      if (bodyBytes <= MAX_RECORDED_BODY_BYTES) bodyChunks.push(data);
      else bodyChunks = [];
    },
    build() {
      if (bodyBytes > MAX_RECORDED_BODY_BYTES) return { kind: 'answer-too-large', status: head.status };
      return { kind: 'answer', ...head, body: Buffer.concat(bodyChunks).toString('base64') };
    },
  };
}

/** A call that may be keyed. */
export interface RecordableCall {
  idempotent: boolean;
  /** Both are missing where the call has no key. */
  attempt?: CallAttempt;
  outcome?: OutcomeCollector;
}

/** Writes how a keyed call ended; what may be run again is released instead. */
export async function finishRecord(
  records: CallRecords,
  { idempotent, attempt, outcome }: RecordableCall,
  status: number,
  failure?: Failure,
): Promise<void> {
  if (!attempt || !outcome) return;
  const failed = failure !== undefined || status >= SERVER_ERROR_STATUS;
  if (failed && idempotent) await records.release(attempt);
  else await records.finish(attempt, failure ? { kind: 'failure', failure } : outcome.build());
}

/** Sends a recorded answer; returns the failure to tell instead when there is no answer to send. */
export function sendRecordedAnswer(
  send: (message: Message) => void,
  request: string,
  outcome: RecordedOutcome,
): Failure | undefined {
  if (outcome.kind === 'failure') return outcome.failure;
  if (outcome.kind === 'answer-too-large') {
    const detail = `The first call ended with status ${outcome.status}; its answer was not kept.`;
    return { kind: ErrorKind.StreamTooLarge, detail };
  }
  const { status, headers } = outcome;
  const data = Buffer.from(outcome.body, 'base64');
  const chunks = data.length > 0 ? 1 : 0;
  const usage = { promptTokens: 0, cachedTokens: 0, outputTokens: 0, firstByteMs: 0, totalMs: 0 };
  send({ kind: 'head', request, status, headers, recorded: true });
  if (chunks > 0) send({ kind: 'data', request, sequence: 0, data });
  send({ kind: 'end', request, chunks, bytes: data.length, usage });
  return undefined;
}
