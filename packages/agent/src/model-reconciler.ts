/**
 * Gives the engine beside this agent its orders: compares what is loaded with the configuration,
 * takes the engine's lease only when there is something to order, and sends each order under the
 * lease's fencing number and well inside its time. A holder that was paused sends nothing more.
 */
import type { Dispatcher } from 'undici';
import type { Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import type { Lease, LeaseKeeper } from '@masticbend/state/lease';
import { fetchModels, type LoadedModel } from './backend-probe.js';
import { computeOrders, type EngineOrder } from './orders.js';
import { createCheckedClient } from './start-check.js';

/** Time an engine's lease is held, in milliseconds. */
export const ORDER_LEASE_MS = 20_000;
/** Longest time one order may take, in milliseconds. */
export const ORDER_TIMEOUT_MS = 5_000;
/** Mean interval of comparisons; each is spread by half of it either way. */
const RECONCILE_INTERVAL_MS = 10_000;
const STATUS_OK = 200;

/** What the keeper needs from the rest of the agent. */
export interface ModelReconcilerOptions {
  clock: Clock;
  log: Logger;
  client: Dispatcher;
  leaseKeeper: LeaseKeeper;
  drawRandom: () => number;
  /** Undefined while there is nothing to compare with. */
  listDesired: () => LoadedModel[] | undefined;
  /** Whether open work needs a model, which then is not unloaded yet. */
  isInUse: (id: string) => boolean;
}

/** Keeps one engine as configured. */
export interface ModelReconciler {
  /** Compares now, and orders what is missing; resolves to the time until the next comparison. */
  runOnce: () => Promise<number>;
  start: () => void;
  stop: () => void;
  dump: () => unknown;
}

/** Returns a keeper that is not started. */
export function createModelReconciler(options: ModelReconcilerOptions): ModelReconciler {
  const { clock, log, client, leaseKeeper, drawRandom, listDesired, isInUse } = options;
  let stopTimer: (() => void) | undefined;
  let stopped = false;
  let lastFencing = 0;

  async function runOnce(): Promise<number> {
    const intervalMs = RECONCILE_INTERVAL_MS * (0.5 + drawRandom());
    if ((await listPendingOrders()).length === 0) return intervalMs;
    const result = await leaseKeeper.tryAcquire();
    if (result.kind === 'wait') return result.waitMs;
    lastFencing = result.lease.fencing;
    // The lease is kept after a failure, since the order may still take effect.
    await sendOrders(result.lease, await listPendingOrders());
    await leaseKeeper.release(result.lease);
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

  /** Checks the lease when the connection is open, so that a pause before it sends nothing. */
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
