/**
 * Parts of prompts that were answered soundly a short time ago. What crashes servers does so each
 * time, so that such a part is not the cause of a crash, however many requests share it.
 */

/** Time for which a sound answer shows that a part is not the cause of crashes. */
const SOUND_MS = 4_000;
/** Age from which another sound answer is recorded, so that a part in use stays known as sound. */
const RENEWAL_MS = SOUND_MS / 4;
const MAX_PARTS = 1_024;
/** Time from the last complete answer for which the answers with a part are counted. */
const ANSWERED_MS = 60_000;
/** Count of answers beyond which parts are not told apart. */
const MAX_ANSWERS = 16;

/** Parts by their last sound answers. Times are monotonic, in milliseconds. */
export interface SoundParts {
  add: (now: number, part: string) => void;
  isSound: (now: number, part: string) => boolean;
  /** Returns whether another sound answer would prolong the time for which a part is sound. */
  isRenewalDue: (now: number, part: string) => boolean;
  /** Records a complete answer, which shows less: its server may have ended just after it. */
  addAnswer: (now: number, part: string) => void;
  countAnswers: (now: number, part: string) => number;
}

/** Returns an empty collection. */
export function createSoundParts(): SoundParts {
  /** In the order of their times. */
  const soundAt = new Map<string, number>();
  /** In the order of the times at which they were last updated. */
  const answers = new Map<string, { count: number; at: number }>();

  function isYounger(now: number, part: string, ageMs: number): boolean {
    return now - (soundAt.get(part) ?? -Infinity) < ageMs;
  }

  function countAnswers(now: number, part: string): number {
    const known = answers.get(part);
    return known && now - known.at < ANSWERED_MS ? known.count : 0;
  }

  return {
    add(now, part) {
      setLatest(soundAt, part, now);
    },
    isSound: (now, part) => isYounger(now, part, SOUND_MS),
    isRenewalDue: (now, part) => !isYounger(now, part, RENEWAL_MS),
    addAnswer(now, part) {
      const count = countAnswers(now, part);
      if (count >= MAX_ANSWERS && now - answers.get(part)!.at < RENEWAL_MS) return;
      setLatest(answers, part, { count: Math.min(count + 1, MAX_ANSWERS), at: now });
    },
    countAnswers,
  };
}

/** Sets the value of a part as the latest one, and drops the oldest one of too many. */
function setLatest<Value>(values: Map<string, Value>, part: string, value: Value): void {
  values.delete(part);
  values.set(part, value);
  const [oldest] = values.keys();
  if (values.size > MAX_PARTS) values.delete(oldest!);
}
