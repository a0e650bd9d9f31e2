/** What this entry last heard of each backend server's agent, for operators. */
import type { LoadReport } from '@masticbend/protocol/message';
import type { Configuration } from '@masticbend/settings/configuration';

/** State of a backend server's agent as this entry sees it. */
export interface InstanceView {
  backendServer: string;
  dataCentre: string;
  connected: boolean;
  ready: boolean;
  leaving: boolean;
  /** Calls in progress from all entries. */
  running: number;
}

/** Keeps the last load report of each connected agent. */
export interface InstanceBoard {
  recordLoad: (agent: string, load: LoadReport) => void;
  removeAgent: (agent: string) => void;
  /** Returns a view of every backend server of the configuration. */
  list: (configuration: Configuration) => InstanceView[];
}

/** Returns an empty board. */
export function createInstanceBoard(): InstanceBoard {
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
