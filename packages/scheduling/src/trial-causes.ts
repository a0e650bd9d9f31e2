/**
 * What else than the tried suspect may crash a server. A part that is answered more often than
 * another is hardly the cause where both were lost together.
 */
import { isRequestSuspect } from './request-digest.js';
import type { SoundParts } from './sound-parts.js';
import { countOpen } from './suspect-record.js';
import type { SuspectRecords } from './suspect-records.js';

/** Crashes from which a whole request may be the cause of those that it shares with a part. */
const MIN_REQUEST_CRASHES = 2;

/** Possible causes beside a tried suspect. `own` are all suspects of the tried request. */
export interface TrialCauses {
  /**
   * Returns whether something else may have crashed the server with which the trial of a part was
   * lost: another part, a whole request with other crashes, or a part of the tried request itself
   * that is answered less often.
   */
  hasOtherCause: (now: number, crash: string, part: string, own: readonly string[]) => boolean;
  /**
   * Returns whether a request may crash a server by something else than the suspect that it tries:
   * it was lost with one itself, or has a suspected part that is answered less often.
   */
  isDoubtfulTrial: (now: number, suspect: string, own: readonly string[]) => boolean;
}

/** Returns the causes among the records of an instance. */
export function createTrialCauses(records: SuspectRecords, soundParts: SoundParts): TrialCauses {
  function isLessAnswered(now: number, part: string, other: string): boolean {
    return soundParts.countAnswers(now, part) < soundParts.countAnswers(now, other);
  }

  return {
    hasOtherCause(now, crash, part, own) {
      const ownSuspects = new Set(own);
      return records.list().some(([suspect, record]) => {
        if (suspect === part || record.crashes.get(crash)?.isRefuted !== false) return false;
        if (isRequestSuspect(suspect)) return countOpen(record) >= MIN_REQUEST_CRASHES;
        return !ownSuspects.has(suspect) || isLessAnswered(now, suspect, part);
      });
    },
    isDoubtfulTrial(now, suspect, own) {
      return own.some((each) => {
        const record = records.find(each);
        if (each === suspect || !record || countOpen(record) === 0) return false;
        return isRequestSuspect(each) || isLessAnswered(now, each, suspect);
      });
    },
  };
}
