/**
 * Idempotency records of the keyed calls of one agent. Renews the leases of running attempts,
 * writes outcomes, and keeps changes that the table service did not accept in bounded memory until
 * they can be written. After a failure it backs off exponentially with jitter, so that the agents
 * do not all call the table service at once when an outage ends.
 */
import { randomUUID } from 'node:crypto';
import { waitFor, type Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import type { IdempotencyReference } from '@masticbend/protocol/call-message';
import {
  ATTEMPT_LEASE_MS,
  type CallAttempt,
  type IdempotencyRecords,
  type RecordedOutcome,
  type StartResult,
} from '@masticbend/state/idempotency';
import { PlatformError } from '@masticbend/state/table';

/** Bounds of the mean back-off after a failure, with jitter of half of it either way. */
const BACKOFF_MIN_MS = 200;
const BACKOFF_MAX_MS = 5_000;
/** Mean interval between writes of pending changes, with jitter of half of it either way. */
const WRITE_INTERVAL_MS = 500;
/** Longest delay of the end of an answer while its record is being written. */
const RECORD_WRITE_TIMEOUT_MS = 500;
/** Most changes, and most bytes of recorded bodies, that may be pending. */
const MAX_PENDING_CHANGES = 1_024;
const MAX_PENDING_BYTES = 8 * 1024 * 1024;
/** Mean interval between removals of expired records, with jitter of half of it either way. */
const REMOVAL_INTERVAL_MS = 600_000;
const RENEWALS_PER_LEASE = 3;
/** Longest time a stopping agent waits until its pending changes are written. */
const SHUTDOWN_WRITE_TIMEOUT_MS = 30_000;

/** Dependencies of the call records. */
export interface CallRecordsOptions {
  records: IdempotencyRecords;
  clock: Clock;
  log: Logger;
  drawRandom: () => number;
}

/** Records of the keyed calls of one agent. */
export interface CallRecords {
  /**
   * Inserts the record of a keyed call unless there is one, and renews its lease until `finish` or
   * `release`. Returns `unavailable` without a call to the table service during back-off, and while
   * the maximum number of changes is pending.
   */
  startAttempt: (reference: IdempotencyReference, idempotent: boolean) => Promise<StartResult>;
  /** Writes the outcome; resolves once it is written or kept as pending, or after a timeout. */
  finish: (attempt: CallAttempt, outcome: RecordedOutcome) => Promise<void>;
  /** Releases the record of an attempt that was not run; resolves as `finish` does. */
  release: (attempt: CallAttempt) => Promise<void>;
  /** Returns the time until the back-off ends, at least the shortest back-off, in milliseconds. */
  computeRetryAfter: () => number;
  /** Returns the number of pending changes. */
  countPending: () => number;
  /** Resolves once no change is pending, or after a timeout. */
  waitUntilWritten: () => Promise<void>;
  stop: () => void;
  dump: () => unknown;
}

interface PendingChange {
  attempt: CallAttempt;
  /** Undefined when the record is to be released. */
  outcome?: RecordedOutcome | undefined;
}

/** Creates the records of an agent and schedules the removal of expired ones. */
export function createCallRecords(options: CallRecordsOptions): CallRecords {
  const { records, clock, log, drawRandom } = options;
  const pending: PendingChange[] = [];
  const renewals = new Map<CallAttempt, () => void>();
  let pendingBytes = 0;
  let consecutiveFailures = 0;
  let retryAt = clock.now();
  let stopPendingWrite: (() => void) | undefined;
  let stopRemoval = scheduleRemoval();

  async function startAttempt(
    reference: IdempotencyReference,
    idempotent: boolean,
  ): Promise<StartResult> {
    if (clock.now() < retryAt || pending.length >= MAX_PENDING_CHANGES) {
      return { kind: 'unavailable' };
    }
    const result = await records.startAttempt(reference, randomUUID(), idempotent);
    if (result.kind === 'unavailable') recordFailure();
    else recordSuccess();
    if (result.kind === 'started') scheduleRenewal(result.attempt);
    return result;
  }

  function scheduleRenewal(attempt: CallAttempt): void {
    const stopTimer = clock.startTimer(ATTEMPT_LEASE_MS / RENEWALS_PER_LEASE, () => {
      scheduleRenewal(attempt);
      records.renew(attempt).then(recordSuccess, recordFailure);
    });
    renewals.set(attempt, stopTimer);
  }

  function applyChange(change: PendingChange): Promise<void> {
    renewals.get(change.attempt)?.();
    renewals.delete(change.attempt);
    if (clock.now() < retryAt) {
      addPending(change);
      return Promise.resolve();
    }
    return waitWithTimeout(
      tryWrite(change).then((written) => (written ? undefined : addPending(change))),
    );
  }

  async function tryWrite({ attempt, outcome }: PendingChange): Promise<boolean> {
    try {
      if (outcome) await records.finish(attempt, outcome);
      else await records.release(attempt);
      recordSuccess();
      return true;
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      recordFailure();
      return false;
    }
  }

  function addPending(change: PendingChange): void {
    const storedChange = dropLargeBody(change, MAX_PENDING_BYTES - pendingBytes);
    if (pending.length >= MAX_PENDING_CHANGES) {
      log.error(LogEvent.RecordDropped, { pending: pending.length });
      return;
    }
    pending.push(storedChange);
    pendingBytes += countBodyBytes(storedChange);
    schedulePendingWrite();
  }

  function schedulePendingWrite(): void {
    if (stopPendingWrite || pending.length === 0) return;
    const waitMs = Math.max(retryAt - clock.now(), WRITE_INTERVAL_MS * (0.5 + drawRandom()));
    stopPendingWrite = clock.startTimer(waitMs, writeNextPending);
  }

  async function writeNextPending(): Promise<void> {
    const [change] = pending;
    const written = change && (await tryWrite(change));
    if (written) {
      pending.shift();
      pendingBytes -= countBodyBytes(change);
    }
    stopPendingWrite = undefined;
    schedulePendingWrite();
  }

  function recordSuccess(): void {
    if (consecutiveFailures > 0) log.info(LogEvent.PlatformRestored, { service: 'table' });
    consecutiveFailures = 0;
    retryAt = clock.now();
  }

  function recordFailure(): void {
    if (consecutiveFailures === 0) log.warn(LogEvent.PlatformUnavailable, { service: 'table' });
    const meanBackoffMs = Math.min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2 ** consecutiveFailures);
    consecutiveFailures += 1;
    retryAt = clock.now() + meanBackoffMs * (0.5 + drawRandom());
  }

  function waitWithTimeout(work: Promise<void>): Promise<void> {
    return new Promise((resolve, reject) => {
      const stopTimer = clock.startTimer(RECORD_WRITE_TIMEOUT_MS, resolve);
      work.finally(stopTimer).then(resolve, reject);
    });
  }

  function scheduleRemoval(): () => void {
    return clock.startTimer(REMOVAL_INTERVAL_MS * (0.5 + drawRandom()), () => {
      stopRemoval = scheduleRemoval();
      records.removeExpired(drawRandom()).then(recordSuccess, recordFailure);
    });
  }

  return {
    startAttempt,
    finish: (attempt, outcome) => applyChange({ attempt, outcome }),
    release: (attempt) => applyChange({ attempt }),
    computeRetryAfter: () => Math.max(BACKOFF_MIN_MS, retryAt - clock.now()),
    countPending: () => pending.length,
    async waitUntilWritten() {
      const end = clock.now() + SHUTDOWN_WRITE_TIMEOUT_MS;
      while (pending.length > 0 && clock.now() < end) await waitFor(clock, WRITE_INTERVAL_MS);
    },
    stop() {
      stopRemoval();
      stopPendingWrite?.();
      for (const stopRenewal of renewals.values()) stopRenewal();
    },
    dump: () => ({
      running: renewals.size,
      pending: pending.length,
      pendingBytes,
      failures: consecutiveFailures,
    }),
  };
}

/** Replaces an answer by its status when its body exceeds the memory available. */
function dropLargeBody(change: PendingChange, availableBytes: number): PendingChange {
  const { attempt, outcome } = change;
  if (outcome?.kind !== 'answer' || outcome.body.length <= availableBytes) return change;
  return { attempt, outcome: { kind: 'answer-too-large', status: outcome.status } };
}

function countBodyBytes({ outcome }: PendingChange): number {
  return outcome?.kind === 'answer' ? outcome.body.length : 0;
}
