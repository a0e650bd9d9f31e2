/**
 * Rows of the store about orders: the system's own state and the status that the operator reads.
 * Both are written in one transaction, on condition of the revision of the former, so that of two
 * entries that decide at the same time only one writes.
 */
import type { Clock } from '@masticbend/kernel/clock';
import { encodeRolloutStatus, formatRolloutKey, STATUS_TABLE } from '@masticbend/platform/rollout';
import type { RolloutGate, ServiceRollout } from './rollout-gate.js';
import type { RolloutProgress, StageChange } from './rollout-progress.js';
import {
  compareOrders,
  decodeRolloutRow,
  encodeRolloutRow,
  getStatus,
  isFinal,
  ROLLOUTS_TABLE,
  RolloutStage,
  type RolloutRow,
} from './rollout-row.js';
import type { RolloutTracker } from './rollout-tracker.js';
import type { EraStore } from './store-era.js';

/** Delay after a failed read or write. */
const RETRY_DELAY_MS = 300;

/** Reads and writes of one entry. */
export interface RolloutWriter {
  /** Returns whether the rows have been read since the start. */
  hasRead: () => boolean;
  /** Reads all rows, and again after a failure. */
  startRead: () => void;
  /** Takes over what the rows said of an order that was read later. */
  applyKnown: (rollout: ServiceRollout) => void;
  /** Writes a stage unless the rows, which are read first, say otherwise. */
  write: (rollout: ServiceRollout, stage: RolloutStage, change: StageChange) => Promise<void>;
  /** Returns whether the store holds an order in its present stage, as far as is known. */
  isRecorded: (rollout: ServiceRollout) => boolean;
  /** The store was restored from an older copy: rows have to be checked. */
  handleRestoration: () => void;
  stop: () => void;
}

/** Dependencies. */
export interface RolloutWriterOptions {
  self: string;
  clock: Clock;
  store: Pick<EraStore, 'readRows' | 'writeRows'>;
  gate: Pick<RolloutGate, 'services' | 'getService'>;
  progress: Pick<RolloutProgress, 'adoptStage' | 'setBad'>;
  /** Counts the entries with a membership lease, this one included. */
  countEntries: () => number;
  /** The store knows of a later order than this entry. */
  onUnknownOrder: () => void;
}

interface StoredRow {
  row: RolloutRow | undefined;
  revision: number;
}

