/**
 * What one entry knows of one order to roll out a software version: its stage, the requests that
 * the version may still get from this entry, and the answers of the old and the new version.
 */
import type { RolloutOrder } from '@masticbend/platform/rollout';
import { createAnswerTimes } from '@masticbend/scheduling/answer-times';
import {
  createRolloutDrain,
  type PeerShift,
  type RolloutDrain,
} from '@masticbend/scheduling/rollout-drain';
import {
  createRolloutEvidence,
  type RolloutEvidence,
} from '@masticbend/scheduling/rollout-evidence';
import {
  computePool,
  createExposureBudget,
  type ExposureBudget,
  type ExposureOptions,
} from '@masticbend/scheduling/rollout-exposure';
import type { RolloutReportMessage } from '@masticbend/protocol/gateway-message';
import { isFinal, RolloutStage, type OrderId } from './rollout-row.js';

/** Time within which lost connections of one server count as one bad answer, in milliseconds. */
const LOSS_EVENT_MS = 300;

/** An order with its identity. */
export type KnownOrder = RolloutOrder & OrderId;

/** A request as the choice of its version depends on it. */
export interface TrialRequest {
  /** Set while the request holds a part of the exposure budget. */
  trial?: RolloutTracker;
}

/** Report of a peer about the same order. */
export type PeerProgress = Pick<RolloutReportMessage, 'stage' | 'isBad' | 'openElsewhere'> &
  PeerShift & {
    requests: number;
    exposed: number;
    isDrained: boolean;
    balance: number;
  };

/** What the budget of an order depends on. */
export type TrackerBudget = ExposureOptions & {
  slack: number;
  /** Entries among which the slack was divided. */
  entries: number;
};

/** An attempt at a server of a service with an order. */
export interface TrackedAttempt {
  tracker: RolloutTracker;
  route: string;
  version: string;
  server: string;
  /** Size by which the times of answers are compared. */
  size: number;
  sentAt: number | undefined;
  /** It took a part of the exposure budget. */
  isTrial: boolean;
  /** Its answer has been counted. */
  isCounted: boolean;
}

/** How an attempt ended: whole, failed, or broken by the loss of its connection. */
export type AttemptEnd = 'good' | 'failed' | 'lost' | 'stopped';

/** Which versions of a service have servers. */
export interface ListedVersions {
  hasNew: boolean;
  /** There is another version that was not rolled back. */
  hasOthers: boolean;
}

/** State of one order at one entry. Times are monotonic, in milliseconds. */
export interface RolloutTracker {
  order: KnownOrder;
  /** Undefined until the rows of the store have been read. */
  stage: RolloutStage | undefined;
  /** Time at which the order was first recorded, or seen. */
  startedAt: number;
  /** The entry sends nothing more to the version; final unless the store holds `complete`. */
  isBad: boolean;
  reason: string;
  /** No request goes to other versions any more. */
  isClosed: boolean;
  /** The entry may promise to close, as far as it knows itself. */
  isDrained: boolean;
  /** Another entry has closed. */
  isEnding: boolean;
  /** The evidence, or that of the last moments, points to a bad version: it gets only samples. */
  isSuspected: boolean;
  /** Until when the reports of the others confirm the shift. */
  confirmedUntil: number;
  peers: Map<string, PeerProgress>;
  evidence: RolloutEvidence;
  budget: ExposureBudget;
  drain: RolloutDrain;
  /** Adds the part of the slack that the one entry gets which began the shift. */
  addPool: (entries: number) => void;
  /** Returns whether a request may go to a version, beside the other ones that are listed. */
  isVersionAccepted: (request: TrialRequest, version: string, listed: ListedVersions) => boolean;
  /** Takes a part of the exposure budget for a request of a route. */
  tryTake: (route: string, isContinuation: boolean) => boolean;
  /** Takes a request of a route and size that has to move in the shift. */
  tryMove: (route: string, size: number, now: number) => boolean;
  returnTaken: (route: string) => void;
  startAttempt: (
    attempt: Omit<TrackedAttempt, 'tracker' | 'sentAt' | 'isCounted'>,
  ) => TrackedAttempt;
  recordSent: (attempt: TrackedAttempt, now: number) => void;
  /** The attempt ended before it was sent. */
  recordUnsent: (attempt: TrackedAttempt) => void;
  /** Records the end of an attempt; returns whether it counts as a bad answer. */
  recordEnd: (attempt: TrackedAttempt, end: AttemptEnd, now: number) => boolean;
  count: () => { requests: number; exposed: number };
}

