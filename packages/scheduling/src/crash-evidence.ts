/**
 * Evidence on what crashes backend servers: the suspects are the shared parts of prompts, and whole
 * requests by their digests. Each crash is held against the suspects of the requests that were lost
 * with the server, and refuted for those that are answered soundly. A suspect with several crashes
 * left is blocked. Collections merge in any order, so that instances can exchange them.
 *
 * Nothing else shares a whole request with its suspect. Therefore other suspects do not explain its
 * crashes, and a trial of it shows whether it is sound without harming other requests. The trial of
 * a part has failed only if nothing else that was lost with the same server may have crashed it.
 */
import { isRequestSuspect } from './request-digest.js';
import {
  countOpen,
  describeEvidence,
  dropRefuted,
  isBlocked,
  isExplainedBy,
  listOpen,
  MIN_CRASHES,
  type SuspectEvidence,
  type SuspectRecord,
} from './suspect-record.js';
import { createSoundParts } from './sound-parts.js';
import { createSuspectRecords, EVIDENCE_MS } from './suspect-records.js';
import { createTrialCauses, type TrialCauses } from './trial-causes.js';

/** Crashes kept for each suspect; further ones change nothing. */
const MAX_CRASHES = 12;
/** Time from the last crash or trial until a suspect is tried; it grows with lost trials. */
const TRIAL_PAUSE_MS = 2_000;
const TRIAL_PAUSE_GROWTH = 10;
/** Lost trials of a part that do not prolong the pause where something else may be the cause. */
const FREE_LOST_TRIALS = 1;
/** Growth with each trial of a whole request: three in a day, also where their ends are unknown. */
const REQUEST_TRIAL_PAUSE_GROWTH = 40;
/** Time after a failed trial of any suspect for which no whole request is tried. */
const FAILED_TRIAL_PAUSE_MS = 5_000;

/** Evidence of one instance. Times are monotonic, in milliseconds. */
export interface CrashEvidence extends TrialCauses {
  /**
   * Records a crash, with the suspects of which a trial was lost with the server; returns the
   * changed evidence. The trial of a part counts as failed only by `addFailedTrial`.
   */
  addCrash: (
    now: number,
    crash: string,
    suspects: Iterable<string>,
    tried?: ReadonlySet<string>,
  ) => SuspectEvidence[];
  /**
   * Refutes all crashes of suspects that are answered soundly, and for a time those that follow
   * under parts; returns the changed evidence.
   */
  addSound: (now: number, suspects: Iterable<string>) => SuspectEvidence[];
  /** Records a complete answer to a request with these parts. */
  addAnswer: (now: number, parts: Iterable<string>) => void;
  /**
   * Returns whether a part that no trial has confirmed had complete answers of late: what crashes
   * servers has none, while a part that many requests share is lost with each server, whatever
   * crashes it.
   */
  isAnswered: (now: number, suspect: string) => boolean;
  /** Returns whether a sound answer with a part would tell anything new. */
  isSoundAnswerDue: (now: number, part: string) => boolean;
  /** Adds the evidence of another instance; returns what is refuted here and not there. */
  merge: (now: number, evidence: readonly SuspectEvidence[]) => SuspectEvidence[];
  /** Returns the number of crashes of a suspect that are not refuted. */
  countCrashes: (suspect: string) => number;
  /** Returns whether any whole request may be a suspect. */
  hasSuspectedRequests: (now: number) => boolean;
  hasCrash: (crash: string) => boolean;
  /**
   * Returns the suspects for which a request with these suspects is blocked: whole requests first,
   * parts that were answered of late last, and otherwise by the number of crashes. Where a suspect
   * that the request lacks is blocked, or will be once its crashes have settled, and explains the
   * crashes of a part, the part does not block the request. A part that is answered more often
   * than another explains nothing of that one. For a part that was answered, several suspects may
   * explain the crashes together; any other part would be excused by each three crashes that a
   * repeated request has with it.
   */
  listBlocking: (now: number, suspects: readonly string[]) => string[];
  /** Records that a lost trial of a part was lost for that part; returns the changed evidence. */
  addFailedTrial: (now: number, part: string) => SuspectEvidence[];
  /** Returns the suspects that were lost with a server, unless refuted. */
  listLost: (crash: string) => SuspectEvidence[];
  /** Returns whether a blocked suspect has crashed a server on trial as well. */
  isConfirmed: (suspect: string) => boolean;
  /** Returns whether one request may show whether a blocked suspect still crashes servers. */
  isTrialDue: (now: number, suspect: string) => boolean;
  /** Records a trial of a blocked suspect; returns the changed evidence. */
  addTrial: (now: number, suspect: string) => SuspectEvidence[];
  listBlocked: (now: number) => SuspectEvidence[];
  list: () => SuspectEvidence[];
  find: (suspect: string) => SuspectEvidence | undefined;
}

