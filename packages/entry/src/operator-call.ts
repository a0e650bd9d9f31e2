/** Calls the administration API for the operators' commands. */
import { request } from 'undici';

const CALL_TIMEOUT_MS = 15_000;

/** Address of the entry's administration server, and the team's token. */
export interface OperatorTarget {
  address: string;
  token: string;
}

/** Status and parsed body of an answer. */
export interface OperatorAnswer {
  status: number;
  body: Record<string, unknown>;
}

/**
 * Sends one call: a POST if there is a body, otherwise a GET. Throws if the call fails or times
 * out, or if the answer is not JSON.
 */
export async function callAdministration(
  target: OperatorTarget,
  path: string,
  body?: object,
): Promise<OperatorAnswer> {
  const response = await request(`http://${target.address}${path}`, {
    method: body ? 'POST' : 'GET',
    headers: { authorization: `Bearer ${target.token}`, 'content-type': 'application/json' },
    body: body ? JSON.stringify(body) : null,
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
  });
  const text = await response.body.text();
  return { status: response.statusCode, body: JSON.parse(text) as Record<string, unknown> };
}