/** Returns the state of an order that was just read. */
export function createRolloutTracker(
  order: KnownOrder,
  startedAt: number,
  budget: TrackerBudget,
): RolloutTracker {
  const exposure = createExposureBudget(budget);
  const evidence = createRolloutEvidence();
  const times = createAnswerTimes();
  const orderTimes = { startedAt, durationMs: order.durationMs };
  const drain = createRolloutDrain(exposure, orderTimes);
  let hasPool = false;
  const lossAt = new Map<string, number>();
  let requests = 0;
  let exposed = 0;

  /** Lost connections of a server within a short time come from one event. */
  function isSameLoss({ server }: TrackedAttempt, now: number): boolean {
    const previousAt = lossAt.get(server) ?? -Infinity;
    if (now - previousAt < LOSS_EVENT_MS) return true;
    lossAt.set(server, now);
    return false;
  }

  const tracker: RolloutTracker = {
    order,
    stage: undefined,
    get startedAt() {
      return orderTimes.startedAt;
    },
    set startedAt(ms) {
      orderTimes.startedAt = ms;
    },
    isBad: false,
    reason: '',
    isClosed: false,
    isDrained: false,
    isEnding: false,
    isSuspected: false,
    confirmedUntil: -Infinity,
    peers: new Map(),
    evidence,
    budget: exposure,
    drain,
    addPool(entries) {
      // Entries that divided the slack among fewer have used more of it than their parts.
      const canHave = budget.slackPart > 0 && entries <= budget.entries && !hasPool;
      if (canHave) exposure.addMoves(computePool(budget.slack));
      hasPool = true;
    },
    isVersionAccepted({ trial }, version, { hasNew, hasOthers }) {
      const isNew = version === order.to;
      switch (tracker.stage) {
        case undefined:
          return false;
        case RolloutStage.RolledBack:
          return true;
        case RolloutStage.Complete:
          return isNew || !hasNew;
        default:
          if (tracker.isBad) return !isNew;
          if (tracker.isClosed) return isNew;
          return isNew ? trial === tracker || !hasOthers : trial !== tracker;
      }
    },
    tryTake(route, isContinuation) {
      if (isFinal(tracker.stage) || tracker.isBad) return false;
      if (!exposure.tryTake(route, isContinuation)) return false;
      exposed += 1;
      return true;
    },
    tryMove(route, size, now) {
      const { stage, isBad, isSuspected, isEnding, confirmedUntil } = tracker;
      if (stage !== RolloutStage.Shift || isBad || isSuspected) return false;
      if (now >= confirmedUntil) return false;
      if (!drain.isDue(now, times.estimateMs(order.to, route, size))) return false;
      if (!drain.tryMove(now, route, isEnding)) return false;
      exposed += 1;
      return true;
    },
    returnTaken(route) {
      exposure.refund(route);
      exposed -= 1;
    },
    startAttempt: (attempt) => ({ ...attempt, tracker, sentAt: undefined, isCounted: false }),
    recordSent(attempt, now) {
      attempt.sentAt = now;
      const { route, size } = attempt;
      exposure.recordRequest(route);
      drain.recordRequest(now, times.estimateMs(order.to, route, size));
      requests += 1;
      if (attempt.version !== order.to || attempt.isTrial) return;
      exposed += 1;
      exposure.recordExposed(route);
    },
    recordUnsent({ isTrial, route }) {
      if (isTrial) tracker.returnTaken(route);
    },
    recordEnd(attempt, end, now) {
      const { route, version, size, sentAt, isCounted } = attempt;
      if (isCounted || sentAt === undefined) return false;
      const isSlow = times.isSlow(order.to, route, size, now - sentAt);
      if (end === 'stopped' && !isSlow) return false;
      attempt.isCounted = true;
      if (end === 'lost' && isSameLoss(attempt, now)) return false;
      const isBad = end !== 'good' || isSlow;
      if (end === 'good' && version !== order.to) times.record(route, version, size, now - sentAt);
      if (!isFinal(tracker.stage)) evidence.record(route, version, isBad);
      return isBad;
    },
    count: () => ({ requests, exposed }),
  };
  return tracker;
}
