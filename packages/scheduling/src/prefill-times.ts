/**
 * Prefill of one engine as its agent sees it, from grants, first outputs and ends: how long it
 * takes for a thousand prompt tokens, and whether another prompt may start without a pause in the
 * running streams that is too long for their routes. A state machine without clocks.
 *
 * An engine holds one permit more than it has slots. That request starts when the next one ends, so
 * its time counts from there.
 */

/**
 * Expected time for reading the prompts of granted requests above which no permit is granted, where
 * no objective is known. An engine reads the prompts of all its requests in turns: with more of
 * them, all first events are late, while those that wait here can still be ordered, placed
 * elsewhere or refused.
 */
export const MAX_PENDING_PREFILL_MS = 300;
/** Estimate for an engine without observations, as in `server-entry.ts`. */
export const INITIAL_PREFILL_MS_PER_THOUSAND = 60;
/** Fraction of the pause objective that pending prompts may take, since the estimates are rough. */
const PAUSE_FRACTION = 0.85;
/** Part that each first output leaves of the weight of the earlier ones. */
const LONG_TERM_DECAY = 0.95;
const RECENT_DECAY = 0.4;
/** Age of the last first output from which the recent estimate is not used; spells last 600 ms. */
const RECENT_AGE_MS = 500;
/** Maximum ratio of a time to the expected one, so that slow spells hardly move the long term. */
const MAX_RATIO = 2;
const MAX_RECENT_RATIO = 3;
/**
 * Weight of a prompt that was read beside others. Whether an engine reads them in turns or one by
 * one is not known, so that its time may include tokens of prompts that came later.
 */
const SHARED_WEIGHT = 0.2;
/** First outputs from which times are capped. */
const MIN_SAMPLES = 5;

/** Prefill of one engine. Times are monotonic, in milliseconds; permits have any unique key. */
export interface PrefillTimes {
  setSlots: (now: number, slots: number) => void;
  /** A permit is in use; `pauseMs` is the pause objective of its route, if that is known. */
  recordGrant: (now: number, key: string, promptTokens: number, pauseMs?: number) => void;
  /** The prompt of a permit's request has been read. */
  recordFirstOutput: (now: number, key: string) => void;
  /** A permit is no longer in use. */
  recordEnd: (now: number, key: string) => void;
  /** Returns whether a prompt may start beside those that are pending; one always may. */
  canStart: (now: number, promptTokens: number) => boolean;
  /** Long-term time for a thousand tokens; undefined without samples. */
  getPrefillMs: () => number | undefined;
  /** Forgets the times, since the engine was replaced. */
  restart: () => void;
}

interface PrefillPermit {
  promptTokens: number;
  pauseMs: number | undefined;
  hasOutput: boolean;
  /** Time at which it got a slot, and prompt tokens of all in slots then, in thousands. */
  startedAt?: number;
  kilotokens: number;
  /** Weight of its time. */
  weight: number;
}

/** Sum of times and of the tokens that they were taken for, with decaying weights. */
interface WeightedTime {
  ms: number;
  kilotokens: number;
}

