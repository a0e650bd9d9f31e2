/** Which orders bring an engine from the models it has loaded to those the configuration wants. */
import type { Configuration } from '@masticbend/settings/configuration';
import type { LoadedModel } from './backend-probe.js';

/** Order to an engine, without its fencing number. */
export interface EngineOrder {
  order: 'load' | 'unload';
  model: string;
  adapter?: string;
  version?: string;
}

const ADAPTER_SEPARATOR = ':';

/** Returns the models and adapters that a backend server should have loaded. */
export function listDesiredModels(configuration: Configuration, server: string): LoadedModel[] {
  const { serves = [] } = configuration.backendServers[server] ?? {};
  return serves.flatMap((name) => {
    const model = configuration.models[name];
    if (!model) return [];
    const { version, adapters } = model;
    const names = adapters.map((adapter) => `${name}${ADAPTER_SEPARATOR}${adapter}`);
    return [name, ...names].map((id) => ({ id, version }));
  });
}

/** Returns the orders to give: unloads first, since they free memory, and adapters last. */
export function computeOrders(
  desired: readonly LoadedModel[],
  loaded: readonly LoadedModel[],
): EngineOrder[] {
  const desiredIds = new Set(desired.map(({ id }) => id));
  const loadedVersions = new Map(loaded.map(({ id, version }) => [id, version]));
  const unloads = loaded.filter(({ id }) => !desiredIds.has(id));
  const loads = desired.filter(
    ({ id, version }) => !loadedVersions.has(id) || loadedVersions.get(id) !== version,
  );
  const compareAdapterLast = (left: LoadedModel, right: LoadedModel) =>
    Number(left.id.includes(ADAPTER_SEPARATOR)) - Number(right.id.includes(ADAPTER_SEPARATOR));
  return [
    ...unloads
      .sort((left, right) => compareAdapterLast(right, left))
      .map(({ id }) => createOrder('unload', id)),
    ...loads.sort(compareAdapterLast).map(({ id, version }) => createOrder('load', id, version)),
  ];
}

/**
 * Returns what a backend server can serve now. An engine that lists nothing is taken at the
 * configuration's word.
 */
export function selectServed(
  serves: readonly string[],
  desired: readonly LoadedModel[],
  loaded: readonly LoadedModel[] | undefined,
): string[] {
  if (!loaded || loaded.length === 0 || desired.length === 0) return [...serves];
  const ids = new Set(loaded.map(({ id }) => id));
  return desired.map(({ id }) => id).filter((id) => ids.has(id));
}

function createOrder(order: 'load' | 'unload', id: string, version?: string): EngineOrder {
  const [model = id, adapter] = id.split(ADAPTER_SEPARATOR);
  return { order, model, adapter, version };
}
