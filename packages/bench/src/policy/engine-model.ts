/**
 * Model of one inference engine with continuous batching: admits requests in order of arrival while
 * KV memory is free, prefills prompts one after another in chunks that share each step with
 * decoding, and decodes all sequences together; a step takes longer the more sequences there are.
 * The prefix cache evicts the least recently used blocks.
 *
 * Progress between two events is computed by a fluid approximation instead of step by step.
 */
import type { EventQueue } from './event-queue.js';

/** Prompt tokens prefilled in one step beside the decoding. */
const PREFILL_CHUNK_TOKENS = 512;
/** Tokens of one block of the prefix cache. */
export const CACHE_BLOCK_TOKENS = 256;
/**
 * Tolerance for rounding: remainders up to this many tokens count as zero, and each wake-up is
 * scheduled this many milliseconds after the computed time.
 */
const ROUNDING_TOLERANCE = 1e-6;

/** Speed and memory of a modelled engine. */
export interface EngineOptions {
  /** Prefill rate without decoding, in prompt tokens per second. */
  prefillRate: number;
  /** Duration of a decoding step, and the addition for each decoding sequence. */
  stepMs: number;
  stepPerSequenceMs: number;
  /** Maximum number of admitted sequences. */
  maxSequences: number;
  /** Capacity of the KV memory for admitted sequences, and of the prefix cache. */
  memoryTokens: number;
  cacheTokens: number;
}

/** One call to an engine. */
export interface EngineCall {
  id: string;
  promptTokens: number;
  /** Identifiers of the cache blocks at the head of the prompt, in order. */
  prefix: readonly string[];
  outputTokens: number;
  onFirstByte: () => void;
  /** The call completed; reports its prompt tokens found in the cache and those prefilled. */
  onFinish: (cachedTokens: number, computedTokens: number) => void;
}

/** Prompt tokens prefilled since the start. */
export interface PrefillTotals {
  computedTokens: number;
}

/** A simulated engine. */
export interface EngineModel {
  submit: (call: EngineCall) => void;
  cancel: (id: string) => void;
  /** Drops every call and the cache without invoking a callback. */
  kill: () => void;
  /** Multiplies the duration of every step from now on. */
  setSlowdown: (factor: number) => void;
  getLoad: () => { running: number; waiting: number };
  totals: PrefillTotals;
}

interface Sequence {
  call: EngineCall;
  cachedTokens: number;
  prefillTokensLeft: number;
  computedTokens: number;
  outputTokensLeft: number;
}

