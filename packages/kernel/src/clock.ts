/**
 * Clocks. Durations and expiries use the monotonic clock; only records read by people or by other
 * processes carry wall time. Decision code takes a clock as a parameter, so that tests can run it
 * on a virtual clock.
 */

/** Source of time and timers. */
export interface Clock {
  /** Monotonic time in milliseconds; comparable only within this process. */
  now: () => number;
  /** Wall time in milliseconds since 1970. */
  readWallTime: () => number;
  /** Runs `callback` once after `delayMs`; the returned function cancels it. */
  startTimer: (delayMs: number, callback: () => void) => () => void;
}

/** Returns the clock of this process. Timers do not keep the process alive. */
export function createSystemClock(): Clock {
  return {
    now: () => performance.now(),
    readWallTime: () => Date.now(),
    startTimer(delayMs, callback) {
      const timer = setTimeout(callback, delayMs);
      timer.unref();
      return () => clearTimeout(timer);
    },
  };
}

/** Difference between the wall and the monotonic duration that counts as a step. */
const WALL_STEP_MS = 250;

/**
 * Returns a function that returns the elapsed milliseconds, including time in which the instance
 * was suspended, which the monotonic clock leaves out. The time between two calls counts as the
 * longer of its monotonic and its wall duration. A forward step of the wall clock is therefore
 * counted too: leases then expire early, never late. `onStep` is called after each suspension or
 * step, so that what has expired can be renewed at once; `stepMs` is negative for a step back.
 */
export function createElapsedTime(
  clock: Clock,
  onStep: (stepMs: number) => void = () => undefined,
): () => number {
  let elapsed = 0;
  let monotonic = clock.now();
  let wall = clock.readWallTime();
  return () => {
    const nextMonotonic = clock.now();
    const nextWall = clock.readWallTime();
    const stepMs = nextWall - wall - (nextMonotonic - monotonic);
    elapsed += nextMonotonic - monotonic + Math.max(0, stepMs);
    monotonic = nextMonotonic;
    wall = nextWall;
    if (Math.abs(stepMs) >= WALL_STEP_MS) onStep(stepMs);
    return elapsed;
  };
}

/** Resolves once a duration has passed on a clock. */
export function waitFor(clock: Clock, durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.startTimer(durationMs, resolve);
  });
}

/** A wait that can be ended early. */
export interface Pause {
  ended: Promise<void>;
  end: () => void;
}

/** Starts a wait of a duration on a clock. */
export function startPause(clock: Clock, durationMs: number): Pause {
  let end = () => {};
  const ended = new Promise<void>((resolve) => {
    const stopTimer = clock.startTimer(durationMs, resolve);
    end = () => {
      stopTimer();
      resolve();
    };
  });
  return { ended, end };
}

/** Clock whose time changes only through `advance`. */
export interface VirtualClock extends Clock {
  /** Moves time forward and runs due timers in the order of their due time. */
  advance: (durationMs: number) => void;
}

/** Returns a virtual clock that starts at `startMs`, for both monotonic and wall time. */
export function createVirtualClock(startMs = 0): VirtualClock {
  let current = startMs;
  let sequence = 0;
  const timers = new Map<number, { dueAt: number; callback: () => void }>();
  return {
    now: () => current,
    readWallTime: () => current,
    startTimer(delayMs, callback) {
      sequence += 1;
      const id = sequence;
      timers.set(id, { dueAt: current + delayMs, callback });
      return () => timers.delete(id);
    },
    advance(durationMs) {
      const end = current + durationMs;
      for (;;) {
        const next = findEarliest(timers, end);
        if (!next) break;
        timers.delete(next.id);
        current = Math.max(current, next.dueAt);
        next.callback();
      }
      current = end;
    },
  };
}

function findEarliest(timers: Map<number, { dueAt: number; callback: () => void }>, end: number) {
  let first: { id: number; dueAt: number; callback: () => void } | undefined;
  for (const [id, timer] of timers) {
    if (timer.dueAt <= end && (!first || timer.dueAt < first.dueAt)) first = { id, ...timer };
  }
  return first;
}
