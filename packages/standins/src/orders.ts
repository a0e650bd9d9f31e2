/** Orders to the engine stand-in: load and unload models, with an optional fencing check. */

/** Body of an order. */
export interface Order {
  fencing: number;
  order: 'load' | 'unload' | 'role';
  model?: string;
  adapter?: string;
  version?: string;
  role?: string;
}

/** An order as received. */
export interface OrderRecord extends Order {
  accepted: boolean;
}

/** Handler of the orders to one engine, with its loaded models. */
export interface OrderHandler {
  /** Executes an order; returns false if the fencing check finds an earlier, higher number. */
  accept: (order: Order) => boolean;
  isLoaded: (model: string) => boolean;
  listModels: () => { id: string; version?: string }[];
  /** All orders, in order of arrival. */
  records: OrderRecord[];
}

/** Returns an order handler; without `models`, the engine serves every model. */
export function createOrderHandler(
  models: readonly string[] | undefined,
  checksFencing: boolean,
): OrderHandler {
  const loadedModels = new Map<string, string | undefined>(
    models?.map((name) => [name, undefined]),
  );
  const records: OrderRecord[] = [];
  let highestFencing = 0;

  function apply({ order, model, adapter, version }: Order): void {
    if (model === undefined) return;
    const name = adapter === undefined ? model : `${model}:${adapter}`;
    if (order === 'load') loadedModels.set(name, version);
    if (order === 'unload') loadedModels.delete(name);
  }

  return {
    accept(order) {
      const accepted = !checksFencing || order.fencing >= highestFencing;
      records.push({ ...order, accepted });
      if (!accepted) return false;
      highestFencing = Math.max(highestFencing, order.fencing);
      apply(order);
      return true;
    },
    isLoaded: (model) => models === undefined || loadedModels.has(model),
    listModels: () => [...loadedModels].map(([id, version]) => ({ id, version })),
    records,
  };
}