/** Returns an empty collection. */
export function createCrashEvidence(): CrashEvidence {
  const records = createSuspectRecords();
  const soundParts = createSoundParts();
  const causes = createTrialCauses(records, soundParts);
  let trialFailedAt = -Infinity;

  function setCrash(now: number, suspect: string, crash: string, isRefuted: boolean): boolean {
    const record = records.add(now, suspect);
    const known = record.crashes.get(crash);
    if (known && (known.isRefuted || known.isRefuted === isRefuted)) return false;
    if (known === undefined && record.crashes.size >= MAX_CRASHES) {
      if (isRefuted || !dropRefuted(record)) return false;
    }
    record.crashes.set(crash, { isRefuted, recordedAt: known?.recordedAt ?? now });
    if (!isRefuted) records.recordChange(now, suspect, record);
    return true;
  }

  function expireCrashes(now: number, record: SuspectRecord): void {
    if (isBlocked(now, record) || now - record.changedAt <= EVIDENCE_MS) return;
    record.crashes.clear();
  }

  function listBlocked(now: number): [string, SuspectRecord][] {
    return records.list().filter(([, record]) => isBlocked(now, record));
  }

  function describe(suspect: string): SuspectEvidence {
    return describeEvidence(suspect, records.find(suspect)!);
  }

  function countCrashes(suspect: string): number {
    const record = records.find(suspect);
    return record ? countOpen(record) : 0;
  }

  function isAnswered(now: number, suspect: string): boolean {
    if (records.find(suspect)?.failedTrials) return false;
    return soundParts.countAnswers(now, suspect) > 0;
  }

  /**
   * Lists what may explain crashes of the parts of a request. Entries hear at different times what
   * was lost with a server, so that a shared part may settle before the cause does.
   */
  function listExplaining(own: ReadonlySet<string>): [string, SuspectRecord][] {
    return records
      .list()
      .filter(([suspect, record]) => countOpen(record) >= MIN_CRASHES && !own.has(suspect));
  }

  function isExplained(
    now: number,
    part: string,
    others: readonly [string, SuspectRecord][],
  ): boolean {
    const record = records.find(part)!;
    const answers = soundParts.countAnswers(now, part);
    const explaining = others
      .filter(([suspect]) => soundParts.countAnswers(now, suspect) <= answers)
      .map(([, other]) => other);
    if (explaining.some((other) => isExplainedBy(record, [other]))) return true;
    return isAnswered(now, part) && isExplainedBy(record, explaining);
  }

  return {
    addCrash(now, crash, suspects, tried) {
      const changed = [...new Set(suspects)].filter((suspect) => {
        const record = records.find(suspect);
        if (record) expireCrashes(now, record);
        const isSound = soundParts.isSound(now, suspect);
        const isChanged = setCrash(now, suspect, crash, isSound);
        if (isSound || !tried?.has(suspect)) return isChanged;
        const triedRecord = records.find(suspect)!;
        triedRecord.lostTrials += 1;
        if (isRequestSuspect(suspect)) triedRecord.failedTrials += 1;
        trialFailedAt = now;
        return true;
      });
      return changed.filter((suspect) => records.find(suspect) !== undefined).map(describe);
    },
    addSound(now, suspects) {
      const changed: SuspectEvidence[] = [];
      for (const suspect of new Set(suspects)) {
        if (!isRequestSuspect(suspect)) soundParts.add(now, suspect);
        const record = records.find(suspect);
        if (record && listOpen(record).length > 0) {
          for (const crash of record.crashes.values()) crash.isRefuted = true;
          record.lostTrials = 0;
          record.failedTrials = 0;
          changed.push(describeEvidence(suspect, record));
        }
      }
      return changed;
    },
    addAnswer(now, answered) {
      for (const part of answered) soundParts.addAnswer(now, part);
    },
    isAnswered,
    isSoundAnswerDue: (now, part) => countCrashes(part) > 0 || soundParts.isRenewalDue(now, part),
    merge(now, evidence) {
      const changed: SuspectEvidence[] = [];
      for (const received of evidence) {
        const { suspect, crashes, refuted, trials, lostTrials, failedTrials } = received;
        const refutedCrashes = new Set(refuted);
        const isSound = soundParts.isSound(now, suspect);
        for (const crash of crashes) {
          setCrash(now, suspect, crash, isSound || refutedCrashes.has(crash));
        }
        const record = records.find(suspect);
        if (record) {
          const isOpen = countOpen(record) > 0;
          if (isOpen && lostTrials > record.lostTrials) trialFailedAt = now;
          record.lostTrials = isOpen ? Math.max(record.lostTrials, lostTrials) : 0;
          record.failedTrials = isOpen ? Math.max(record.failedTrials, failedTrials) : 0;
        }
        if (record && trials > record.trials) {
          record.trials = trials;
          records.recordChange(now, suspect, record);
        }
        if (record && isSound && refuted.length < crashes.length) changed.push(describe(suspect));
      }
      return changed;
    },
    countCrashes,
    hasSuspectedRequests: (now) => records.hasRequests(now, (record) => isBlocked(now, record)),
    hasCrash: (crash) => records.list().some(([, { crashes }]) => crashes.has(crash)),
    listBlocking(now, suspects) {
      if (suspects.every((suspect) => records.find(suspect) === undefined)) return [];
      const own = new Set(suspects);
      const found = listBlocked(now)
        .filter(([suspect]) => own.has(suspect))
        .sort(([, left], [, right]) => countOpen(right) - countOpen(left))
        .map(([suspect]) => suspect);
      if (found.length === 0) return found;
      const others = listExplaining(own);
      const foundParts = found.filter(
        (suspect) => !isRequestSuspect(suspect) && !isExplained(now, suspect, others),
      );
      return [
        ...found.filter(isRequestSuspect),
        ...foundParts.filter((part) => !isAnswered(now, part)),
        ...foundParts.filter((part) => isAnswered(now, part)),
      ];
    },
    ...causes,
    addFailedTrial(now, part) {
      const record = records.find(part);
      if (!record || record.lostTrials <= record.failedTrials) return [];
      record.failedTrials += 1;
      trialFailedAt = now;
      return [describe(part)];
    },
    listLost: (crash) =>
      records
        .list()
        .filter(([, { crashes }]) => crashes.get(crash)?.isRefuted === false)
        .map(([suspect, record]) => describeEvidence(suspect, record)),
    isConfirmed: (suspect) => (records.find(suspect)?.failedTrials ?? 0) > 0,
    isTrialDue(now, suspect) {
      const record = records.find(suspect);
      if (!record) return false;
      // Trials of several requests in a row would take several servers out at the same time.
      const isPaused = isRequestSuspect(suspect) && now - trialFailedAt < FAILED_TRIAL_PAUSE_MS;
      if (isPaused) return false;
      const pauseMs = isRequestSuspect(suspect)
        ? TRIAL_PAUSE_MS * REQUEST_TRIAL_PAUSE_GROWTH ** record.trials
        : TRIAL_PAUSE_MS * TRIAL_PAUSE_GROWTH ** countPausingTrials(record);
      return now - record.changedAt >= pauseMs;
    },
    addTrial(now, suspect) {
      const record = records.find(suspect);
      if (!record) return [];
      record.trials += 1;
      records.recordChange(now, suspect, record);
      return [describe(suspect)];
    },
    listBlocked: (now) =>
      listBlocked(now).map(([suspect, record]) => describeEvidence(suspect, record)),
    list: () => records.list().map(([suspect, record]) => describeEvidence(suspect, record)),
    find: (suspect) => records.find(suspect) && describe(suspect),
  };
}

/** Counts the lost trials of a part that prolong the pause until the next one. */
function countPausingTrials({ lostTrials, failedTrials }: SuspectRecord): number {
  return Math.max(failedTrials, lostTrials - FREE_LOST_TRIALS);
}
