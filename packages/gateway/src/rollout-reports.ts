/**
 * Messages between the entries about orders: stages, counters, verdicts and lent parts of the
 * exposure budget. Counters are cumulative, so that a lost report changes nothing.
 */
import type { Clock } from '@masticbend/kernel/clock';
import type {
  ExposureLendMessage,
  RolloutReportMessage,
} from '@masticbend/protocol/gateway-message';
import type { Message } from '@masticbend/protocol/message';
import type { RolloutGate, ServiceRollout } from './rollout-gate.js';
import { getStageRank, type RolloutProgress } from './rollout-progress.js';
import { compareOrders, isRolloutStage, RolloutStage } from './rollout-row.js';
import type { RolloutTracker } from './rollout-tracker.js';

/**
 * Shortest interval between the reports of a service. It grows with each peer, so that the traffic
 * grows with the number of entries and not with its square.
 */
const REPORT_INTERVAL_MS = 200;
const PEER_INTERVAL_MS = 6;
/** In the shift, reports are also repeated unchanged, since they confirm it to the others. */
const CONFIRM_INTERVAL_MS = 500;
/** Intervals at which unused parts of the budget are lent, in the trial and in the shift. */
const LEND_INTERVAL_MS = 1_000;
const SHIFT_LEND_INTERVAL_MS = 200;

/** A message about an order. */
export type RolloutMessage = RolloutReportMessage | ExposureLendMessage;

/** Returns whether a message is about an order. */
export function isRolloutMessage(message: Message): message is RolloutMessage {
  return message.kind === 'rollout-report' || message.kind === 'exposure-lend';
}

/** Messages of one entry. */
export interface RolloutReports {
  /** Reports a service to all peers, now or once the interval is over if it has changed. */
  sendReport: (rollout: ServiceRollout, isUrgent: boolean) => void;
  /** Reports all services to a peer that has connected. */
  sendAll: (peer: string) => void;
  /**
   * Lends unused parts of the budget: to the peer with the most requests in the trial, to those
   * that lack some in the shift.
   */
  lend: (rollout: ServiceRollout) => void;
  receive: (peer: string, incarnation: string, message: RolloutMessage) => void;
}

/** Dependencies. */
export interface RolloutReportsOptions {
  self: string;
  clock: Clock;
  gate: Pick<RolloutGate, 'services'>;
  progress: Pick<RolloutProgress, 'adoptStage' | 'setBad'>;
  listLive: () => string[];
  send: (peer: string, message: Message) => void;
  /** Returns the requests at other versions that are open here or may still be sent. */
  countElsewhere: (tracker: RolloutTracker) => number;
  /** A peer knows of an order that was not read here. */
  onUnknownOrder: () => void;
}

interface SentReport {
  text: string;
  at: number;
  lentAt: number;
}

