/**
 * Pace of one backend server: a limit of concurrent requests that is found from how the server
 * answers. It begins with what one or two requests show, grows with each answer that comes as
 * expected while the limit is in use, and falls when answers are late or requests fail. A server
 * that failed gets single trial requests at short intervals. A state machine without clocks.
 *
 * Once a server has answered as expected with all of its slots, only a failure or a new start
 * lowers the limit: in overload all answers of a full server are late, and an engine that runs
 * fewer of them at once writes less.
 */
import { updateMovingAverage } from './moving-average.js';

/** Limit of a server that has just started or recovered. */
const START_LIMIT = 2;
/** Factors on the limit when answers are late, and when the server refuses a request. */
const LATE_FACTOR = 0.7;
const REFUSED_FACTOR = 0.5;
/** Time to the first trial request after a failure; it doubles with each, up to the maximum. */
const TRIAL_MS = 50;
const MAX_TRIAL_MS = 800;
/** Time for which a due trial is left to requests that may be repeated. */
const TRIAL_GRACE_MS = 300;
/** Interval of requests of an instance whose part of the limit is one request. */
const SPACING_MS = 100;
/** Least part of an instance, so that one without a part still finds out that a server works. */
const MIN_PART = 0.05;
/** Requests in flight up to which an answer shows the server's time without queueing. */
const FEW_RUNNING = 2;
/** Answers of so few requests after which lateness is judged. */
const MIN_BASE_ANSWERS = 2;
/** Relative slow-down by each concurrent request that is expected, as in `server-entry.ts`. */
const SLOWDOWN_PER_REQUEST = 0.03;
/**
 * The ratio of actual to expected times is averaged and capped, so that a single slow answer does
 * not count as queueing, and two in a row do.
 */
const LATE_RATIO = 2;
const MAX_RATIO = 4;
const RATIO_SMOOTHING = 0.33;
const BASE_SMOOTHING = 0.2;

/** Why a pace has changed. */
export const PaceReason = {
  Started: 'started',
  Paused: 'paused',
  Late: 'late',
  Refused: 'refused',
  Failed: 'failed',
  Answered: 'answered',
  Full: 'full',
} as const;
export type PaceReason = (typeof PaceReason)[keyof typeof PaceReason];

/** An answer, or the first output of a stream. */
export interface PacedAnswer {
  sentAt: number;
  /** Requests in flight when it was sent, itself included. */
  running: number;
  /** Its time in relation to its size; undefined where that is no measure. */
  unitMs?: number;
}

/** Pace of one server. Times are monotonic, in milliseconds. */
export interface Pace {
  setSlots: (slots: number) => void;
  /** Limit of concurrent requests of all instances; 1 while only trials are sent. */
  getLimit: () => number;
  isFull: () => boolean;
  /** Returns whether another request may be sent beside `running` of this instance. */
  isOpen: (now: number, running: number, isRepeatable: boolean) => boolean;
  /** Returns whether the server failed and gets only trial requests. */
  isTrying: () => boolean;
  /** Returns the time until the next trial; 0 while none is needed. */
  findTrialWaitMs: (now: number) => number;
  recordSent: (now: number) => void;
  recordAnswer: (now: number, answer: PacedAnswer) => void;
  /** A request that was sent at `sentAt` waited in the server's own queue. */
  recordLate: (now: number, sentAt: number) => void;
  /** The server refused a request as too many. */
  recordRefusal: (now: number, sentAt: number) => void;
  /** The server was unreachable, broke its connection or fails more than its peers. */
  recordFailure: (now: number, sentAt: number) => void;
  /** The server has started, or goes on after a pause that it asked for. */
  restart: (now: number, reason: PaceReason) => void;
  /** The server is known to run so many requests; no effect once the pace has fallen. */
  raise: (running: number) => void;
}

/** Options of a pace. */
export interface PaceOptions {
  slots: number;
  /** The server was in use before; it has its full pace. */
  isKnown?: boolean;
  /** Returns this instance's part of the limit, above 0 to 1. */
  findPart?: () => number;
  onChange?: (limit: number, reason: PaceReason) => void;
}

