/** Changes of the stages of orders at one entry, with their log lines. */
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import type { Clock } from '@masticbend/kernel/clock';
import type { ServiceRollout } from './rollout-gate.js';
import { isFinal, RolloutStage } from './rollout-row.js';
import type { RolloutTracker } from './rollout-tracker.js';

/** A change of stage as the log shows it. */
export interface StageChange {
  /** The entry that decided. */
  by: string;
  reason: string;
}

/** Changes of stages. */
export interface RolloutProgress {
  /** Takes over a stage from a row or a peer, unless it is behind the known one. */
  adoptStage: (rollout: ServiceRollout, stage: RolloutStage, change: StageChange) => void;
  /** Stops to send requests to the version of an order that is not complete. */
  setBad: (rollout: ServiceRollout, change: StageChange) => void;
  /** Writes the log line of an order, with its counts. */
  writeLog: (tracker: RolloutTracker, stage: string, change: StageChange) => void;
}

/** Dependencies. */
export interface RolloutProgressOptions {
  clock: Clock;
  log: Logger;
  /** A stage has changed: peers have to know, and waiting requests may be sent. */
  onChange: (rollout: ServiceRollout) => void;
}

const RANKS: Readonly<Record<RolloutStage, number>> = {
  [RolloutStage.Trial]: 1,
  [RolloutStage.Shift]: 2,
  [RolloutStage.Complete]: 3,
  [RolloutStage.RolledBack]: 4,
};

/** Returns the position of a stage, by which reports of peers are compared; 0 for none. */
export function getStageRank(stage: RolloutStage | undefined): number {
  return stage === undefined ? 0 : RANKS[stage];
}

/** Returns the functions. */
export function createRolloutProgress(options: RolloutProgressOptions): RolloutProgress {
  const { clock, log, onChange } = options;

  function writeLog(tracker: RolloutTracker, stage: string, { by, reason }: StageChange): void {
    const { order, evidence } = tracker;
    const { newBad, newTotal, oldBad, oldTotal } = evidence.judge(order.to, clock.now());
    const { requests, exposed } = tracker.count();
    log.info(LogEvent.RolloutChanged, {
      service: order.service,
      to: order.to,
      order: order.revision,
      stage,
      by,
      reason,
      requests,
      exposed,
      newBad,
      newTotal,
      oldBad,
      oldTotal,
    });
  }

  return {
    writeLog,
    adoptStage(rollout, stage, change) {
      const tracker = rollout.tracker!;
      if (isFinal(tracker.stage) || getStageRank(stage) <= getStageRank(tracker.stage)) return;
      tracker.stage = stage;
      tracker.reason = change.reason;
      if (stage === RolloutStage.Complete) {
        // The row decides: a verdict that came after its write changes nothing.
        tracker.isBad = false;
        rollout.excluded.delete(tracker.order.to);
      }
      if (stage === RolloutStage.RolledBack) {
        tracker.isBad = true;
        rollout.excluded.add(tracker.order.to);
      }
      writeLog(tracker, stage, change);
      onChange(rollout);
    },
    setBad(rollout, change) {
      const tracker = rollout.tracker!;
      if (tracker.isBad || isFinal(tracker.stage)) return;
      tracker.isBad = true;
      tracker.reason = change.reason;
      rollout.excluded.add(tracker.order.to);
      writeLog(tracker, 'stopped', change);
      onChange(rollout);
    },
  };
}
