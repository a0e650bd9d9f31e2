/** Computes the orders after which an engine has exactly the configured models loaded. */
import type { Configuration } from '@masticbend/settings/configuration';
import type { LoadedModel } from './backend-probe.js';

/** Order to load or unload a model or adapter, without its fencing number. */
export interface EngineOrder {
  order: 'load' | 'unload';
  model: string;
  adapter?: string;
  version?: string;
}

const ADAPTER_SEPARATOR = ':';

/** Returns the models and adapters that the configuration assigns to a backend server. */
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

/**
 * Returns the orders to send. Unloads come first, since they free memory. Adapters are unloaded
 * before models and loaded after them.
 */
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
 * Returns the models or services that a backend server can serve now. When an engine lists no
 * models, the configured ones are assumed to be loaded.
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