/** Returns an idle engine. */
export function createEngineModel(events: EventQueue, options: EngineOptions): EngineModel {
  const totals: PrefillTotals = { computedTokens: 0 };
  const waiting: EngineCall[] = [];
  const cache = new Map<string, true>();
  let prefilling: Sequence[] = [];
  let decoding: Sequence[] = [];
  let usedMemoryTokens = 0;
  let slowdownFactor = 1;
  let lastProgressAt = 0;
  let wakeGeneration = 0;

  function computeStepMs(): number {
    const { stepMs, stepPerSequenceMs, prefillRate } = options;
    const prefillMs = prefilling.length > 0 ? (PREFILL_CHUNK_TOKENS / prefillRate) * 1_000 : 0;
    const decodeMs = decoding.length > 0 ? stepMs + stepPerSequenceMs * decoding.length : 0;
    return (prefillMs + decodeMs) * slowdownFactor;
  }

  function updateProgress(): void {
    const elapsedMs = events.now() - lastProgressAt;
    lastProgressAt = events.now();
    const stepMs = computeStepMs();
    if (stepMs === 0 || elapsedMs === 0) return;
    const steps = elapsedMs / stepMs;
    const head = prefilling[0];
    if (head) {
      const tokens = Math.min(head.prefillTokensLeft, steps * PREFILL_CHUNK_TOKENS);
      head.prefillTokensLeft -= tokens;
      head.computedTokens += tokens;
      totals.computedTokens += tokens;
    }
    for (const sequence of decoding) sequence.outputTokensLeft -= steps;
  }

  /** Moves prefilled sequences to decoding, ends finished ones and admits waiting calls. */
  function handleProgress(): void {
    for (;;) {
      const head = prefilling[0];
      if (!head || head.prefillTokensLeft > ROUNDING_TOLERANCE) break;
      prefilling.shift();
      decoding.push(head);
      addPrefixToCache(head.call.prefix);
      head.call.onFirstByte();
    }
    const finished = decoding.filter(
      ({ outputTokensLeft }) => outputTokensLeft <= ROUNDING_TOLERANCE,
    );
    if (finished.length > 0) {
      decoding = decoding.filter(({ outputTokensLeft }) => outputTokensLeft > ROUNDING_TOLERANCE);
      for (const sequence of finished) {
        usedMemoryTokens -= countMemoryTokens(sequence.call);
        sequence.call.onFinish(sequence.cachedTokens, sequence.computedTokens);
      }
    }
    acceptWaitingCalls();
    scheduleNextChange();
  }

  function acceptWaitingCalls(): void {
    while (waiting.length > 0) {
      const call = waiting[0]!;
      const fits = usedMemoryTokens + countMemoryTokens(call) <= options.memoryTokens;
      const active = prefilling.length + decoding.length;
      if (active >= options.maxSequences || (!fits && active > 0)) return;
      waiting.shift();
      usedMemoryTokens += countMemoryTokens(call);
      const cachedTokens = countCachedTokens(call);
      prefilling.push({
        call,
        cachedTokens,
        prefillTokensLeft: Math.max(1, call.promptTokens - cachedTokens),
        computedTokens: 0,
        outputTokensLeft: call.outputTokens,
      });
    }
  }

  function scheduleNextChange(): void {
    wakeGeneration += 1;
    const stepMs = computeStepMs();
    if (stepMs === 0) return;
    let steps = Infinity;
    if (prefilling[0]) steps = prefilling[0].prefillTokensLeft / PREFILL_CHUNK_TOKENS;
    for (const { outputTokensLeft } of decoding) steps = Math.min(steps, outputTokensLeft);
    const generation = wakeGeneration;
    events.schedule(steps * stepMs + ROUNDING_TOLERANCE, () => {
      if (generation !== wakeGeneration) return;
      updateProgress();
      handleProgress();
    });
  }

  /** Returns the tokens of the longest cached prefix and marks its blocks as recently used. */
  function countCachedTokens(call: EngineCall): number {
    let blocks = 0;
    while (blocks < call.prefix.length && cache.has(call.prefix[blocks]!)) blocks += 1;
    addPrefixToCache(call.prefix.slice(0, blocks));
    return Math.min(blocks * CACHE_BLOCK_TOKENS, call.promptTokens);
  }

  function addPrefixToCache(prefix: readonly string[]): void {
    for (const block of prefix) {
      cache.delete(block);
      cache.set(block, true);
    }
    for (const block of cache.keys()) {
      if (cache.size * CACHE_BLOCK_TOKENS <= options.cacheTokens) break;
      cache.delete(block);
    }
  }

  return {
    totals,
    submit(call) {
      updateProgress();
      waiting.push(call);
      handleProgress();
    },
    cancel(id) {
      updateProgress();
      const queued = waiting.findIndex((call) => call.id === id);
      if (queued >= 0) waiting.splice(queued, 1);
      const active = [...prefilling, ...decoding].find(({ call }) => call.id === id);
      if (active) {
        usedMemoryTokens -= countMemoryTokens(active.call);
        prefilling = prefilling.filter((sequence) => sequence !== active);
        decoding = decoding.filter((sequence) => sequence !== active);
      }
      handleProgress();
    },
    kill() {
      updateProgress();
      waiting.length = 0;
      prefilling = [];
      decoding = [];
      usedMemoryTokens = 0;
      cache.clear();
      handleProgress();
    },
    setSlowdown(factor) {
      updateProgress();
      slowdownFactor = factor;
      handleProgress();
    },
    getLoad: () => ({ running: prefilling.length + decoding.length, waiting: waiting.length }),
  };
}

function countMemoryTokens(call: EngineCall): number {
  return call.promptTokens + call.outputTokens;
}
