/**
 * Stages of an order to move a service's traffic to another software version. In the trial the new
 * version gets a part of the exposure budget; in the shift requests are moved to it step by step
 * (`rollout-drain.ts`), while those that are open at the old version end there. An order ends as
 * complete or rolled back.
 *
 * A bad verdict ends an order at any time before it is complete. Without one the trial ends by
 * time, also with few answers, since a service without traffic gives no evidence.
 */
import type { Verdict } from './rollout-evidence.js';

/** Stages of an order. */
export type RolloutStage = 'trial' | 'shift' | 'complete' | 'rolled-back';

/** Parts of an order's duration. Sound evidence ends the trial no sooner than this. */
const TRIAL_PART = 0.4;
/** Then the trial ends without sound evidence; the rest is left for the shift. */
const OPEN_TRIAL_PART = 0.55;
/** Then it ends with evidence that is in doubt. */
const DOUBTFUL_TRIAL_PART = 0.7;
/** An order is complete no sooner than this: faults under the full load show only in the shift. */
const SHIFT_PART = 0.8;
/** Likewise with evidence that is in doubt; the rest is left for the write of the status. */
const DOUBTFUL_SHIFT_PART = 0.9;

/** An order in progress. Times are in milliseconds, on any one clock. */
export interface RolloutState {
  /** Revision of the order's row. */
  order: number;
  to: string;
  stage: RolloutStage;
  startedAt: number;
  durationMs: number;
}

/** What a decision is based on. */
export interface RolloutObservation {
  verdict: Verdict;
  /** The evidence is scarce or points to a bad version without deciding it. */
  isDoubtful?: boolean;
  /** The evidence points to a bad version without deciding it. */
  isSuspected?: boolean;
  /** The recent answers of the new version do, without a comparison over the same time. */
  isHeld?: boolean;
  /** There are servers of the new version. */
  hasServers: boolean;
  isServiceKnown: boolean;
  /** Requests that are open at servers of other versions, over all live entries. */
  openElsewhere: number;
  /** All live entries report that they are in the shift. */
  areAllShifted: boolean;
}

/** The stage that an order should be in, and why. */
export interface RolloutDecision {
  stage: RolloutStage;
  reason: string;
}

/** Returns the stage that follows from what is known; it is final if complete or rolled back. */
export function decideRollout(
  now: number,
  state: RolloutState,
  observed: RolloutObservation,
): RolloutDecision {
  const { stage, startedAt, durationMs } = state;
  if (stage === 'complete' || stage === 'rolled-back') return { stage, reason: 'final' };
  if (observed.verdict === 'bad') return { stage: 'rolled-back', reason: 'bad answers' };
  const part = durationMs > 0 ? (now - startedAt) / durationMs : 1;
  if (!observed.isServiceKnown || !observed.hasServers) {
    const reason = observed.isServiceKnown ? 'no servers' : 'unknown service';
    // The servers of the old version take the traffic until those of the new one are back.
    return { stage: part >= 1 ? 'rolled-back' : 'trial', reason };
  }
  return stage === 'trial' ? decideTrial(part, observed) : decideShift(part, observed);
}

/**
 * Returns whether an entry that has nothing open at other versions may promise to send nothing
 * there any more: from then on only the write of the status keeps the order from being complete.
 */
export function isClosingDue(
  now: number,
  { startedAt, durationMs }: Pick<RolloutState, 'startedAt' | 'durationMs'>,
  {
    isDoubtful,
    isSuspected,
    isHeld,
  }: Pick<RolloutObservation, 'isDoubtful' | 'isSuspected' | 'isHeld'>,
): boolean {
  const part = durationMs > 0 ? (now - startedAt) / durationMs : 1;
  return !isSuspected && !isHeld && part >= (isDoubtful ? DOUBTFUL_SHIFT_PART : SHIFT_PART);
}

function decideTrial(part: number, { verdict, isDoubtful }: RolloutObservation): RolloutDecision {
  if (verdict === 'good' && part >= TRIAL_PART) return { stage: 'shift', reason: 'sound answers' };
  if (part >= (isDoubtful ? DOUBTFUL_TRIAL_PART : OPEN_TRIAL_PART)) {
    return { stage: 'shift', reason: 'no bad verdict in time' };
  }
  return { stage: 'trial', reason: verdict === 'good' ? 'too early' : 'too few answers' };
}

function decideShift(part: number, observed: RolloutObservation): RolloutDecision {
  const { areAllShifted, openElsewhere, isDoubtful, isSuspected } = observed;
  // A good version that is rolled back costs an order; a bad one that is complete has no way back.
  if (isSuspected && part >= DOUBTFUL_SHIFT_PART) {
    return { stage: 'rolled-back', reason: 'answers in doubt' };
  }
  if (observed.isHeld) return { stage: 'shift', reason: 'recent answers in doubt' };
  if (!areAllShifted) return { stage: 'shift', reason: 'entries not shifted' };
  if (openElsewhere > 0) return { stage: 'shift', reason: 'open requests at other versions' };
  if (part < (isDoubtful ? DOUBTFUL_SHIFT_PART : SHIFT_PART)) {
    return { stage: 'shift', reason: 'too early' };
  }
  return { stage: 'complete', reason: 'all traffic moved' };
}
