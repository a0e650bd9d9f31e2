/** Last load report of each backend server's agent at this entry, for operators. */
import type { LoadReport } from '@masticbend/protocol/message';
import type { Configuration } from '@masticbend/settings/configuration';

/** State of a backend server's agent as last reported to this entry. */
export interface InstanceView {
  backendServer: string;
  dataCentre: string;
  connected: boolean;
  ready: boolean;
  leaving: boolean;
  /** Number of calls in progress, from all entries. */
  running: number;
}

/** Keeps the last load report of each connected agent. */
export interface InstanceRegistry {
  recordLoad: (agent: string, load: LoadReport) => void;
  removeAgent: (agent: string) => void;
  /** Returns a view of every backend server of the configuration. */
  list: (configuration: Configuration) => InstanceView[];
}

/** Returns an empty registry. */
export function createInstanceRegistry(): InstanceRegistry {
  const loads = new Map<string, LoadReport>();
  return {
    recordLoad: (agent, load) => loads.set(agent, load),
    removeAgent: (agent) => loads.delete(agent),
    list: (configuration) =>
      Object.entries(configuration.backendServers).map(([backendServer, settings]) => {
        const load = loads.get(backendServer);
        return {
          backendServer,
          dataCentre: settings.dataCentre,
          connected: load !== undefined,
          ready: load?.ready ?? false,
          leaving: load?.leaving ?? settings.draining,
          running: load?.running ?? 0,
        };
      }),
  };
}
