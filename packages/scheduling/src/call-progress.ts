/**
 * Tracks the calls in progress at one backend server and learns from them: how much prefill is
 * still ahead of a new call, how much memory and how many calls the server can handle, and its
 * speed.
 */
import type { Usage, WorkDescription } from '@masticbend/protocol/call-message';
import { createAdaptiveLimit } from './adaptive-limit.js';
import { HIGH_QUANTILE, updateQuantile } from './output-length.js';
import { createPrefixCacheModel } from './prefix-cache.js';
import { createRateEstimate } from './rate-estimate.js';

/**
 * A call whose first byte takes longer than its estimate times the factor plus the margin has
 * waited inside the engine.
 */
const WAIT_FACTOR = 3;
const WAIT_MARGIN_MS = 200;
/** The overdue prefill of a streamed call is taken as finished after its estimate times this. */
const OVERDUE_FACTOR = 2.5;
/** Assumed remaining time of an overdue prefill, as a share of its estimate. */
const OVERDUE_SHARE = 0.5;
/** Bounds of the factor by which calls exceed their estimate, and its quantile step. */
const MIN_OVERRUN = 1;
const MAX_OVERRUN = 3;
const OVERRUN_STEP = 0.04;
/** Minimum of the engine's memory limit, in tokens. */
const MIN_MEMORY_TOKENS = 4_096;
/** Answers with fewer output tokens are too short to estimate the decoding speed. */
const MIN_DECODE_SAMPLE_TOKENS = 4;
/** Maximum share of decoding in the time of a non-streamed answer used to estimate its prefill. */
const MAX_DECODE_SHARE = 0.3;

/** A call in progress. */
interface Call {
  work: WorkDescription;
  /** False for a non-streamed answer: its first byte does not mark the end of prefill. */
  streamed: boolean;
  startedAt: number;
  cachedTokens: number;
  /** Expected time to the first byte. */
  prefillMs: number;
  /** Part of it during which no other prompt can be processed. */
  prefillBusyMs: number;
  /** Time per output token, as estimated at the start. */
  decodeMs: number;
  /** Calls in progress at its first byte, itself included; undefined before that. */
  runningAtFirstByte?: number;
}

/** Calls in progress and estimates of the server. */
export interface CallProgress {
  start: (now: number, request: string, work: WorkDescription, streamed: boolean) => void;
  recordFirstByte: (now: number, request: string) => void;
  recordFinish: (now: number, request: string, usage: Usage) => void;
  recordFailure: (now: number, request: string) => void;
  countRunning: () => number;
  /** Maximum number of calls in progress. */
  getCallLimit: () => number;
  /** Maximum number of tokens in progress. */
  getTokenLimit: () => number;
  /** Tokens of all calls in progress: prompts, and outputs at the high quantile of their length. */
  sumTokens: () => number;
  estimateCachedTokens: (work: WorkDescription) => number;
  /** Time until the prefill of all calls in progress is finished, in milliseconds. */
  estimatePrefillLeftMs: (now: number) => number;
  /** Time for which the work's prefill blocks the prefill of other calls, in milliseconds. */
  estimatePrefillBusyMs: (work: WorkDescription) => number;
  /** Time from the call to its last byte at the high quantile of its length, in milliseconds. */
  estimateServiceMs: (work: WorkDescription) => number;
  /** Share of the server's time that the work takes from others, in milliseconds. */
  estimateCostMs: (work: WorkDescription) => number;
  /** Prompt tokens per second. */
  getPrefillRate: () => number;
  /** Time per output token of one more call, in milliseconds. */
  estimateDecodeMs: () => number;
}

