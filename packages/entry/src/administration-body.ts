/** Reads the bodies of administration calls up to a maximum size and validates them. */
import type { IncomingMessage } from 'node:http';
import { ErrorKind, type Failure } from '@masticbend/protocol/error';
import { formatFault, type CheckResult } from '@masticbend/settings/schema-fault';
import { readBody } from './read-body.js';

const MAX_BODY_BYTES = 256 * 1024;

/** A validated body, or the reason for its refusal. */
export type BodyResult<Value> = { ok: true; value: Value } | { ok: false; failure: Failure };

/** Reads a JSON body and validates it with `check`. */
export async function readJsonBody<Value>(
  request: IncomingMessage,
  check: (value: unknown) => CheckResult<Value>,
): Promise<BodyResult<Value>> {
  const text = await readText(request);
  if (text === undefined) return { ok: false, failure: { kind: ErrorKind.BodyTooLarge } };
  try {
    const result = check(JSON.parse(text));
    if (result.ok) return result;
    return refuse(result.faults.map(formatFault).join('; '));
  } catch (error) {
    if (!(error instanceof SyntaxError)) throw error;
    return refuse('The body is not JSON.');
  }
}

function refuse(detail: string): { ok: false; failure: Failure } {
  return { ok: false, failure: { kind: ErrorKind.InvalidRequest, detail } };
}

async function readText(request: IncomingMessage): Promise<string | undefined> {
  const body = await readBody(request, MAX_BODY_BYTES);
  return body?.toString('utf8');
}
