/**
 * Predicts the answers that a request would make late by a pause at an engine: those of the streams
 * that run there, while its prompt is prefilled, and its own. A state machine without clocks.
 */
import type { EventTimes } from './event-times.js';
import { countHeld, type PlacedWork, type ServerEntry } from './server-entry.js';

/** An average engine without samples of any other: 7 steps of 3 ms, and 70 tokens a millisecond. */
const INITIAL_INTERVAL_MS = 25;
const INITIAL_PREFILL_MS = 15;
/**
 * Prompt tokens that an engine prefills at most between two events of a stream: 8 steps, each with
 * the largest usual chunk of 4,096 tokens. Longer prompts delay further events, each by no more.
 */
const MAX_TOKENS_PER_EVENT = 32_768;
/**
 * Expected pauses below the first fraction of the objective make no answer late, above the second
 * all, and a part of them between: the estimates are off by some 20%.
 */
const SAFE_FRACTION = 0.75;
const LATE_FRACTION = 1.1;
/**
 * Further late answers for each objective beyond that: the longer the prefill, the more streams it
 * meets. It also sends prompts that are too long for all engines to the faster ones.
 */
const EXCESS_COST = 0.2;
/** Events from which an answer can have a pause; shorter ones often come within one prefill. */
const MIN_EVENTS = 4;
/** Occupied fraction of the slots from which short prompts leave the fast engines to long ones. */
const SCARCE_OCCUPANCY = 0.75;
/** Fraction of the usual long prompt below which a prompt is short. */
const SHORT_FRACTION = 0.4;
/** Time for which the averages over the engines of a service are kept. */
const AVERAGES_AGE_MS = 200;
/** Part that each prompt leaves of the weight of the earlier ones in the mean prompt size. */
const PROMPT_DECAY = 0.99;

type FindReport = (server: string) => { held: number; prefillMs?: number } | undefined;

/** An engine as the prediction needs it. */
export interface StreamingEngine {
  times: EventTimes;
  /** Prefill time per thousand tokens as its agent measures it, if it does. */
  prefillMs: number | undefined;
  /** Requests that run there. */
  held: number;
  /** Prompt tokens of these that have no output yet. */
  pendingTokens: number;
}

/** The request as the prediction needs it. */
export interface StreamedRequest {
  service: string;
  work: PlacedWork;
  /** Longest time between two events for an answer on time; undefined where that does not count. */
  pauseMs?: number;
}

/** What a request costs at an engine. */
export interface PauseCost {
  /** Expected number of late answers, whole, so that uncertain differences do not decide. */
  lateAnswers: number;
  /** The prompt is short, slots are scarce, and long prompts would make streams late there. */
  sparesFast: boolean;
}

/** Returns what one request costs at an engine. */
export type EstimatePauseCost = (engine: StreamingEngine) => PauseCost;

/** Predictions of one entry. Times are monotonic, in milliseconds. */
export interface StreamPauses {
  /**
   * Records the prompt of a request to be placed, refreshes the averages over the engines of its
   * service, and returns the estimate for each of these; undefined where pauses do not count for
   * the request. `findReport` returns what an agent reports.
   */
  recordRequest: (
    now: number,
    request: StreamedRequest,
    entries: Iterable<ServerEntry>,
    findReport: FindReport,
  ) => EstimatePauseCost | undefined;
}

/** Averages over the engines of a service that have samples. */
interface ServiceAverages {
  refreshedAt: number;
  intervalMs: number;
  /** Prefill time per thousand tokens, in relation to the time between events. */
  prefillRatio: number;
  promptTokens: number;
  /** Sum of the prompts' tokens, each weighted with the logarithm of the size of its prompt. */
  promptLogTokens: number;
  /** Fraction of the slots that are in use. */
  occupancy: number;
}

/** Returns predictions without samples. */
export function createStreamPauses(): StreamPauses {
  const services = new Map<string, ServiceAverages>();

  function getAverages(service: string): ServiceAverages {
    const known = services.get(service);
    if (known) return known;
    const averages = createAverages();
    services.set(service, averages);
    return averages;
  }

  return {
    recordRequest(now, { service, work, pauseMs }, entries, findReport) {
      if (!pauseMs || work.events === 0) return undefined;
      const averages = getAverages(service);
      recordPrompt(averages, work.promptTokens);
      if (now - averages.refreshedAt >= AVERAGES_AGE_MS) {
        averages.refreshedAt = now;
        updateAverages(averages, service, entries, findReport);
      }
      const longTokens = getLongPromptSize(averages);
      const isShort = work.promptTokens < longTokens * SHORT_FRACTION;
      const isSparing = isShort && averages.occupancy >= SCARCE_OCCUPANCY;
      const sparedTokens = isSparing ? longTokens : undefined;
      return (engine) => estimateCost(now, averages, engine, work, pauseMs, sparedTokens);
    },
  };
}

