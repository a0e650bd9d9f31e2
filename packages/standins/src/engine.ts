/**
 * Stand-in for a model engine: chat completions over HTTP with server-sent events, resumable and
 * cancellable streams, a delayed load report, cache events and orders. It keeps a record of every
 * call, which tests and measurements verify their results against.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createBatch, type BatchCall, type BatchOptions } from './batch.js';
import {
  createStreamOutput,
  createToken,
  hashPrompt,
  sendBufferedAnswer,
  type EngineCall,
  type EngineFaults,
} from './engine-call.js';
import { createStreamRegistry } from './engine-streams.js';
import { createFaults, dropAnswer, sendJson, startStandIn, type StandIn } from './http.js';
import { createOrderHandler, type Order, type OrderRecord } from './orders.js';
import { createPrefixCache, hashBlocks } from './prefix-cache.js';

/** Speed, memory and reporting behaviour of an engine. */
export interface EngineOptions extends Pick<
  BatchOptions,
  'prefillRate' | 'stepMs' | 'stepPerCallMs'
> {
  port: number;
  maxBatchCalls?: number;
  /** Capacity of the prefix cache, in prompt tokens. */
  cacheTokens?: number;
  /** Interval of the load report and delay of cache events, in milliseconds. */
  loadLagMs?: number;
  eventLagMs?: number;
  /** One in this many cache events is never reported; 0 reports all. */
  omittedEventInterval?: number;
  /** Models loaded at the start; without this option, every model is served. */
  models?: string[];
  /** Whether the engine refuses orders with an old fencing number. */
  checksFencing?: boolean;
  /** Called when a call reaches a stage, before the bytes of that stage are sent. */
  onStage?: (stage: EngineStage, call: EngineCall) => void;
}

/** Stages of a call that `onStage` reports. */
export const EngineStage = {
  Received: 'received',
  FirstToken: 'first-token',
  HalfTokens: 'half-tokens',
  LastToken: 'last-token',
} as const;
export type EngineStage = (typeof EngineStage)[keyof typeof EngineStage];

/** A running engine. */
export interface Engine extends StandIn<EngineFaults> {
  calls: EngineCall[];
  /** Digests of all prompts that arrived, whether or not their calls started. */
  received: string[];
  orders: OrderRecord[];
  /** Suspends and resumes all work, like a process that is paused. */
  pause: () => void;
  resume: () => void;
}

interface ChatBody {
  model?: string;
  messages?: unknown[];
  max_tokens?: number;
  stream?: boolean;
}

const BYTES_PER_TOKEN = 4;
const DEFAULT_OUTPUT_TOKENS = 64;
const DEFAULT_MAX_BATCH_CALLS = 64;
const DEFAULT_CACHE_TOKENS = 65_536;
const DEFAULT_LOAD_LAG_MS = 500;
const DEFAULT_EVENT_LAG_MS = 500;
const NO_ENGINE_FAULTS = {
  slowFactor: 1,
  truncateAfter: -1,
  cutAfter: -1,
  omitDone: false,
  wrongLength: false,
};

