/** Crashes of one suspect, and what follows from them. */

/** Crashes after which a suspect is blocked. */
export const MIN_CRASHES = 3;
/**
 * Age from which a crash counts: what other instances lost with the same server may show that
 * another suspect was the cause.
 */
export const SETTLING_MS = 80;
/**
 * Crashes of a suspect that no other blocked suspect explains and that still don't block it: the
 * instance that lost the requests with the other one may have ended before it reported them.
 */
const MAX_UNEXPLAINED_CRASHES = 1;

/** Evidence about one suspect, as instances exchange it. */
export interface SuspectEvidence {
  suspect: string;
  /** Servers that crashed, by incarnation. */
  crashes: readonly string[];
  /** Those of `crashes` for which the suspect was not the cause. */
  refuted: readonly string[];
  /** Requests with the suspect that were admitted on trial while it was blocked. */
  trials: number;
  /** Those of `trials` that were lost with a crashed server, since the last sound answer. */
  lostTrials: number;
  /** Those of `lostTrials` of which the suspect was the cause. */
  failedTrials: number;
}

/** A crash that is held against a suspect. */
export interface Crash {
  isRefuted: boolean;
  recordedAt: number;
}

/** What an instance knows of a suspect. Times are monotonic, in milliseconds. */
export interface SuspectRecord {
  crashes: Map<string, Crash>;
  trials: number;
  lostTrials: number;
  failedTrials: number;
  /** Time of the last crash or trial. */
  changedAt: number;
}

/** Returns the crashes that are not refuted, recorded up to `until`. */
export function listOpen({ crashes }: SuspectRecord, until = Infinity): string[] {
  return [...crashes]
    .filter(([, { isRefuted, recordedAt }]) => !isRefuted && recordedAt <= until)
    .map(([crash]) => crash);
}

export function countOpen({ crashes }: SuspectRecord): number {
  let open = 0;
  for (const { isRefuted } of crashes.values()) if (!isRefuted) open += 1;
  return open;
}

export function isBlocked(now: number, record: SuspectRecord): boolean {
  if (record.crashes.size < MIN_CRASHES) return false;
  return listOpen(record, now - SETTLING_MS).length >= MIN_CRASHES;
}

/** Returns whether others are also held to account for the crashes that a suspect is. */
export function isExplainedBy(record: SuspectRecord, others: readonly SuspectRecord[]): boolean {
  const unexplained = listOpen(record).filter((crash) =>
    others.every(({ crashes }) => crashes.get(crash)?.isRefuted !== false),
  );
  return unexplained.length <= MAX_UNEXPLAINED_CRASHES;
}

export function dropRefuted({ crashes }: SuspectRecord): boolean {
  for (const [crash, { isRefuted }] of crashes) {
    if (isRefuted) return crashes.delete(crash);
  }
  return false;
}

export function describeEvidence(suspect: string, record: SuspectRecord): SuspectEvidence {
  const open = new Set(listOpen(record));
  const crashes = [...record.crashes.keys()];
  const { trials, lostTrials, failedTrials } = record;
  const refuted = crashes.filter((crash) => !open.has(crash));
  return { suspect, crashes, refuted, trials, lostTrials, failedTrials };
}
