/**
 * Moves the traffic of services to other software versions on the operator's orders, and back where
 * a version turns out to be bad. Reads the orders with the configuration, decides with the other
 * entries on their stages, and keeps the state in the store.
 */
import type { Kernel, Lifecycle } from '@masticbend/kernel/kernel';
import { LogEvent } from '@masticbend/kernel/log';
import { Metric } from '@masticbend/kernel/metrics';
import { decodeRolloutOrder, readRolloutKey } from '@masticbend/platform/rollout';
import type { StoreRow } from '@masticbend/platform/store';
import { computeSlackPart } from '@masticbend/scheduling/rollout-exposure';
import type { BackendServer } from '@masticbend/settings/routing';
import { createRolloutDecision } from './rollout-decision.js';
import { createRolloutGate, type RequestRollouts, type ServiceRollout } from './rollout-gate.js';
import { createRolloutProgress, getStageRank } from './rollout-progress.js';
import { createRolloutReports, type RolloutReports } from './rollout-reports.js';
import { isFinal, type OrderId } from './rollout-row.js';
import {
  createRolloutTracker,
  type KnownOrder,
  type RolloutTracker,
  type TrackerBudget,
} from './rollout-tracker.js';
import { createRolloutWriter } from './rollout-writer.js';
import type { GatewayServices } from './services.js';
import type { GatewaySettings, RolloutBounds } from './settings.js';

/** Interval of the checks while an order is in progress; the evidence needs 50 to 200 ms. */
const CHECK_INTERVAL_MS = 100;
/** Interval of the checks otherwise. */
const IDLE_INTERVAL_MS = 1_000;
/** Orders of a service that are remembered after others replaced them. */
const MAX_EARLIER_ORDERS = 4;

/** Rollouts of one entry. */
export interface RolloutService {
  /** Undefined where the deployment has no rollouts. */
  requests?: RequestRollouts;
  /** Takes the orders among the rows of their table: all rows, or changed ones. */
  applyRows: (rows: readonly StoreRow[], isFullTable: boolean) => void;
  /** Replaces the servers that are listed now. */
  setListed: (servers: readonly BackendServer[]) => void;
  receive: RolloutReports['receive'];
  /** A peer has connected, or is no longer connected. */
  sendAll: (peer: string) => void;
  dropPeer: (peer: string) => void;
}

/** Returns the service; it does nothing where the settings don't call for it. */
export function createRolloutService(
  kernel: Kernel<GatewayServices>,
  settings: GatewaySettings,
): RolloutService & Lifecycle {
  const { features, rollout } = settings;
  if (features.rollouts && rollout) return createService(kernel, settings, rollout);
  const ignore = () => undefined;
  return {
    applyRows: ignore,
    setListed: ignore,
    receive: ignore,
    sendAll: ignore,
    dropPeer: ignore,
  };
}

