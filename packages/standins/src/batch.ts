/**
 * Continuous batching in the engine stand-in. Calls are admitted in order of arrival. Each step
 * prefills one chunk of the oldest unfinished prompt and decodes one token of every call whose
 * prompt is prefilled; the more calls decode, the longer a step takes. One timer drives the batch.
 */

const PREFILL_CHUNK_TOKENS = 512;
/** Maximum number of overdue steps executed at once when the timer fires late. */
const MAX_CATCH_UP_STEPS = 64;

/** Speed and capacity of a batch. */
export interface BatchOptions {
  /** Prompt tokens per second. */
  prefillRate: number;
  /** Duration of a decode step with one call, and the increase for each further call. */
  stepMs: number;
  stepPerCallMs: number;
  /** Calls that are prefilled or decoded at the same time; the others wait. */
  maxBatchCalls: number;
  /** Returns the factor by which the duration of each step is multiplied. */
  getSlowdownFactor: () => number;
}

/** One call in the batch. */
export interface BatchCall {
  /** Prompt tokens still to be prefilled. */
  remainingPromptTokens: number;
  outputTokens: number;
  decodedTokens: number;
  onPrefilled: () => void;
  onToken: (index: number) => void;
  onFinished: () => void;
}

/** A running batch. */
export interface Batch {
  add: (call: BatchCall) => void;
  remove: (call: BatchCall) => void;
  count: () => { running: number; waiting: number };
  /** Suspends the loop, like a process that is paused. */
  pause: () => void;
  resume: () => void;
}

/** Returns an empty batch. */
export function createBatch(options: BatchOptions): Batch {
  const running = new Set<BatchCall>();
  const waiting = new Set<BatchCall>();
  let timer: NodeJS.Timeout | undefined;
  let stepEndsAt = 0;
  let isPaused = false;
  let finishStep: (() => void) | undefined;

  function acceptWaiting(): void {
    for (const call of waiting) {
      if (running.size >= options.maxBatchCalls) return;
      waiting.delete(call);
      running.add(call);
    }
  }

  function startStep(): number {
    acceptWaiting();
    const prefilling = [...running].find(({ remainingPromptTokens }) => remainingPromptTokens > 0);
    const chunkTokens = Math.min(PREFILL_CHUNK_TOKENS, prefilling?.remainingPromptTokens ?? 0);
    const decoding = [...running].filter(
      ({ remainingPromptTokens }) => remainingPromptTokens === 0,
    );
    finishStep = () => {
      if (prefilling && running.has(prefilling)) addPrefill(prefilling, chunkTokens);
      for (const call of decoding) if (running.has(call)) addToken(call);
    };
    const prefillMs = (chunkTokens / options.prefillRate) * 1_000;
    const decodeMs =
      decoding.length > 0 ? options.stepMs + options.stepPerCallMs * (decoding.length - 1) : 0;
    return (prefillMs + decodeMs) * options.getSlowdownFactor();
  }

  function addPrefill(call: BatchCall, tokens: number): void {
    call.remainingPromptTokens -= tokens;
    if (call.remainingPromptTokens === 0) call.onPrefilled();
  }

  function addToken(call: BatchCall): void {
    call.onToken(call.decodedTokens);
    call.decodedTokens += 1;
    if (call.decodedTokens < call.outputTokens) return;
    running.delete(call);
    call.onFinished();
  }

  function runSteps(): void {
    timer = undefined;
    for (let count = 0; count < MAX_CATCH_UP_STEPS && stepEndsAt <= performance.now(); count += 1) {
      if (isPaused) return;
      finishStep?.();
      finishStep = undefined;
      if (running.size + waiting.size === 0) return;
      stepEndsAt += startStep();
    }
    schedule();
  }

  function schedule(): void {
    if (isPaused || timer || !finishStep) return;
    timer = setTimeout(runSteps, Math.max(0, stepEndsAt - performance.now()));
  }

  return {
    add(call) {
      waiting.add(call);
      if (finishStep) return;
      stepEndsAt = performance.now() + startStep();
      schedule();
    },
    remove(call) {
      waiting.delete(call);
      running.delete(call);
    },
    count: () => ({ running: running.size, waiting: waiting.size }),
    pause() {
      isPaused = true;
      clearTimeout(timer);
      timer = undefined;
    },
    resume() {
      isPaused = false;
      stepEndsAt = performance.now();
      schedule();
    },
  };
}
