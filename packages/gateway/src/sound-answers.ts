/**
 * Watches answers in progress: one that goes on for a time shows that the parts of its prompt are
 * sound. The other entries are told so where they hold crashes against such a part.
 */
import type { Clock } from '@masticbend/kernel/clock';
import type { CrashEvidence } from '@masticbend/scheduling/crash-evidence';
import type { SuspectEvidence } from '@masticbend/scheduling/suspect-record';
import type { SentRequest } from './crash-watch.js';
import { formatCrash } from './server-losses.js';

/** Time for which an answer must go on after its first output to show that its prompt is sound. */
const SOUND_MS = 500;
/** Time after which the next entry tells that a part is sound, if none has told before it. */
const REFUTATION_TURN_MS = 20;

/** Dependencies of the watch. */
export interface SoundAnswersOptions {
  clock: Clock;
  evidence: Pick<CrashEvidence, 'addSound' | 'hasCrash' | 'isSoundAnswerDue'>;
  startTimer: (delayMs: number, run: () => void) => void;
  listSent: () => SentRequest[];
  /** Returns the place of this entry in the order of all for a suspect, from 0. */
  getTurn: (suspect: string) => number;
  /** Called with the evidence that a sound answer has changed. */
  onSound: (changed: SuspectEvidence[]) => void;
  /** Called with evidence that others are to be told. */
  onRefuted: (refuted: SuspectEvidence[]) => void;
}

/** Answers that are being watched. */
export interface SoundAnswers {
  /** Watches an answer if it may tell anything new. */
  start: (request: SentRequest) => void;
  drop: (request: SentRequest) => void;
  /** Watches the answers in progress that may refute new evidence. */
  check: () => void;
  /** Handles evidence of another entry, and the part of it that is refuted here and not there. */
  receive: (received: readonly SuspectEvidence[], refuted: readonly SuspectEvidence[]) => void;
}

/** Returns a watch without answers. */
export function createSoundAnswers(options: SoundAnswersOptions): SoundAnswers {
  const { clock, evidence, startTimer, listSent, getTurn } = options;
  const watched = new Set<SentRequest>();
  /** Parts that are sound here and of which this entry has yet to tell the others. */
  const untold = new Set<string>();

  function start(request: SentRequest): void {
    const { parts, outputAt } = request;
    const now = clock.now();
    if (outputAt === undefined || watched.has(request)) return;
    if (!parts.some((part) => evidence.isSoundAnswerDue(now, part))) return;
    watched.add(request);
    const leftMs = Math.max(0, outputAt + SOUND_MS - now);
    startTimer(leftMs, () => finish(request));
  }

  function finish(request: SentRequest): void {
    if (!watched.delete(request) || evidence.hasCrash(formatCrash(request.server))) return;
    options.onSound(evidence.addSound(clock.now(), request.parts));
  }

  /** Tells the others in turn, since most of them may know as well that a part is sound. */
  function scheduleRefutation(refuted: SuspectEvidence): void {
    const { suspect } = refuted;
    if (untold.has(suspect)) return;
    untold.add(suspect);
    startTimer(getTurn(suspect) * REFUTATION_TURN_MS, () => {
      if (untold.delete(suspect)) options.onRefuted([refuted]);
    });
  }

  return {
    start,
    drop: (request) => watched.delete(request),
    check() {
      for (const request of listSent()) start(request);
    },
    receive(received, refuted) {
      for (const { suspect, crashes, refuted: refutedCrashes } of received) {
        if (refutedCrashes.length === crashes.length) untold.delete(suspect);
      }
      for (const each of refuted) scheduleRefutation(each);
    },
  };
}

/** Returns whether the answer of an attempt has gone on for long enough. */
export function isSound(now: number, { outputAt }: SentRequest): boolean {
  return outputAt !== undefined && now - outputAt >= SOUND_MS;
}
