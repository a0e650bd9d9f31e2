/**
 * Reconciles the models loaded by this agent's engine with the configured ones. Compares both at
 * intervals and acquires the engine's lease only when they differ. Each order carries the lease's
 * fencing number and is sent only if it can finish before the lease ends, so a holder that was
 * paused past its lease sends no more orders.
 */
import type { Dispatcher } from 'undici';
import type { Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import type { Lease, LeaseManager } from '@masticbend/state/lease';
import { fetchModels, type LoadedModel } from './backend-probe.js';
import { computeOrders, type EngineOrder } from './orders.js';
import { createCheckedClient } from './start-check.js';

/** Duration of an engine's lease. */
export const ORDER_LEASE_MS = 20_000;
/** Longest time one order may take. */
export const ORDER_TIMEOUT_MS = 5_000;
/** Mean interval of comparisons, with jitter of half of it either way. */
const RECONCILE_INTERVAL_MS = 10_000;
const STATUS_OK = 200;

/** Dependencies of the reconciler. */
export interface ModelReconcilerOptions {
  clock: Clock;
  log: Logger;
  client: Dispatcher;
  leaseManager: LeaseManager;
  drawRandom: () => number;
  /** Returns undefined while the configuration has no engine for this agent. */
  listDesired: () => LoadedModel[] | undefined;
  /** Returns whether an open reservation or call needs a model, which then is not unloaded yet. */
  isInUse: (id: string) => boolean;
}

/** Reconciler of one engine. */
export interface ModelReconciler {
  /**
   * Compares now and sends the orders that are due; resolves to the time until the next comparison,
   * in milliseconds.
   */
  runOnce: () => Promise<number>;
  start: () => void;
  stop: () => void;
  dump: () => unknown;
}

/** Creates a reconciler that is not started. */
export function createModelReconciler(options: ModelReconcilerOptions): ModelReconciler {
  const { clock, log, client, leaseManager, drawRandom, listDesired, isInUse } = options;
  let stopTimer: (() => void) | undefined;
  let stopped = false;
  let lastFencing = 0;

  async function runOnce(): Promise<number> {
    const intervalMs = RECONCILE_INTERVAL_MS * (0.5 + drawRandom());
    if ((await listPendingOrders()).length === 0) return intervalMs;
    const result = await leaseManager.tryAcquire();
    if (result.kind === 'wait') return result.waitMs;
    lastFencing = result.lease.fencing;
    // After a failure the lease is not released, since the order may still take effect.
    await sendOrders(result.lease, await listPendingOrders());
    await leaseManager.release(result.lease);
    return intervalMs;
  }

  async function listPendingOrders(): Promise<EngineOrder[]> {
    const desired = listDesired();
    if (!desired) return [];
    const orders = computeOrders(desired, await fetchModels(client));
    return orders.filter(({ order, model }) => order === 'load' || !isInUse(model));
  }

  async function sendOrders(lease: Lease, orders: EngineOrder[]): Promise<void> {
    for (const order of orders) {
      const accepted = await sendOrder(lease, order);
      if (!accepted) return;
    }
  }

  /**
   * Checks the remaining time of the lease once the connection is open, so that no order is sent
   * after a pause of the process. Returns whether the engine accepted the order.
   */
  async function sendOrder(lease: Lease, order: EngineOrder): Promise<boolean> {
    const { fencing } = lease;
    const hasTime = () => clock.now() + ORDER_TIMEOUT_MS <= lease.endsAt;
    const fields = { order: order.order, model: order.model, adapter: order.adapter, fencing };
    log.info(LogEvent.OrderStarted, fields);
    const { statusCode, body } = await createCheckedClient(client, hasTime).request({
      method: 'POST',
      path: '/v1/orders',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ fencing, ...order }),
      signal: AbortSignal.timeout(ORDER_TIMEOUT_MS),
    });
    await body.dump();
    const accepted = statusCode === STATUS_OK;
    log.info(accepted ? LogEvent.OrderFinished : LogEvent.OrderRefused, { ...fields, statusCode });
    return accepted;
  }

  function runPeriodically(): void {
    runOnce()
      .catch(() => RECONCILE_INTERVAL_MS * (0.5 + drawRandom()))
      .then((waitMs) => {
        if (!stopped) stopTimer = clock.startTimer(waitMs, runPeriodically);
      });
  }

  return {
    runOnce,
    start() {
      stopTimer = clock.startTimer(RECONCILE_INTERVAL_MS * drawRandom(), runPeriodically);
    },
    stop() {
      stopped = true;
      stopTimer?.();
    },
    dump: () => ({ lastFencing }),
  };
}
