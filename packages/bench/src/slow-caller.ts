/**
 * Measures how a caller that stops reading slows down another one: the duration of a stream alone,
 * and while another stream through the same entry and agent is stalled by its caller.
 */
import { connect, type Socket } from 'node:net';
import { once } from 'node:events';
import { request } from 'undici';
import type { EngineCall } from '@masticbend/standins/engine-call';

/** Output tokens of the measured stream, and of one that exceeds all windows and buffers. */
const MEASURED_TOKENS = 20_000;
const STALLED_TOKENS = 300_000;
/** Tokens whose events, over 12 MB, exceed the capacity of all socket buffers and windows. */
const BUFFER_FILLING_TOKENS = 160_000;
const FILL_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 100;
const ROUNDS = 3;
/** Warm-up streams from which the agent estimates the engine's speed, and their output tokens. */
const WARM_UP_STREAMS = 10;
const WARM_UP_TOKENS = 200;
/** Number of last characters of a failed answer in the error message. */
const MAX_ERROR_CHARACTERS = 200;

/** Median durations of a stream in milliseconds, and the ratio of the second to the first. */
export interface SlowCallerResult {
  aloneMs: number;
  besideStalledMs: number;
  ratio: number;
}

/** Measures both cases in interleaved rounds. */
export async function measureSlowCaller(
  address: string,
  engineUrl: string,
  headers: Record<string, string>,
): Promise<SlowCallerResult> {
  for (let index = 0; index < WARM_UP_STREAMS; index += 1) {
    await measureStream(address, headers, WARM_UP_TOKENS);
  }
  const alone: number[] = [];
  const besideStalled: number[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    alone.push(await measureStream(address, headers));
    const stalled = await openStalledStream(address, engineUrl, headers);
    besideStalled.push(await measureStream(address, headers));
    stalled.destroy();
  }
  const aloneMs = computeMedian(alone);
  const besideStalledMs = computeMedian(besideStalled);
  return { aloneMs, besideStalledMs, ratio: besideStalledMs / aloneMs };
}

async function measureStream(
  address: string,
  headers: Record<string, string>,
  tokens = MEASURED_TOKENS,
): Promise<number> {
  const startedAt = performance.now();
  const { body, statusCode } = await request(`http://${address}/v1/chat/completions`, {
    method: 'POST',
    headers,
    body: createBody(tokens),
  });
  const text = await body.text();
  if (statusCode !== 200 || !text.endsWith('data: [DONE]\n\n')) {
    throw new Error(
      `the measured stream failed with ${statusCode}: ${text.slice(-MAX_ERROR_CHARACTERS)}`,
    );
  }
  return performance.now() - startedAt;
}

/** Opens a stream whose caller never reads, and waits until it has filled all buffers. */
async function openStalledStream(
  address: string,
  engineUrl: string,
  headers: Record<string, string>,
): Promise<Socket> {
  const [host, port] = address.split(':');
  const socket = connect(Number(port), host);
  await once(socket, 'connect');
  const body = createBody(STALLED_TOKENS);
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  const length = `content-length: ${Buffer.byteLength(body)}`;
  const head = ['POST /v1/chat/completions HTTP/1.1', `host: ${address}`, ...lines, length];
  socket.write(`${head.join('\r\n')}\r\n\r\n${body}`);
  socket.pause();
  socket.on('error', () => undefined);
  const end = performance.now() + FILL_TIMEOUT_MS;
  while ((await readGeneratedTokens(engineUrl)) < BUFFER_FILLING_TOKENS) {
    if (performance.now() > end) throw new Error('stalled stream did not fill the buffers in time');
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_INTERVAL_MS);
    });
  }
  return socket;
}

async function readGeneratedTokens(engineUrl: string): Promise<number> {
  const { body } = await request(`${engineUrl}/_record`);
  const { calls } = (await body.json()) as { calls: EngineCall[] };
  return (
    calls.filter(({ outputTokens }) => outputTokens === STALLED_TOKENS).at(-1)?.madeTokens ?? 0
  );
}

function createBody(tokens: number): string {
  const messages = [{ role: 'user', content: `stream of ${tokens}` }];
  return JSON.stringify({ model: 'praline', messages, max_tokens: tokens, stream: true });
}

function computeMedian(values: number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)]!;
}