/** Returns the pace of a server. */
export function createPace(options: PaceOptions): Pace {
  const { onChange = () => {} } = options;
  let { slots } = options;
  let limit = options.isKnown ? slots : Math.min(slots, START_LIMIT);
  /** Limit up to which it grows by one with each answer. */
  let knee = slots;
  let cutAt = -Infinity;
  let failedAt = -Infinity;
  let hasFallen = false;
  /** Answers as expected beside many others, since the limit reached the slots. */
  let fullAnswers = options.isKnown ? Infinity : 0;
  /** Limit before the failure, while only trials are sent. */
  let limitBefore: number | undefined;
  let trialAt = 0;
  let trialMs = TRIAL_MS;
  let nextAt = 0;
  let baseMs: number | undefined;
  let baseAnswers = 0;
  let ratio = 1;

  /** Returns whether the server has answered as expected with all of its slots. */
  function isProven(): boolean {
    return fullAnswers >= slots;
  }

  function getPart(): number {
    return Math.min(1, Math.max(MIN_PART, options.findPart?.() ?? 1));
  }

  function setLimit(next: number, reason: PaceReason): void {
    limit = Math.min(slots, next);
    onChange(Math.floor(limit), reason);
  }

  function applyFall(now: number, sentAt: number, factor: number, reason: PaceReason): void {
    if (limitBefore !== undefined || isProven() || sentAt < cutAt) return;
    cutAt = now;
    hasFallen = true;
    ratio = 1;
    knee = Math.max(START_LIMIT, limit * factor);
    if (limit > START_LIMIT) setLimit(knee, reason);
  }

  /** Returns whether the times of the last answers show that requests queue at the server. */
  function isLate({ running, unitMs }: PacedAnswer): boolean {
    if (unitMs === undefined) return false;
    if (running <= FEW_RUNNING || baseMs === undefined) {
      baseMs = updateMovingAverage(baseMs, unitMs, BASE_SMOOTHING);
      baseAnswers += 1;
      return false;
    }
    const expectedMs = baseMs * (1 + running * SLOWDOWN_PER_REQUEST);
    const observed = Math.min(MAX_RATIO, unitMs / Math.max(expectedMs, Number.EPSILON));
    // A server that warms up becomes faster than its first answers.
    if (observed < 1) baseMs = updateMovingAverage(baseMs, unitMs, BASE_SMOOTHING / 2);
    ratio = updateMovingAverage(ratio, observed, RATIO_SMOOTHING);
    return baseAnswers >= MIN_BASE_ANSWERS && ratio > LATE_RATIO;
  }

  /** An answer ends the trials; one to a request sent before the failure shows a sound server. */
  function finishTrials({ sentAt }: PacedAnswer): void {
    const next = sentAt < failedAt ? limitBefore! * REFUSED_FACTOR : START_LIMIT;
    limitBefore = undefined;
    trialMs = TRIAL_MS;
    setLimit(Math.max(START_LIMIT, next), PaceReason.Answered);
  }

  function applyGrowth(running: number): void {
    const part = getPart();
    if (running < (limit * part) / 2) return;
    if (limit >= slots) {
      fullAnswers += 1;
      return;
    }
    limit = Math.min(slots, limit + (limit < knee ? 1 : 1 / limit) / part);
    fullAnswers = 0;
    if (limit < slots) return;
    knee = slots;
    onChange(limit, PaceReason.Full);
  }

  return {
    setSlots(next) {
      if (limit >= slots && slots > 0) limit = next;
      knee = knee >= slots ? next : Math.min(knee, next);
      limit = slots === 0 ? Math.min(next, START_LIMIT) : Math.min(limit, next);
      slots = next;
    },
    getLimit: () => Math.floor(limit),
    isFull: () => limit >= slots && limitBefore === undefined,
    isOpen(now, running, isRepeatable) {
      if (limitBefore !== undefined) return now >= trialAt + (isRepeatable ? 0 : TRIAL_GRACE_MS);
      if (limit >= slots) return true;
      const allowed = limit * getPart();
      return allowed >= 1 ? running < Math.floor(allowed) : now >= nextAt;
    },
    isTrying: () => limitBefore !== undefined,
    findTrialWaitMs: (now) => (limitBefore === undefined ? 0 : Math.max(0, trialAt - now)),
    recordSent(now) {
      const part = getPart();
      nextAt = now + SPACING_MS / (limit * part);
      if (limitBefore === undefined) return;
      trialMs = Math.min(MAX_TRIAL_MS, trialMs * 2);
      trialAt = now + trialMs / part;
    },
    recordAnswer(now, answer) {
      if (limitBefore !== undefined) finishTrials(answer);
      else if (isLate(answer)) applyFall(now, answer.sentAt, LATE_FACTOR, PaceReason.Late);
      else if (answer.sentAt >= cutAt) applyGrowth(answer.running);
    },
    recordLate: (now, sentAt) => applyFall(now, sentAt, LATE_FACTOR, PaceReason.Late),
    recordRefusal: (now, sentAt) => applyFall(now, sentAt, REFUSED_FACTOR, PaceReason.Refused),
    recordFailure(now, sentAt) {
      if (sentAt < failedAt) return;
      failedAt = now;
      cutAt = now;
      fullAnswers = 0;
      hasFallen = true;
      trialAt = now + trialMs;
      if (limitBefore !== undefined) return;
      limitBefore = limit;
      setLimit(1, PaceReason.Failed);
    },
    restart(now, reason) {
      limitBefore = undefined;
      trialMs = TRIAL_MS;
      hasFallen = false;
      fullAnswers = 0;
      cutAt = now;
      failedAt = now;
      knee = slots;
      baseMs = undefined;
      baseAnswers = 0;
      ratio = 1;
      setLimit(START_LIMIT, reason);
    },
    raise(running) {
      if (hasFallen) return;
      limit = Math.min(slots, Math.max(limit, running));
    },
  };
}
