/** Orders to the engine stand-in: loaded models and its role, with or without a fencing check. */

/** Body of an order. */
export interface Order {
  fencing: number;
  order: 'load' | 'unload' | 'role';
  model?: string;
  adapter?: string;
  version?: string;
  role?: string;
}

/** What an engine was ordered, in order of arrival. */
export interface OrderRecord extends Order {
  accepted: boolean;
}

/** Models loaded in one engine. */
export interface OrderHandler {
  /** Carries out an order; false when its fencing number is older than one seen before. */
  accept: (order: Order) => boolean;
  isLoaded: (model: string) => boolean;
  listModels: () => { id: string; version?: string }[];
  records: OrderRecord[];
}

/** Returns an order book; an engine that is given no models serves every one. */
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