/** Returns the messages of an entry that has sent none. */
export function createRolloutReports(options: RolloutReportsOptions): RolloutReports {
  const { clock, gate, progress, listLive, send, countElsewhere } = options;
  const sent = new WeakMap<RolloutTracker, SentReport>();

  function createReport(tracker: RolloutTracker): RolloutReportMessage {
    const { order, stage = '', isBad, evidence } = tracker;
    const counts = evidence.list();
    return {
      kind: 'rollout-report',
      service: order.service,
      order: order.revision,
      era: order.era,
      to: order.to,
      stage,
      isBad,
      ...tracker.count(),
      openElsewhere: countElsewhere(tracker),
      ...(stage === RolloutStage.Shift && {
        isDrained: tracker.isDrained,
        balance: tracker.drain.computeBalance(clock.now()),
      }),
      routes: counts.map(({ route }) => route),
      versions: counts.map(({ version }) => version),
      good: counts.map(({ good }) => good),
      bad: counts.map(({ bad }) => bad),
    };
  }

  /** Returns the tracker of a message's order; undefined where another order is in force here. */
  function findTracker(peer: string, message: RolloutMessage): RolloutTracker | undefined {
    const tracker = gate.services.get(message.service)?.tracker;
    const order = { revision: message.order, era: message.era };
    if (tracker && isSameOrder(tracker, message)) return tracker;
    if (!tracker || compareOrders(order, tracker.order) > 0) options.onUnknownOrder();
    else send(peer, createReport(tracker));
    return undefined;
  }

  function receiveReport(peer: string, incarnation: string, message: RolloutReportMessage): void {
    const tracker = findTracker(peer, message);
    if (!tracker) return;
    const rollout = gate.services.get(message.service)!;
    const { stage, isBad, openElsewhere, requests, exposed, good, bad } = message;
    const { isDrained = false, balance = 0 } = message;
    const isShifting = stage === RolloutStage.Shift && !isBad;
    tracker.peers.set(peer, {
      stage,
      isBad,
      openElsewhere,
      requests,
      exposed,
      isDrained,
      balance,
      isShifting,
      receivedAt: clock.now(),
    });
    const counts = message.routes.map((route, index) => ({
      route,
      version: message.versions[index] ?? '',
      good: good[index] ?? 0,
      bad: bad[index] ?? 0,
    }));
    tracker.evidence.setPeer(peer, incarnation, counts);
    const change = { by: peer, reason: 'report of a peer' };
    if (isRolloutStage(stage)) progress.adoptStage(rollout, stage, change);
    if (isBad) progress.setBad(rollout, change);
    if (isBehind(message, tracker)) send(peer, createReport(tracker));
  }

  function sendLoan({ order }: RolloutTracker, peer: string, amount: number): void {
    const { service, revision, era } = order;
    if (amount > 0) {
      send(peer, { kind: 'exposure-lend', service, order: revision, era, amount });
    }
  }

  function sendMoves(tracker: RolloutTracker): void {
    if (tracker.isBad) return;
    const live = new Set(listLive());
    const balances = new Map<string, number>();
    for (const [peer, { isShifting, balance }] of tracker.peers) {
      if (isShifting && live.has(peer)) balances.set(peer, balance);
    }
    for (const { peer, amount } of tracker.drain.takeLoans(clock.now(), options.self, balances)) {
      // The next report of the peer has its new balance.
      tracker.peers.get(peer)!.balance += amount;
      sendLoan(tracker, peer, amount);
    }
  }

  return {
    sendReport({ tracker }, isUrgent) {
      if (!tracker) return;
      const peers = listLive();
      const now = clock.now();
      const last = sent.get(tracker) ?? { text: '', at: -Infinity, lentAt: now };
      sent.set(tracker, last);
      const intervalMs = Math.max(REPORT_INTERVAL_MS, peers.length * PEER_INTERVAL_MS);
      if (peers.length === 0 || (!isUrgent && now - last.at < intervalMs)) return;
      const report = createReport(tracker);
      const text = JSON.stringify(report);
      const isShift = tracker.stage === RolloutStage.Shift;
      const isRepeated = isShift && now - last.at >= CONFIRM_INTERVAL_MS;
      if (text === last.text && !isRepeated) return;
      Object.assign(last, { text, at: now });
      for (const peer of peers) send(peer, report);
    },
    sendAll(peer) {
      for (const { tracker } of gate.services.values()) {
        if (tracker) send(peer, createReport(tracker));
      }
    },
    lend({ tracker }) {
      const last = tracker && sent.get(tracker);
      const now = clock.now();
      const isShift = tracker?.stage === RolloutStage.Shift;
      const intervalMs = isShift ? SHIFT_LEND_INTERVAL_MS : LEND_INTERVAL_MS;
      if (!last || now - last.lentAt < intervalMs) return;
      last.lentAt = now;
      if (isShift) {
        sendMoves(tracker);
        return;
      }
      const live = new Set(listLive());
      const { requests } = tracker.count();
      const [busiest] = [...tracker.peers]
        .filter(([peer, progressOfPeer]) => live.has(peer) && progressOfPeer.requests > requests)
        .sort(([, left], [, right]) => right.requests - left.requests);
      if (!busiest || tracker.stage !== RolloutStage.Trial || tracker.isBad) return;
      sendLoan(tracker, busiest[0], tracker.budget.lend());
    },
    receive(peer, incarnation, message) {
      if (message.kind === 'rollout-report') receiveReport(peer, incarnation, message);
      else {
        const tracker = gate.services.get(message.service)?.tracker;
        const isSame =
          tracker?.order.revision === message.order && tracker.order.era === message.era;
        if (isSame && tracker.stage === RolloutStage.Shift) tracker.budget.addMoves(message.amount);
        else if (isSame) tracker.budget.borrow(message.amount);
      }
    },
  };
}

/**
 * Returns whether a message is about the same order. A process that started after a restoration of
 * the store read the order in a later era than the others, and takes over theirs.
 */
function isSameOrder({ order }: RolloutTracker, message: RolloutMessage): boolean {
  if (message.order !== order.revision) return false;
  if (message.era === order.era) return true;
  const isEarlier = 'to' in message && message.to === order.to && message.era < order.era;
  if (isEarlier) order.era = message.era;
  return isEarlier;
}

/** Returns whether the sender of a report does not know what is known here. */
function isBehind({ stage, isBad }: RolloutReportMessage, tracker: RolloutTracker): boolean {
  const rank = isRolloutStage(stage) ? getStageRank(stage) : 0;
  if (rank < getStageRank(tracker.stage)) return true;
  return tracker.isBad && !isBad;
}
