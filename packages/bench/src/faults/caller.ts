/** Callers of the fault matrix: their requests and the answers they received. */
import { Readable } from 'node:stream';
import { Agent, request } from 'undici';
import { createAnswerText, hashPrompt } from '@masticbend/standins/engine-call';

/** Kinds of requests. */
export const RequestKind = {
  Booking: 'booking',
  Stream: 'stream',
  Chat: 'chat',
  Lookup: 'lookup',
} as const;
export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind];

/** A request with a unique marker. */
export interface TestRequest {
  kind: RequestKind;
  marker: string;
  /** API key of the client account. */
  apiKey: string;
  /** Rank of the tier; 0 is the highest. */
  tier: number;
}

/** An answer, or the lack of one, as the caller received it. */
export interface Answer {
  testRequest: TestRequest;
  answeredAt: number;
  /** 0 if no response head was received. */
  status: number;
  text: string;
  /** True if the response ended properly according to HTTP. */
  isComplete: boolean;
  /** Error kind of a failure, and whether the request ran according to the answer. */
  error?: { kind: string; ran: string };
}

/** Hooks that inject a fault while the request is being sent. */
export interface SendHooks {
  /** Called when half of the body has been sent; the rest follows once it resolves. */
  onHalfSent?: () => Promise<void> | void;
  signal?: AbortSignal;
}

export const OUTPUT_TOKENS = 40;
const ANSWER_TIMEOUT_MS = 25_000;

const httpAgent = new Agent({ connections: 64, pipelining: 1, keepAliveTimeout: 1_000 });

/** Sends a request to an entry and waits for the answer, a failure or the timeout. */
export async function sendTestRequest(
  address: string,
  testRequest: TestRequest,
  hooks: SendHooks = {},
): Promise<Answer> {
  const { method, path, body } = createHttpRequest(testRequest);
  const timeoutSignal = AbortSignal.timeout(ANSWER_TIMEOUT_MS);
  const signal = hooks.signal ? AbortSignal.any([hooks.signal, timeoutSignal]) : timeoutSignal;
  const answer: Answer = { testRequest, answeredAt: 0, status: 0, text: '', isComplete: false };
  try {
    const response = await request(`http://${address}${path}`, {
      dispatcher: httpAgent,
      method,
      headers: {
        authorization: `Bearer ${testRequest.apiKey}`,
        'content-type': 'application/json',
        ...(hasIdempotencyKey(testRequest) && { 'idempotency-key': testRequest.marker }),
      },
      body: body === undefined ? null : Readable.from(createBodyChunks(body, hooks.onHalfSent)),
      signal,
    });
    answer.status = response.statusCode;
    for await (const chunk of response.body) answer.text += String(chunk);
    answer.isComplete = true;
  } catch {
    answer.isComplete = false;
  }
  answer.answeredAt = performance.now();
  if (answer.status >= 400) answer.error = parseError(answer.text);
  return answer;
}

/** Returns whether an answer has a success status and ended properly. */
export function isSuccess({ status, isComplete }: Answer): boolean {
  return status >= 200 && status < 300 && isComplete;
}

/** Returns whether a successful answer is complete and belongs to its own request. */
export function isExpectedAnswer({ testRequest: sent, text }: Answer): boolean {
  if (sent.kind === RequestKind.Booking) return parseField(text, 'reference') === sent.marker;
  if (sent.kind === RequestKind.Lookup) return parseField(text, 'parcel') === sent.marker;
  const expected = createAnswerText(createMessages(sent), OUTPUT_TOKENS);
  if (sent.kind === RequestKind.Chat) return readChatText(text) === expected;
  return text.endsWith('data: [DONE]\n\n') && readStreamText(text) === expected;
}

/** Returns the digest under which an engine records a chat. */
export function hashTestRequest(testRequest: TestRequest): string {
  return hashPrompt(JSON.stringify(createMessages(testRequest)));
}

/** Returns whether a request carries its marker as idempotency key; chats have no key. */
function hasIdempotencyKey({ kind }: TestRequest): boolean {
  return kind === RequestKind.Booking || kind === RequestKind.Lookup;
}

function createMessages({ marker }: TestRequest) {
  return [{ role: 'user', content: `question ${marker}` }];
}

function createHttpRequest(testRequest: TestRequest): {
  method: 'GET' | 'POST';
  path: string;
  body?: string;
} {
  if (testRequest.kind === RequestKind.Lookup) {
    return { method: 'GET', path: `/services/parcels/parcels/${testRequest.marker}` };
  }
  if (testRequest.kind === RequestKind.Booking) {
    const body = JSON.stringify({ reference: testRequest.marker });
    return { method: 'POST', path: '/services/parcels/bookings', body };
  }
  const body = JSON.stringify({
    model: 'praline',
    messages: createMessages(testRequest),
    max_tokens: OUTPUT_TOKENS,
    stream: testRequest.kind === RequestKind.Stream,
  });
  return { method: 'POST', path: '/v1/chat/completions', body };
}

async function* createBodyChunks(body: string, onHalfSent: SendHooks['onHalfSent']) {
  const half = Math.floor(body.length / 2);
  yield Buffer.from(body.slice(0, half));
  await onHalfSent?.();
  yield Buffer.from(body.slice(half));
}

function parseError(text: string): { kind: string; ran: string } {
  try {
    return (JSON.parse(text) as { error: { kind: string; ran: string } }).error;
  } catch {
    return { kind: 'unreadable', ran: 'unreadable' };
  }
}

function parseField(text: string, field: string): unknown {
  try {
    return (JSON.parse(text) as Record<string, unknown>)[field];
  } catch {
    return undefined;
  }
}

interface ChatChoices {
  choices?: { message?: { content?: string }; delta?: { content?: string } }[];
}

function readChatText(text: string): string | undefined {
  try {
    return (JSON.parse(text) as ChatChoices).choices?.[0]?.message?.content;
  } catch {
    return undefined;
  }
}

function readStreamText(text: string): string {
  return text
    .split('\n\n')
    .filter((event) => event.startsWith('data: {'))
    .map((event) => (JSON.parse(event.slice(6)) as ChatChoices).choices?.[0]?.delta?.content ?? '')
    .join('');
}