function createService(
  kernel: Kernel<GatewayServices>,
  { instance }: GatewaySettings,
  bounds: RolloutBounds,
): RolloutService & Lifecycle {
  const clock = kernel.find('clock');
  const log = kernel.find('log');
  const store = kernel.find('store');
  /** Era of the store in which the order of a service was last read. */
  const readEras = new Map<string, number>();
  /** Orders that were replaced, which a restored store may show again. */
  const earlierOrders = new Map<string, (OrderId & { to: string })[]>();
  const refused = new Map<string, number>();
  let hasReadOrders = false;
  let stopTimer = () => {};

  const listLive = () => kernel.find('mesh').listLive();
  const send: Parameters<typeof createRolloutReports>[0]['send'] = (peer, message) =>
    kernel.find('mesh').send(peer, message);
  const listMembers = () =>
    kernel
      .find('members')
      .listOthers()
      .map((member) => member.instance);
  const refreshOrders = () => kernel.find('view').refresh();
  const gate = createRolloutGate({
    clock,
    metrics: kernel.find('metrics'),
    getOrdersAgeMs: () => kernel.find('view').getAgeMs(),
  });
  const progress = createRolloutProgress({
    clock,
    log,
    onChange: handleChange,
  });
  const reports = createRolloutReports({
    self: instance,
    clock,
    gate,
    progress,
    listLive,
    send,
    countElsewhere: ({ order, isClosed }) =>
      isClosed ? 0 : Math.max(1, kernel.find('requests').countElsewhere(order.service, order.to)),
    onUnknownOrder: refreshOrders,
  });
  const writer = createRolloutWriter({
    self: instance,
    countEntries: () => listMembers().length + 1,
    clock,
    store,
    gate,
    progress,
    onUnknownOrder: refreshOrders,
  });
  const check = createRolloutDecision({
    self: instance,
    clock,
    gate,
    progress,
    reports,
    writer,
    listLive,
    listMembers,
    isServiceKnown: (service) =>
      kernel.find('view').getView()?.configuration.services.has(service) ?? false,
    countOpen: (service, version) => kernel.find('requests').countElsewhere(service, version),
  });

  function handleChange(rollout: ServiceRollout): void {
    reports.sendReport(rollout, true);
    kernel.find('requests').sendWaiting();
  }

  function runChecks(): void {
    stopTimer();
    gate.dropGone();
    for (const rollout of gate.services.values()) check(rollout);
    const isBusy = [...gate.services.values()].some(isOpen);
    stopTimer = clock.startTimer(isBusy ? CHECK_INTERVAL_MS : IDLE_INTERVAL_MS, runChecks);
  }

  function isOpen(rollout: ServiceRollout): boolean {
    return (
      rollout.tracker !== undefined &&
      !(isFinal(rollout.tracker.stage) && writer.isRecorded(rollout))
    );
  }

  function createBudget(previous: RolloutTracker | undefined, to: string): TrackerBudget {
    return {
      share: bounds.exposureShare,
      slackPart: computeSlack(previous, to),
      slack: bounds.exposureSlack,
      entries: listMembers().length + 1,
    };
  }

  function computeSlack(previous: RolloutTracker | undefined, to: string): number {
    // The trial of the same version goes on: its slack may be used up.
    const isRepeated = previous && !isFinal(previous.stage) && previous.order.to === to;
    const ranBefore = hasReadOrders && kernel.find('members').isLeaseHeld() && !isRepeated;
    return computeSlackPart(bounds.exposureSlack, listMembers().length + 1, ranBefore);
  }

  function startOrder(order: KnownOrder): void {
    const { service, to } = order;
    const rollout = gate.getService(service);
    const previous = rollout.tracker;
    const budget = createBudget(previous, to);
    if (previous) replaceOrder(rollout, previous, to);
    rollout.excluded.delete(to);
    rollout.tracker = createRolloutTracker(order, clock.now(), budget);
    writer.applyKnown(rollout);
    runChecks();
  }

  /** A version that was neither accepted nor rolled back gets no requests beside the next one. */
  function replaceOrder(rollout: ServiceRollout, previous: RolloutTracker, to: string): void {
    const { service } = rollout;
    const { revision, era } = previous.order;
    const earlier = [
      ...(earlierOrders.get(service) ?? []),
      { revision, era, to: previous.order.to },
    ];
    earlierOrders.set(service, earlier.slice(-MAX_EARLIER_ORDERS));
    if (isFinal(previous.stage)) return;
    if (previous.order.to !== to) rollout.excluded.add(previous.order.to);
    progress.writeLog(previous, 'replaced', { by: instance, reason: 'another order' });
  }

  /** Ends an order whose row was removed, so that its traffic is not left half moved. */
  function finishOrder(service: string): void {
    const rollout = gate.services.get(service);
    if (rollout?.tracker) progress.setBad(rollout, { by: instance, reason: 'order removed' });
  }

  function applyOrder(service: string, { value, revision }: StoreRow): void {
    const order = decodeRolloutOrder(service, value);
    if (!order) {
      if (refused.get(service) !== revision) {
        log.error(LogEvent.RolloutRefused, { service, order: revision, bytes: value.length });
      }
      refused.set(service, revision);
      return;
    }
    const era = store.getEra() ?? 0;
    const known = gate.services.get(service)?.tracker?.order;
    const isSame = known?.revision === revision && known.to === order.to;
    const isEarlier = earlierOrders
      .get(service)
      ?.some((each) => each.revision === revision && each.to === order.to);
    if (isSame || !isEarlier) readEras.set(service, era);
    if (!isSame && !isEarlier) startOrder({ ...order, revision, era });
  }

  /** A restored store may have lost an order, which does not end it. */
  function finishMissing(keys: ReadonlySet<string>): void {
    for (const [service, era] of readEras) {
      if (!keys.has(service) && era === store.getEra()) {
        readEras.delete(service);
        finishOrder(service);
      }
    }
  }

  return {
    requests: gate.requests,
    start() {
      store.onRestored(() => {
        writer.handleRestoration();
        runChecks();
      });
      kernel
        .find('metrics')
        .registerGauges(Metric.RolloutStage, () =>
          [...gate.services.values()].flatMap(({ service, tracker }) =>
            tracker ? [{ labels: { service }, value: getStageRank(tracker.stage) }] : [],
          ),
        );
      writer.startRead();
      runChecks();
    },
    stop() {
      stopTimer();
      writer.stop();
    },
    applyRows(rows, isFullTable) {
      const keys = new Set<string>();
      for (const row of rows) {
        const service = readRolloutKey(row.key);
        if (service !== undefined && row.deleted) {
          readEras.delete(service);
          finishOrder(service);
        } else if (service !== undefined) {
          keys.add(service);
          applyOrder(service, row);
        }
      }
      if (isFullTable) finishMissing(keys);
      hasReadOrders = true;
    },
    setListed: gate.setListed,
    receive: reports.receive,
    sendAll: reports.sendAll,
    dropPeer(peer) {
      for (const { tracker } of gate.services.values()) tracker?.peers.delete(peer);
    },
    dump: () =>
      [...gate.services.values()].map(({ service, tracker, excluded }) => ({
        service,
        excluded: [...excluded],
        ...(tracker && {
          order: tracker.order,
          stage: tracker.stage,
          isBad: tracker.isBad,
          isClosed: tracker.isClosed,
          isDrained: tracker.isDrained,
          isConfirmed: clock.now() < tracker.confirmedUntil,
          reason: tracker.reason,
          budget: tracker.budget.count(),
          answers: tracker.evidence.list(),
        }),
      })),
  };
}