/** Returns the prefill of an engine without samples. */
export function createPrefillTimes(): PrefillTimes {
  /** Permits in the order of their grants; no more than slots and extra permits. */
  const permits = new Map<string, PrefillPermit>();
  let slots = 0;
  let pendingTokens = 0;
  let samples = 0;
  let longTerm: WeightedTime = { ms: 0, kilotokens: 0 };
  let recent: WeightedTime = { ms: 0, kilotokens: 0 };
  let sampledAt = -Infinity;

  function startNext(now: number): void {
    let started = 0;
    let startedTokens = 0;
    for (const permit of permits.values()) {
      if (started >= slots) return;
      started += 1;
      if (permit.startedAt === undefined) {
        permit.startedAt = now;
        // The fixed time of a first event counts as one thousand tokens.
        permit.kilotokens = (startedTokens + permit.promptTokens) / 1_000 + 1;
        if (startedTokens > 0 && permit.promptTokens > 0) recordShared();
      }
      if (!permit.hasOutput) startedTokens += permit.promptTokens;
    }
  }

  /** Several prompts are read at once. */
  function recordShared(): void {
    for (const permit of permits.values()) {
      if (permit.startedAt !== undefined && !permit.hasOutput) permit.weight = SHARED_WEIGHT;
    }
  }

  function finishPrefill(permit: PrefillPermit): void {
    if (!permit.hasOutput) pendingTokens = Math.max(0, pendingTokens - permit.promptTokens);
    permit.hasOutput = true;
  }

  function recordTime(now: number, elapsedMs: number, { kilotokens, weight }: PrefillPermit): void {
    const expectedMs = getMsPerKilotoken(longTerm) * kilotokens;
    const isCapped = samples >= MIN_SAMPLES;
    const addTime = (time: WeightedTime, decay: number, maxRatio: number): WeightedTime => ({
      ms:
        time.ms * decay + weight * Math.min(elapsedMs, isCapped ? expectedMs * maxRatio : Infinity),
      kilotokens: time.kilotokens * decay + weight * kilotokens,
    });
    longTerm = addTime(longTerm, LONG_TERM_DECAY, MAX_RATIO);
    recent = addTime(recent, RECENT_DECAY, MAX_RECENT_RATIO);
    samples += 1;
    sampledAt = now;
  }

  function getPresentMs(now: number): number {
    if (samples === 0) return INITIAL_PREFILL_MS_PER_THOUSAND;
    const longTermMs = getMsPerKilotoken(longTerm);
    if (now - sampledAt > RECENT_AGE_MS) return longTermMs;
    return Math.max(longTermMs, getMsPerKilotoken(recent));
  }

  /** Returns the shortest pause objective of the requests in use; undefined where none is known. */
  function findPauseMs(): number | undefined {
    let shortestMs: number | undefined;
    for (const { pauseMs } of permits.values()) {
      if (pauseMs !== undefined) shortestMs = Math.min(pauseMs, shortestMs ?? Infinity);
    }
    return shortestMs;
  }

  return {
    setSlots(now, next) {
      slots = next;
      startNext(now);
    },
    recordGrant(now, key, promptTokens, pauseMs) {
      const hasOutput = promptTokens === 0;
      permits.set(key, { promptTokens, pauseMs, hasOutput, kilotokens: 0, weight: 1 });
      pendingTokens += promptTokens;
      startNext(now);
    },
    recordFirstOutput(now, key) {
      const permit = permits.get(key);
      if (!permit || permit.hasOutput) return;
      finishPrefill(permit);
      // Without a start, an end was reported late: the request had got its slot before.
      if (permit.startedAt === undefined) return;
      recordTime(now, now - permit.startedAt, permit);
    },
    recordEnd(now, key) {
      const permit = permits.get(key);
      if (!permit) return;
      finishPrefill(permit);
      permits.delete(key);
      startNext(now);
    },
    canStart(now, promptTokens) {
      if (pendingTokens === 0) return true;
      const prefillMs = getPresentMs(now);
      const pauseMs = findPauseMs();
      if (pauseMs === undefined) {
        return (pendingTokens / 1_000) * prefillMs < MAX_PENDING_PREFILL_MS;
      }
      const expectedMs = ((pendingTokens + promptTokens) / 1_000 + 1) * prefillMs;
      return expectedMs <= pauseMs * PAUSE_FRACTION;
    },
    getPrefillMs: () => (samples > 0 ? getMsPerKilotoken(longTerm) : undefined),
    restart() {
      samples = 0;
      longTerm = { ms: 0, kilotokens: 0 };
      recent = { ms: 0, kilotokens: 0 };
      sampledAt = -Infinity;
    },
  };
}

function getMsPerKilotoken({ ms, kilotokens }: WeightedTime): number {
  return kilotokens > 0 ? ms / kilotokens : INITIAL_PREFILL_MS_PER_THOUSAND;
}