function createAverages(): ServiceAverages {
  return {
    refreshedAt: -Infinity,
    intervalMs: INITIAL_INTERVAL_MS,
    prefillRatio: INITIAL_PREFILL_MS / INITIAL_INTERVAL_MS,
    promptTokens: 0,
    promptLogTokens: 0,
    occupancy: 0,
  };
}

function updateAverages(
  averages: ServiceAverages,
  service: string,
  entries: Iterable<ServerEntry>,
  findReport: FindReport,
): void {
  const interval = { count: 0, sum: 0 };
  const ratio = { count: 0, sum: 0 };
  const slots = { held: 0, all: 0 };
  for (const entry of entries) {
    if (entry.server.service === service) {
      const report = findReport(entry.server.id);
      slots.held += Math.min(entry.server.slots, report?.held ?? countHeld(entry));
      slots.all += entry.server.slots;
      const intervalMs = entry.eventTimes?.getIntervalMs();
      const prefillMs = report?.prefillMs ?? entry.eventTimes?.getPrefillMs();
      if (intervalMs !== undefined) {
        interval.count += 1;
        interval.sum += intervalMs;
        ratio.count += prefillMs === undefined ? 0 : 1;
        ratio.sum += (prefillMs ?? 0) / intervalMs;
      }
    }
  }
  averages.occupancy = slots.all > 0 ? slots.held / slots.all : 0;
  if (interval.count > 0) averages.intervalMs = interval.sum / interval.count;
  if (ratio.count > 0) averages.prefillRatio = ratio.sum / ratio.count;
}

function recordPrompt(averages: ServiceAverages, promptTokens: number): void {
  const logTokens = promptTokens * Math.log(Math.max(1, promptTokens));
  averages.promptTokens = averages.promptTokens * PROMPT_DECAY + promptTokens;
  averages.promptLogTokens = averages.promptLogTokens * PROMPT_DECAY + logTokens;
}

/**
 * Returns the size of prompt to which an average token belongs. It is a geometric mean, since a few
 * prompts are ten times as long as the usual long ones.
 */
function getLongPromptSize({ promptTokens, promptLogTokens }: ServiceAverages): number {
  return promptTokens > 0 ? Math.exp(promptLogTokens / promptTokens) : 0;
}

function estimateCost(
  now: number,
  averages: ServiceAverages,
  { times, held, pendingTokens, prefillMs: reportedMs }: StreamingEngine,
  { promptTokens, events }: PlacedWork,
  pauseMs: number,
  sparedTokens: number | undefined,
): PauseCost {
  const slowdown = times.getSlowdown(now);
  const longTermMs = times.getIntervalMs() ?? averages.intervalMs;
  // The agent counts from the start at the engine, so that its measure goes before the entry's own.
  const longTermPrefillMs =
    reportedMs ?? times.getPrefillMs() ?? longTermMs * averages.prefillRatio;
  const intervalMs = longTermMs * slowdown;
  const msPerToken = (longTermPrefillMs * slowdown) / 1_000;
  const totalTokens = pendingTokens + promptTokens;
  const promptPauseMs = intervalMs + Math.min(totalTokens, MAX_TOKENS_PER_EVENT) * msPerToken;
  // A prompt causes the part of a pause that its tokens have of all that are pending.
  const part = promptTokens > 0 ? promptTokens / totalTokens : 0;
  const lateStreams = held * part * computeLateness(promptPauseMs, pauseMs);
  const peakMs = Math.max(intervalMs, times.getPeakMs());
  const ownLateness = events < MIN_EVENTS ? 0 : Math.min(1, computeLateness(peakMs, pauseMs));
  return {
    lateAnswers: Math.round(lateStreams + ownLateness),
    sparesFast:
      sparedTokens !== undefined &&
      computeLateness(intervalMs + sparedTokens * msPerToken, pauseMs) > 0,
  };
}

/** Returns the late answers for each stream with an expected pause, above 1 for a long one. */
function computeLateness(expectedMs: number, pauseMs: number): number {
  const objectives = expectedMs / pauseMs;
  if (objectives > LATE_FRACTION) return 1 + (objectives - LATE_FRACTION) * EXCESS_COST;
  return Math.max(0, (objectives - SAFE_FRACTION) / (LATE_FRACTION - SAFE_FRACTION));
}
