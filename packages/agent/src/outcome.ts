/** Outcomes of keyed calls: collected while the answer is relayed, and sent again to a retry. */
import type { CallAttempt, RecordedOutcome } from '@masticbend/state/idempotency';
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import type { Message } from '@masticbend/protocol/message';
import type { CallRecords } from './call-records.js';

/** Lowest status of a server error. */
const SERVER_ERROR_STATUS = 500;
/** Largest body kept in a record. */
export const MAX_RECORDED_BODY_BYTES = 32 * 1024;

/** Collects the answer to one call. */
export interface OutcomeCollector {
  setHead: (status: number, headers: Record<string, string>) => void;
  addData: (data: Uint8Array) => void;
  /** Returns the outcome once the answer is complete. */
  build: () => RecordedOutcome;
}

/** Creates a collector that keeps a body of at most `MAX_RECORDED_BODY_BYTES`. */
export function createOutcomeCollector(): OutcomeCollector {
  let head = { status: 0, headers: {} as Record<string, string> };
  let bodyChunks: Uint8Array[] = [];
  let bytes = 0;
  return {
    setHead(status, headers) {
      head = { status, headers };
    },
    addData(data) {
      bytes += data.length;
      if (bytes <= MAX_RECORDED_BODY_BYTES) bodyChunks.push(data);
      else bodyChunks = [];
    },
    build() {
      if (bytes > MAX_RECORDED_BODY_BYTES) return { kind: 'answer-too-large', status: head.status };
      return { kind: 'answer', ...head, body: Buffer.concat(bodyChunks).toString('base64') };
    },
  };
}

/** Call that may have an idempotency key. */
export interface RecordableCall {
  idempotent: boolean;
  /** This and `collector` are undefined when the call has no key. */
  attempt?: CallAttempt;
  collector?: OutcomeCollector;
}

/**
 * Writes the outcome of a keyed call to its record. When an idempotent call failed, the record is
 * released instead, so that a retry may run.
 */
export async function finishRecord(
  records: CallRecords,
  { idempotent, attempt, collector }: RecordableCall,
  status: number,
  failure?: Failure,
): Promise<void> {
  if (!attempt || !collector) return;
  const failed = failure !== undefined || status >= SERVER_ERROR_STATUS;
  if (failed && idempotent) await records.release(attempt);
  else await records.finish(attempt, failure ? { kind: 'failure', failure } : collector.build());
}

/** Sends a recorded answer, or returns the failure to report when there is no answer to send. */
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
