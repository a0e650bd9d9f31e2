/**
 * Decides on the orders in progress at one entry. Each entry judges the answers and stops to use a
 * bad version by itself; the one that ranks first for a service writes its rows, and the others
 * after a delay for each step of the ranking, unless they have heard of the write by then.
 */
import type { Clock } from '@masticbend/kernel/clock';
import { rankNames } from '@masticbend/scheduling/rendezvous';
import { computeConfirmedUntil } from '@masticbend/scheduling/rollout-drain';
import { isClosingDue, decideRollout } from '@masticbend/scheduling/rollout-plan';
import type { RolloutGate, ServiceRollout } from './rollout-gate.js';
import type { RolloutProgress } from './rollout-progress.js';
import type { RolloutReports } from './rollout-reports.js';
import { isFinal, RolloutStage } from './rollout-row.js';
import type { RolloutTracker } from './rollout-tracker.js';
import type { RolloutWriter } from './rollout-writer.js';

/** Delay before the next entry in the ranking acts. */
const STEP_MS = 150;
const MAX_STEPS = 10;

/** Dependencies. */
export interface RolloutDecisionOptions {
  self: string;
  clock: Clock;
  gate: Pick<RolloutGate, 'hasServers'>;
  progress: Pick<RolloutProgress, 'setBad'>;
  reports: Pick<RolloutReports, 'sendReport' | 'lend'>;
  writer: Pick<RolloutWriter, 'write' | 'isRecorded'>;
  listLive: () => string[];
  /** Other entries whose lease has not expired. */
  listMembers: () => string[];
  isServiceKnown: (service: string) => boolean;
  /** Returns the attempts in progress at other versions of a service. */
  countOpen: (service: string, version: string) => number;
}

/** What has to be done about an order. */
interface Step {
  /** Stage to be written, or the end of the order without a verdict. */
  stage: RolloutStage | 'end';
  reason: string;
}

interface DueStep extends Step {
  tracker: RolloutTracker;
  dueAt: number;
}