/** Returns a writer that has read nothing. */
export function createRolloutWriter(options: RolloutWriterOptions): RolloutWriter {
  const { self, clock, store, gate, progress } = options;
  const stored = new Map<string, StoredRow>();
  /** Stage in which the store holds an order, by its tracker. */
  let recorded = new WeakMap<RolloutTracker, RolloutStage>();
  const writing = new Set<string>();
  const retryAt = new Map<string, number>();
  let hasRead = false;
  /** Time of the store at the local time 0. */
  let storeOffsetMs = 0;
  let storeEra = 0;
  let stopTimer = () => {};

  async function read(): Promise<boolean> {
    const result = await store.readRows(ROLLOUTS_TABLE);
    if (result.kind !== 'rows') return false;
    const { rows, storeTimeMs, era } = result.rows;
    storeOffsetMs = storeTimeMs - clock.now();
    storeEra = era;
    stored.clear();
    for (const { key, value, revision } of rows) {
      stored.set(key, { row: decodeRolloutRow(value), revision });
    }
    hasRead = true;
    for (const service of stored.keys()) gate.getService(service);
    for (const rollout of gate.services.values()) applyKnown(rollout);
    return true;
  }

  function startRead(): void {
    stopTimer();
    read().then((isDone) => {
      if (!isDone) stopTimer = clock.startTimer(RETRY_DELAY_MS, startRead);
    }, throwError);
  }

  function applyKnown(rollout: ServiceRollout): void {
    const { service, tracker, excluded } = rollout;
    const row = stored.get(service)?.row;
    if (!hasRead) return;
    for (const version of row?.excluded ?? []) {
      if (version !== tracker?.order.to) excluded.add(version);
    }
    if (!tracker) return;
    if (row && isSameOrder(tracker, row)) {
      applyRow(rollout, row);
    } else if (tracker.stage === undefined) {
      progress.adoptStage(rollout, RolloutStage.Trial, { by: self, reason: 'new order' });
    }
  }

  /** A process that reads an open order of an earlier era treats it as in its trial. */
  function applyRow(rollout: ServiceRollout, row: RolloutRow): void {
    const tracker = rollout.tracker!;
    const isOutdated = row.order.era < storeEra && !isFinal(row.stage);
    const stage = isOutdated ? RolloutStage.Trial : row.stage;
    tracker.order.era = row.order.era;
    tracker.startedAt = Math.min(tracker.startedAt, row.startedAt - storeOffsetMs);
    recorded.set(tracker, row.stage);
    progress.adoptStage(rollout, stage, { by: self, reason: `row: ${row.reason}` });
  }

  function createRow({ tracker, excluded }: ServiceRollout, stage: RolloutStage, reason: string) {
    const { order, startedAt } = tracker!;
    return {
      order: { revision: order.revision, era: order.era },
      to: order.to,
      stage,
      startedAt: startedAt + storeOffsetMs,
      reason,
      excluded: [...excluded],
    };
  }

  /** Returns whether the rows leave a stage to be written. */
  function isWritable(rollout: ServiceRollout, stage: RolloutStage): boolean {
    const tracker = rollout.tracker!;
    const row = stored.get(rollout.service)?.row;
    if (!row) return true;
    if (!isSameOrder(tracker, row)) {
      if (compareOrders(row.order, tracker.order) <= 0) return true;
      options.onUnknownOrder();
      return false;
    }
    return row.stage !== stage && !isFinal(row.stage);
  }

  async function writeRows(
    rollout: ServiceRollout,
    stage: RolloutStage,
    change: StageChange,
  ): Promise<void> {
    const { service } = rollout;
    const tracker = rollout.tracker!;
    if (!(await read()) || rollout.tracker !== tracker || !isWritable(rollout, stage)) return;
    // What was read may have ended the order, or a verdict may have come during the read.
    const isForward = stage === RolloutStage.Shift || stage === RolloutStage.Complete;
    if (tracker.isBad && isForward) return;
    if (isFinal(tracker.stage) && tracker.stage !== stage) return;
    const row = createRow(rollout, stage, change.reason);
    const result = await store.writeRows(
      [
        {
          table: STATUS_TABLE,
          key: formatRolloutKey(service),
          value: encodeRolloutStatus(service, getStatus(stage), row.to),
        },
        { table: ROLLOUTS_TABLE, key: service, value: encodeRolloutRow(row) },
      ],
      [{ table: ROLLOUTS_TABLE, key: service, revision: stored.get(service)?.revision ?? 0 }],
    );
    if (result.kind !== 'committed') {
      retryAt.set(service, clock.now() + (result.kind === 'conflict' ? 0 : RETRY_DELAY_MS));
      return;
    }
    retryAt.delete(service);
    stored.set(service, { row, revision: result.revision });
    recorded.set(tracker, stage);
    // Of all entries, only one begins the shift, unless the store lost this write.
    const isFirst = stage === RolloutStage.Shift && tracker.stage === RolloutStage.Trial;
    if (isFirst && tracker.order.era === storeEra) tracker.addPool(options.countEntries());
    if (rollout.tracker === tracker) progress.adoptStage(rollout, stage, change);
  }

  return {
    hasRead: () => hasRead,
    startRead,
    applyKnown,
    isRecorded: ({ tracker }) =>
      tracker?.stage === undefined || recorded.get(tracker) === tracker.stage,
    async write(rollout, stage, change) {
      const { service } = rollout;
      if (writing.has(service) || clock.now() < (retryAt.get(service) ?? 0)) return;
      writing.add(service);
      retryAt.set(service, clock.now() + RETRY_DELAY_MS);
      try {
        await writeRows(rollout, stage, change);
      } finally {
        writing.delete(service);
      }
    },
    handleRestoration() {
      recorded = new WeakMap();
    },
    stop: () => stopTimer(),
  };
}

function throwError(error: Error): void {
  throw error;
}

function isSameOrder({ order }: RolloutTracker, row: RolloutRow): boolean {
  return row.order.revision === order.revision && row.to === order.to && row.order.era <= order.era;
}
