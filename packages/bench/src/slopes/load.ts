/** Load on one entry: calls at a fixed rate, and streams. */
import { randomUUID } from 'node:crypto';
import { Agent, request } from 'undici';
import { waitFor } from '@masticbend/standins/http';
import { API_KEY } from './slope-deployment.js';

/** Maximum number of connections to one entry. */
const MAX_CONNECTIONS = 2_000;

const dispatcher = new Agent({ connections: MAX_CONNECTIONS });
const authorization = `Bearer ${API_KEY}`;

/** Number of calls sent, and of those answered with a 2xx status. */
export interface LoadResult {
  sent: number;
  succeeded: number;
}

/** Calls `send` at a fixed rate for `durationMs`, then waits for every answer. */
export async function runSteadyLoad(
  callsPerSecond: number,
  durationMs: number,
  send: () => Promise<number>,
): Promise<LoadResult> {
  const startedAt = performance.now();
  const calls: Promise<number>[] = [];
  for (;;) {
    const elapsedMs = performance.now() - startedAt;
    if (elapsedMs >= durationMs) break;
    const dueCalls = Math.floor((elapsedMs / 1_000) * callsPerSecond);
    while (calls.length < dueCalls) calls.push(send().catch(() => 0));
    await waitFor(2);
  }
  const statuses = await Promise.all(calls);
  const succeeded = statuses.filter((status) => status >= 200 && status < 300).length;
  return { sent: statuses.length, succeeded };
}

/** Sends one parcel lookup; returns the HTTP status. */
export async function sendLookup(address: string): Promise<number> {
  const response = await request(`http://${address}/services/parcels/parcels/1`, {
    dispatcher,
    headers: { authorization },
  });
  await response.body.dump();
  return response.statusCode;
}

/** Sends one parcel booking with a new idempotency key; returns the HTTP status. */
export async function sendBooking(address: string): Promise<number> {
  const response = await request(`http://${address}/services/parcels/bookings`, {
    dispatcher,
    method: 'POST',
    headers: {
      authorization,
      'content-type': 'application/json',
      'idempotency-key': randomUUID(),
    },
    body: '{"reference":"slopes"}',
  });
  await response.body.dump();
  return response.statusCode;
}

/** Reads one streamed chat completion to its end and reports the number of events in each chunk. */
export async function sendStream(
  address: string,
  outputTokens: number,
  recordEvents: (count: number) => void,
): Promise<void> {
  const response = await request(`http://${address}/v1/chat/completions`, {
    dispatcher,
    method: 'POST',
    headers: { authorization, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: 'praline',
      messages: [{ role: 'user', content: 'tag' }],
      max_tokens: outputTokens,
      stream: true,
    }),
  });
  for await (const chunk of response.body as AsyncIterable<Buffer>) {
    recordEvents(chunk.toString('latin1').split('data: ').length - 1);
  }
}