/** Returns a function that checks a service, to be called at short intervals. */
export function createRolloutDecision(
  options: RolloutDecisionOptions,
): (rollout: ServiceRollout) => void {
  const { self, clock, gate, progress, reports, writer, listLive, listMembers } = options;
  const due = new Map<string, DueStep>();

  /**
   * Updates what the shift depends on at this entry. It closes once all entries are drained: from
   * then on it sends nothing to other versions, so that the order can be complete.
   */
  function updateShift({ service, tracker }: ServiceRollout): void {
    if (!tracker || isFinal(tracker.stage) || tracker.isBad) return;
    const now = clock.now();
    const { drain, order, startedAt } = tracker;
    drain.updateReserve(now);
    if (tracker.stage !== RolloutStage.Shift) return;
    const judgement = tracker.evidence.judge(order.to, now);
    const peers = listOthers().map((name) => tracker.peers.get(name));
    tracker.isSuspected = judgement.isSuspected || judgement.isHeld;
    tracker.confirmedUntil = computeConfirmedUntil(peers);
    tracker.isEnding = peers.some((peer) => peer?.isShifting && peer.openElsewhere === 0);
    const open = options.countOpen(service, order.to);
    if (!gate.hasServers(service, order.to)) {
      tracker.isClosed = false;
      tracker.isDrained = false;
      return;
    }
    tracker.isDrained = drain.updateDrained(now, open);
    if (tracker.isClosed || open > 0 || now >= tracker.confirmedUntil) return;
    const areAllDrained = tracker.isDrained && peers.every((peer) => peer?.isDrained);
    if (!areAllDrained && !tracker.isEnding) return;
    tracker.isClosed = isClosingDue(now, { startedAt, durationMs: order.durationMs }, judgement);
  }

  /** Returns whether the entry took a step of the shift that the others wait for. */
  function hasStep(rollout: ServiceRollout): boolean {
    const { isDrained = false, isClosed = false } = rollout.tracker ?? {};
    updateShift(rollout);
    return rollout.tracker?.isDrained !== isDrained || rollout.tracker.isClosed !== isClosed;
  }

  function listOthers(): string[] {
    return [...new Set([...listMembers(), ...listLive()])].filter((name) => name !== self);
  }

  function hasEveryPeerStopped(tracker: RolloutTracker): boolean {
    return listOthers().every((name) => tracker.peers.get(name)?.isBad);
  }

  function decide({ service, tracker }: ServiceRollout): Step | undefined {
    if (!tracker) return undefined;
    const { order, stage, startedAt, isBad, reason } = tracker;
    if (!stage) return undefined;
    if (isBad && stage !== RolloutStage.RolledBack) {
      return hasEveryPeerStopped(tracker) ? { stage: RolloutStage.RolledBack, reason } : undefined;
    }
    const now = clock.now();
    const judgement = tracker.evidence.judge(order.to, now);
    const peers = listOthers().map((name) => tracker.peers.get(name));
    const decision = decideRollout(
      now,
      { order: order.revision, to: order.to, stage, startedAt, durationMs: order.durationMs },
      {
        verdict: judgement.verdict,
        isDoubtful: judgement.isDoubtful,
        isSuspected: judgement.isSuspected,
        isHeld: judgement.isHeld,
        hasServers: gate.hasServers(service, order.to),
        isServiceKnown: options.isServiceKnown(service),
        openElsewhere: peers.reduce(
          (sum, peer) => sum + (peer?.openElsewhere ?? 1),
          tracker.isClosed ? 0 : 1,
        ),
        areAllShifted: peers.every((peer) => peer?.stage === RolloutStage.Shift && !peer.isBad),
      },
    );
    if (decision.stage === stage) return undefined;
    if (decision.stage === RolloutStage.Trial) return undefined;
    if (decision.stage !== RolloutStage.RolledBack) return decision;
    return { stage: 'end', reason: describeVerdict(decision.reason, judgement.route) };
  }

  function isVerdict(tracker: RolloutTracker): boolean {
    return tracker.evidence.judge(tracker.order.to, clock.now()).verdict === 'bad';
  }

  /**
   * Returns whether the version fails after the entry has closed. Nothing is left to compare it
   * with then, and it gets all requests, so that the verdict cannot wait.
   */
  function isFailingClosed({ stage, isClosed, isBad, evidence, order }: RolloutTracker): boolean {
    if (stage !== RolloutStage.Shift || !isClosed || isBad) return false;
    return evidence.judge(order.to, clock.now()).isAlarming;
  }

  function findStep(rollout: ServiceRollout): Step | undefined {
    const { tracker } = rollout;
    const isOver = isFinal(tracker?.stage);
    const step = isOver ? undefined : decide(rollout);
    if (step || !tracker?.stage || writer.isRecorded(rollout)) return step;
    return { stage: tracker.stage, reason: tracker.reason };
  }

  function schedule({ service, tracker }: ServiceRollout, step: Step): DueStep {
    const known = due.get(service);
    if (known && known.tracker === tracker && known.stage === step.stage) return known;
    const names = rankNames(service, [self, ...listLive()]);
    const steps = Math.min(names.indexOf(self), MAX_STEPS);
    const planned = { ...step, tracker: tracker!, dueAt: clock.now() + steps * STEP_MS };
    due.set(service, planned);
    return planned;
  }

  return (rollout) => {
    const { tracker, service } = rollout;
    if (!tracker) return;
    const isUrgent = hasStep(rollout);
    if (isFailingClosed(tracker)) {
      progress.setBad(rollout, { by: self, reason: 'bad answers after the last step' });
    }
    const step = findStep(rollout);
    if (!step) {
      due.delete(service);
    } else if (step.stage === 'end' && isVerdict(tracker)) {
      progress.setBad(rollout, { by: self, reason: step.reason });
    } else if (schedule(rollout, step).dueAt <= clock.now()) {
      const change = { by: self, reason: step.reason };
      if (step.stage === 'end') progress.setBad(rollout, change);
      else {
        writer.write(rollout, step.stage, change).catch((error: Error) => {
          throw error;
        });
      }
    }
    reports.sendReport(rollout, isUrgent);
    reports.lend(rollout);
  };
}

function describeVerdict(reason: string, route: string | undefined): string {
  return route === undefined ? reason : `${reason} on route ${route}`;
}
