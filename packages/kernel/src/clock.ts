/**
 * Clocks. Durations and lapses use the monotonic clock; only records read by people or by other
 * processes carry wall time. Decision code takes a clock, so tests run it on a virtual one.
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

/**
 * Returns elapsed milliseconds that also count the time in which the machine was suspended, which
 * the monotonic clock leaves out. A forward step of the wall clock counts as well: what is leased
 * then lapses early, never late.
 */
export function createElapsedTime(clock: Clock): () => number {
  let elapsed = 0;
  let monotonic = clock.now();
  let wall = clock.readWallTime();
  return () => {
    const nextMonotonic = clock.now();
    const nextWall = clock.readWallTime();
    elapsed += Math.max(nextMonotonic - monotonic, nextWall - wall);
    monotonic = nextMonotonic;
    wall = nextWall;
    return elapsed;
  };
}

/** Resolves after a time on a clock. */
export function waitFor(clock: Clock, durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.startTimer(durationMs, resolve);
  });
}

/** Clock moved by hand. */
export interface VirtualClock extends Clock {
  /** Moves time forward, running due timers in order. */
  advance: (durationMs: number) => void;
}

/** Returns a clock that starts at `startMs` and moves only by `advance`. */
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
  let best: { id: number; dueAt: number; callback: () => void } | undefined;
  for (const [id, timer] of timers) {
    if (timer.dueAt <= end && (!best || timer.dueAt < best.dueAt)) best = { id, ...timer };
  }
  return best;
}
