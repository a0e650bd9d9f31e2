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
export const ORDER_LIMIT_MS = 5_000;
/** Mean interval of comparisons; each is spread by half of it either way. */
const CHECK_INTERVAL_MS = 10_000;
const STATUS_OK = 200;

/** What the keeper needs from the rest of the agent. */
export interface OrderKeeperOptions {
  clock: Clock;
  log: Logger;
  client: Dispatcher;
  leaseKeeper: LeaseKeeper;
  drawRandom: () => number;
  /** Undefined while there is nothing to compare with. */
  listWanted: () => LoadedModel[] | undefined;
  /** Whether open work needs a model, which then is not unloaded yet. */
  isInUse: (id: string) => boolean;
}

/** Keeps one engine as configured. */
export interface OrderKeeper {
  /** Compares now, and orders what is missing; resolves to the time until the next comparison. */
  runOnce: () => Promise<number>;
  start: () => void;
  stop: () => void;
  dump: () => unknown;
}

/** Returns a keeper that is not started. */
export function createOrderKeeper(options: OrderKeeperOptions): OrderKeeper {
  const { clock, log, client, leaseKeeper, drawRandom, listWanted, isInUse } = options;
  let stopTimer: (() => void) | undefined;
  let stopped = false;
  let lastFencing = 0;

  async function runOnce(): Promise<number> {
    const intervalMs = CHECK_INTERVAL_MS * (0.5 + drawRandom());
    if ((await listDueOrders()).length === 0) return intervalMs;
    const result = await leaseKeeper.tryAcquire();
    if (result.kind === 'wait') return result.waitMs;
    lastFencing = result.lease.fencing;
    // The lease is kept after a failure, since the order may still take effect.
    await sendOrders(result.lease, await listDueOrders());
    await leaseKeeper.release(result.lease);
    return intervalMs;
  }

  async function listDueOrders(): Promise<EngineOrder[]> {
    const wanted = listWanted();
    if (!wanted) return [];
    const orders = computeOrders(wanted, await fetchModels(client));
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
    const hasTime = () => clock.now() + ORDER_LIMIT_MS <= lease.endsAt;
    const fields = { order: order.order, model: order.model, adapter: order.adapter, fencing };
    log.info(LogEvent.OrderStarted, fields);
    const { statusCode, body } = await createCheckedClient(client, hasTime).request({
      method: 'POST',
      path: '/v1/orders',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ fencing, ...order }),
      signal: AbortSignal.timeout(ORDER_LIMIT_MS),
    });
    await body.dump();
    const accepted = statusCode === STATUS_OK;
    log.info(accepted ? LogEvent.OrderFinished : LogEvent.OrderRefused, { ...fields, statusCode });
    return accepted;
  }

  function runAtInterval(): void {
    runOnce()
      .catch(() => CHECK_INTERVAL_MS * (0.5 + drawRandom()))
      .then((waitMs) => {
        if (!stopped) stopTimer = clock.startTimer(waitMs, runAtInterval);
      });
  }

  return {
    runOnce,
    start() {
      stopTimer = clock.startTimer(CHECK_INTERVAL_MS * drawRandom(), runAtInterval);
    },
    stop() {
      stopped = true;
      stopTimer?.();
    },
    dump: () => ({ lastFencing }),
  };
}
