/**
 * Speed of one backend server, estimated from its calls: prefill time by prompt length, time per
 * output token by the number of running calls, and the time of calls without tokens. Old
 * observations decay, so a server that becomes slow is detected within a few calls.
 */

/** Estimates before any observation: prefill time per prompt token, and time per output token. */
const INITIAL_PREFILL_MS_PER_TOKEN = 0.25;
const INITIAL_DECODE_MS = 30;
const INITIAL_DECODE_MS_PER_CALL = 1;
/** Maximum assumed increase of the time per output token from an idle to a full server. */
const INITIAL_MAX_SLOWDOWN_MS = 64;
const TYPICAL_CALLS = 16;
const INITIAL_CALL_MS = 20;
/** Share of the old sums that is kept at each observation. */
const DECODE_RETENTION = 0.96;
const CALL_RETENTION = 0.9;
/** Prompt tokens after which earlier observations of the prefill rate count by half. */
const PREFILL_HALF_LIFE_TOKENS = 40_000;
/** Prompt length at which an observation counts by half towards the fixed time of a call. */
const SHORT_PROMPT_TOKENS = 256;
const FIXED_TIME_SMOOTHING = 0.1;
/** Minimum share of an observed time that is attributed to prefill. */
const MIN_PREFILL_SHARE = 0.1;
/** Maximum factor by which decay accelerates when an observation contradicts the estimate. */
const MAX_DECAY_FACTOR = 8;
/** Maximum number of classes of work without tokens that are kept. */
const MAX_WORK_CLASSES = 256;

/** Estimated speed of a backend server. */
export interface RateEstimate {
  recordPrefill: (tokens: number, elapsedMs: number) => void;
  /** Records the mean time per output token at a mean number of running calls. */
  recordDecode: (running: number, msPerToken: number) => void;
  recordCall: (work: string, elapsedMs: number) => void;
  /** Time from the call to its first byte on an idle server. */
  estimatePrefillMs: (tokens: number) => number;
  /** Part of it that blocks the prefill of other calls; the rest passes concurrently. */
  estimatePrefillBusyMs: (tokens: number) => number;
  estimateDecodeMs: (running: number) => number;
  estimateCallMs: (work: string) => number;
  /** Prompt tokens per second, without the fixed time of a call. */
  getPrefillRate: () => number;
}

/** Returns initial estimates; `getConcurrency` returns the server's maximum number of calls. */
export function createRateEstimate(getConcurrency: () => number): RateEstimate {
  const prefill = createPrefillRate();
  const decode = createLinearFit(
    INITIAL_DECODE_MS,
    () => Math.min(INITIAL_DECODE_MS_PER_CALL, INITIAL_MAX_SLOWDOWN_MS / getConcurrency()),
    TYPICAL_CALLS,
    DECODE_RETENTION,
  );
  const calls = new Map<string, number>();
  return {
    recordPrefill: prefill.record,
    recordDecode: decode.record,
    recordCall(work, elapsedMs) {
      const known = calls.get(work) ?? elapsedMs;
      calls.delete(work);
      calls.set(work, known * CALL_RETENTION + elapsedMs * (1 - CALL_RETENTION));
      if (calls.size > MAX_WORK_CLASSES) calls.delete(calls.keys().next().value!);
    },
    estimatePrefillMs: prefill.estimate,
    estimatePrefillBusyMs: (tokens) => tokens * prefill.getMsPerToken(),
    estimateDecodeMs: decode.estimate,
    estimateCallMs: (work) => calls.get(work) ?? INITIAL_CALL_MS,
    getPrefillRate: () => 1_000 / prefill.getMsPerToken(),
  };
}

interface LinearFit {
  record: (x: number, y: number) => void;
  estimate: (x: number) => number;
}

/**
 * Estimates prefill time as a fixed time plus a time per token. Each observation is weighted by its
 * tokens, so that many short prompts do not outweigh a few long ones.
 */
function createPrefillRate() {
  let decayedTokens = PREFILL_HALF_LIFE_TOKENS / 4;
  let decayedMs = decayedTokens * INITIAL_PREFILL_MS_PER_TOKEN;
  let fixedMs = 0;
  const getMsPerToken = () => decayedMs / decayedTokens;
  return {
    record(tokens: number, elapsedMs: number) {
      const decayFactor = computeDecayFactor(elapsedMs, fixedMs + tokens * getMsPerToken());
      const kept = 0.5 ** ((tokens * decayFactor) / PREFILL_HALF_LIFE_TOKENS);
      decayedTokens = decayedTokens * kept + tokens;
      decayedMs = decayedMs * kept + Math.max(elapsedMs - fixedMs, elapsedMs * MIN_PREFILL_SHARE);
      const shortness = SHORT_PROMPT_TOKENS / (SHORT_PROMPT_TOKENS + tokens);
      const observedFixedMs = elapsedMs - tokens * getMsPerToken();
      fixedMs = Math.max(
        0,
        fixedMs + (observedFixedMs - fixedMs) * FIXED_TIME_SMOOTHING * shortness,
      );
    },
    estimate: (tokens: number) => fixedMs + tokens * getMsPerToken(),
    getMsPerToken,
  };
}

/**
 * Fits a non-decreasing line by least squares with decaying weights. The fit starts from two prior
 * points on the assumed line, at 0 and at `priorX`, whose weight decays with each observation.
 */
function createLinearFit(
  intercept: number,
  getSlope: () => number,
  priorX: number,
  retention: number,
): LinearFit {
  let priorWeight = 1;
  let weight = 0;
  let sumX = 0;
  let sumY = 0;
  let sumXX = 0;
  let sumXY = 0;

  function computeFit(): { base: number; rise: number } {
    const slope = getSlope();
    const end = intercept + slope * priorX;
    const count = weight + 2 * priorWeight;
    const x = sumX + priorX * priorWeight;
    const y = sumY + (intercept + end) * priorWeight;
    const xx = sumXX + priorX * priorX * priorWeight;
    const xy = sumXY + priorX * end * priorWeight;
    const spread = count * xx - x * x;
    const maxRise = x > 0 ? y / x : slope;
    const rise = spread > 1e-9 * xx ? (count * xy - x * y) / spread : 0;
    const bounded = Math.min(Math.max(rise, 0), maxRise);
    return { base: Math.max(0, (y - bounded * x) / count), rise: bounded };
  }

  function estimate(x: number): number {
    const { base, rise } = computeFit();
    return base + rise * x;
  }

  return {
    record(x, y) {
      const kept = retention ** computeDecayFactor(y, estimate(x));
      priorWeight *= kept;
      weight = weight * kept + 1;
      sumX = sumX * kept + x;
      sumY = sumY * kept + y;
      sumXX = sumXX * kept + x * x;
      sumXY = sumXY * kept + x * y;
    },
    estimate,
  };
}

/** Returns the factor on the usual decay: the larger of both values divided by the smaller. */
function computeDecayFactor(observed: number, expected: number): number {
  const ratio = Math.max(observed, 1) / Math.max(expected, 1);
  return Math.min(Math.max(ratio, 1 / ratio), MAX_DECAY_FACTOR);
}