/** Returns the progress of an idle server; `getConcurrency` returns its maximum number of calls. */
export function createCallProgress(getConcurrency: () => number): CallProgress {
  const rates = createRateEstimate(getConcurrency);
  const prefixes = createPrefixCacheModel();
  const callLimit = createAdaptiveLimit(1, getConcurrency);
  const tokenLimit = createAdaptiveLimit(MIN_MEMORY_TOKENS, () => Infinity);
  const calls = new Map<string, Call>();
  /** Calls in prefill, in the order of their start. */
  const prefilling = new Map<string, Call>();
  let tokens = 0;
  /** High quantile of the ratio of a call's actual time to its estimate. */
  let overrun = MIN_OVERRUN;
  let lastFirstByteAt = 0;

  function estimatePrefillMs(work: WorkDescription): number {
    if (work.promptTokens === 0) return 0;
    return rates.estimatePrefillMs(work.promptTokens - estimateCachedTokens(work));
  }

  function estimatePrefillBusyMs(work: WorkDescription): number {
    if (work.promptTokens === 0) return 0;
    return rates.estimatePrefillBusyMs(work.promptTokens - estimateCachedTokens(work));
  }

  function estimateCachedTokens(work: WorkDescription): number {
    return Math.min(prefixes.estimateCached(work.prefix), work.promptTokens);
  }

  /** Number of calls like this one that would run concurrently on a full server. */
  function estimateFullConcurrency(work: WorkDescription): number {
    const byMemory = tokenLimit.get() / Math.max(1, countTokens(work));
    return Math.max(1, calls.size, Math.min(callLimit.get(), byMemory));
  }

  function finish(request: string): Call | undefined {
    const call = calls.get(request);
    if (!call) return undefined;
    calls.delete(request);
    prefilling.delete(request);
    tokens -= countTokens(call.work);
    return call;
  }

  function recordPrefill(now: number, call: Call): void {
    const { work, startedAt, cachedTokens, prefillMs } = call;
    const elapsedMs = now - Math.max(startedAt, lastFirstByteAt);
    lastFirstByteAt = now;
    const hasWaited = elapsedMs > prefillMs * WAIT_FACTOR + WAIT_MARGIN_MS;
    if (hasWaited && calls.size > 1) {
      tokenLimit.recordWait(tokens - countTokens(work));
      callLimit.recordWait(calls.size - 1);
    }
    rates.recordPrefill(work.promptTokens - cachedTokens, elapsedMs);
  }

  function recordDecode(call: Call, usage: Usage): void {
    const outputTokens = usage.outputTokens || call.work.outputTokens;
    if (outputTokens < MIN_DECODE_SAMPLE_TOKENS) return;
    const running = ((call.runningAtFirstByte ?? calls.size) + calls.size) / 2;
    const firstByteMs = call.streamed ? usage.firstByteMs : call.prefillMs;
    rates.recordDecode(running, Math.max(0, usage.totalMs - firstByteMs) / outputTokens);
  }

  function recordOverrun({ work, prefillMs, decodeMs }: Call, usage: Usage): void {
    const outputTokens = usage.outputTokens || work.outputTokens;
    const ratio = usage.totalMs / Math.max(1, prefillMs + outputTokens * decodeMs);
    const updated = updateQuantile(
      overrun,
      Math.min(ratio, MAX_OVERRUN),
      HIGH_QUANTILE,
      OVERRUN_STEP,
    );
    overrun = Math.max(MIN_OVERRUN, updated);
  }

  function recordUnstreamedPrefill({ work, cachedTokens }: Call, usage: Usage): void {
    const outputTokens = usage.outputTokens || work.outputTokens;
    const decodeMs = outputTokens * rates.estimateDecodeMs(calls.size);
    if (decodeMs > usage.totalMs * MAX_DECODE_SHARE) return;
    rates.recordPrefill(work.promptTokens - cachedTokens, usage.totalMs - decodeMs);
  }

  return {
    start(now, request, work, streamed) {
      const cachedTokens = estimateCachedTokens(work);
      const call = {
        work,
        streamed,
        startedAt: now,
        cachedTokens,
        prefillMs: estimatePrefillMs(work),
        prefillBusyMs: estimatePrefillBusyMs(work),
        decodeMs: rates.estimateDecodeMs(calls.size + 1),
      };
      calls.set(request, call);
      if (work.promptTokens > 0) prefilling.set(request, call);
      tokens += countTokens(work);
      prefixes.record(work.prefix);
    },
    recordFirstByte(now, request) {
      const call = calls.get(request);
      if (!call || call.runningAtFirstByte !== undefined) return;
      prefilling.delete(request);
      call.runningAtFirstByte = calls.size;
      if (call.streamed && call.work.promptTokens > 0) recordPrefill(now, call);
    },
    recordFinish(now, request, usage) {
      const call = finish(request);
      if (!call) return;
      const { work, cachedTokens } = call;
      if (work.promptTokens === 0) rates.recordCall(work.work, usage.totalMs);
      else {
        recordOverrun(call, usage);
        recordDecode(call, usage);
      }
      if (work.promptTokens > 0 && !call.streamed) recordUnstreamedPrefill(call, usage);
      if (usage.promptTokens > 0) prefixes.correct(cachedTokens, usage.cachedTokens);
      callLimit.recordSuccess();
      tokenLimit.recordSuccess();
    },
    recordFailure: (now, request) => {
      finish(request);
    },
    countRunning: () => calls.size,
    getCallLimit: () => Math.floor(callLimit.get()),
    getTokenLimit: tokenLimit.get,
    sumTokens: () => tokens,
    estimateCachedTokens,
    estimatePrefillLeftMs(now) {
      let leftMs = 0;
      let elapsedMs = -1;
      for (const { startedAt, prefillBusyMs, streamed } of prefilling.values()) {
        const overdueMs = prefillBusyMs * (streamed ? OVERDUE_FACTOR : 1);
        if (elapsedMs < 0) elapsedMs = now - Math.max(startedAt, lastFirstByteAt);
        if (elapsedMs < prefillBusyMs) {
          leftMs += prefillBusyMs - elapsedMs;
          elapsedMs = 0;
        } else if (elapsedMs < overdueMs) {
          leftMs += prefillBusyMs * OVERDUE_SHARE;
          elapsedMs = 0;
        } else elapsedMs -= overdueMs;
      }
      return leftMs;
    },
    estimatePrefillBusyMs,
    estimateServiceMs(work) {
      if (work.promptTokens === 0) return rates.estimateCallMs(work.work);
      const decodeMs = rates.estimateDecodeMs(calls.size + 1);
      return (estimatePrefillMs(work) + work.outputTokensHigh * decodeMs) * overrun;
    },
    estimateCostMs(work) {
      if (work.promptTokens === 0) {
        return rates.estimateCallMs(work.work) / Math.max(1, getConcurrency());
      }
      const running = estimateFullConcurrency(work);
      const decodeMs = rates.estimateDecodeMs(running) / running;
      return estimatePrefillMs(work) + (work.outputTokens * decodeMs) / 2;
    },
    getPrefillRate: rates.getPrefillRate,
    estimateDecodeMs: () => rates.estimateDecodeMs(calls.size + 1),
  };
}

function countTokens({ promptTokens, outputTokensHigh }: WorkDescription): number {
  return promptTokens + outputTokensHigh;
}