export async function startEngine(options: EngineOptions): Promise<Engine> {
  const calls: EngineCall[] = [];
  const faults: EngineFaults = { ...createFaults(), ...NO_ENGINE_FAULTS };
  const received: string[] = [];
  const streams = createStreamRegistry();
  const {
    maxBatchCalls = DEFAULT_MAX_BATCH_CALLS,
    cacheTokens = DEFAULT_CACHE_TOKENS,
    loadLagMs = DEFAULT_LOAD_LAG_MS,
    eventLagMs = DEFAULT_EVENT_LAG_MS,
    omittedEventInterval = 0,
    onStage = () => undefined,
  } = options;
  const cache = createPrefixCache(cacheTokens, eventLagMs, omittedEventInterval);
  const orders = createOrderHandler(options.models, options.checksFencing ?? false);
  const batch = createBatch({
    ...options,
    maxBatchCalls,
    getSlowdownFactor: () => faults.slowFactor,
  });
  let load = readLoad();

  function readLoad() {
    return { ...batch.count(), cacheTokens: cache.countTokens(), at: Date.now() };
  }

  function startCall(request: IncomingMessage, response: ServerResponse, body: Buffer): void {
    const chat = JSON.parse(body.toString('utf8')) as ChatBody;
    if (!orders.isLoaded(chat.model ?? '')) {
      sendJson(response, 404, { error: 'the model is not loaded' });
      return;
    }
    const prompt = JSON.stringify(chat.messages ?? []);
    const blocks = hashBlocks(prompt);
    const call = createCall(request, prompt, cache.matchPrefix(blocks), chat.max_tokens);
    calls.push(call);
    onStage(EngineStage.Received, call);
    if (chat.stream) startStreamedCall(call, response, blocks);
    else startBufferedCall(call, response, blocks);
  }

  function addToBatch(
    call: EngineCall,
    blocks: string[],
    events: Pick<BatchCall, 'onToken' | 'onFinished'>,
  ): BatchCall {
    const uncachedTokens = Math.max(1, call.promptTokens - call.cachedTokens);
    const halfToken = Math.floor(call.outputTokens / 2);
    const batchCall: BatchCall = {
      remainingPromptTokens: uncachedTokens,
      outputTokens: call.outputTokens,
      decodedTokens: 0,
      onPrefilled() {
        cache.store(performance.now(), blocks);
        call.computedTokens = uncachedTokens;
      },
      onToken(index) {
        call.madeTokens = index + 1;
        if (index === 0) onStage(EngineStage.FirstToken, call);
        if (index === halfToken) onStage(EngineStage.HalfTokens, call);
        if (index === call.outputTokens - 1) onStage(EngineStage.LastToken, call);
        events.onToken(index);
      },
      onFinished() {
        call.whole = true;
        events.onFinished();
      },
    };
    batch.add(batchCall);
    return batchCall;
  }

  function cancelCall(call: EngineCall, batchCall: BatchCall): void {
    if (call.whole || call.cancelled) return;
    batch.remove(batchCall);
    call.cancelled = true;
    const uncachedTokens = Math.max(1, call.promptTokens - call.cachedTokens);
    call.computedTokens = uncachedTokens - batchCall.remainingPromptTokens;
    call.thrownAwayTokens = call.computedTokens;
  }

  function startBufferedCall(call: EngineCall, response: ServerResponse, blocks: string[]): void {
    const tokens: string[] = [];
    const batchCall = addToBatch(call, blocks, {
      onToken: (index) => tokens.push(createToken(call.digest, index)),
      onFinished() {
        if (dropAnswer(faults, response)) {
          call.thrownAwayTokens = call.computedTokens;
          return;
        }
        const message = { role: 'assistant', content: tokens.join('') };
        const choices = [{ index: 0, message, finish_reason: 'stop' }];
        sendBufferedAnswer(response, faults, { choices, usage: createUsage(call) });
      },
    });
    response.once('close', () => cancelCall(call, batchCall));
  }

  function startStreamedCall(call: EngineCall, response: ServerResponse, blocks: string[]): void {
    const output = createStreamOutput(faults);
    const batchCall = addToBatch(call, blocks, {
      onToken(index) {
        const content = createToken(call.digest, index);
        output.push({ choices: [{ index: 0, delta: { content } }] });
      },
      onFinished() {
        const choices = [{ index: 0, delta: {}, finish_reason: 'stop' }];
        output.push({ choices, usage: createUsage(call) });
        output.finish();
        streams.evictEnded();
      },
    });
    const cancel = () => cancelCall(call, batchCall);
    const stream = { call, output, cancel };
    streams.open(stream, response);
  }

  function handleOrder(response: ServerResponse, body: Buffer): void {
    const order = JSON.parse(body.toString('utf8')) as Order;
    if (orders.accept(order)) sendJson(response, 200, { accepted: true });
    else sendJson(response, 409, { error: 'the fencing number is old' });
  }

  const standIn = await startStandIn(
    options.port,
    (request, response, body) => {
      const url = new URL(request.url ?? '/', 'http://engine');
      const route = `${request.method} ${url.pathname}`;
      const after = Number(url.searchParams.get('after') ?? 0);
      if (route === 'POST /v1/chat/completions') startCall(request, response, body);
      else if (url.pathname.startsWith('/v1/streams/')) streams.handle(request, response, url);
      else if (route === 'GET /v1/load') sendJson(response, 200, load);
      else if (route === 'GET /v1/cache-events') {
        sendJson(response, 200, { events: cache.listEvents(performance.now(), after) });
      } else if (route === 'POST /v1/orders') handleOrder(response, body);
      else if (route === 'GET /v1/models') sendJson(response, 200, { data: orders.listModels() });
      else if (route === 'GET /_record') sendJson(response, 200, { calls, orders: orders.records });
      else sendJson(response, 404, { error: 'no such path' });
    },
    faults,
    (body) => {
      const { messages } = JSON.parse(body.toString('utf8')) as ChatBody;
      if (messages) received.push(hashPrompt(JSON.stringify(messages)));
    },
  );
  const loadTimer = setInterval(() => {
    load = readLoad();
  }, loadLagMs);
  return {
    ...standIn,
    calls,
    received,
    orders: orders.records,
    pause: batch.pause,
    resume: batch.resume,
    close() {
      clearInterval(loadTimer);
      batch.pause();
      return standIn.close();
    },
  };
}

function createCall(
  request: IncomingMessage,
  prompt: string,
  cachedTokens: number,
  outputTokens = DEFAULT_OUTPUT_TOKENS,
): EngineCall {
  return {
    id: String(request.headers['x-request-id'] ?? ''),
    digest: hashPrompt(prompt),
    startedAt: performance.now(),
    promptTokens: Math.ceil(prompt.length / BYTES_PER_TOKEN),
    cachedTokens,
    outputTokens,
    madeTokens: 0,
    computedTokens: 0,
    thrownAwayTokens: 0,
    whole: false,
    cancelled: false,
  };
}

function createUsage(call: EngineCall) {
  return {
    prompt_tokens: call.promptTokens,
    completion_tokens: call.outputTokens,
    prompt_tokens_details: { cached_tokens: call.cachedTokens },
  };
}
