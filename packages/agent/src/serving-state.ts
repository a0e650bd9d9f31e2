/**
 * What the backend server beside this agent can be given: the facts of the configuration, less
 * the models that its engine has not loaded yet.
 */
import type { ConfigurationReplica } from '@masticbend/state/configuration-replica';
import type { AgentSchedulerOptions } from '@masticbend/scheduling/agent-scheduler';
import { TIER_LIMIT } from '@masticbend/settings/configuration';
import type { LoadedModel } from './backend-probe.js';
import { listDesiredModels, selectServed } from './orders.js';

/** Facts the agent's scheduler reads at each decision. */
export interface ServingState {
  options: AgentSchedulerOptions;
  /** Notes what the engine has loaded; returns whether that changes what is served. */
  setLoaded: (models: LoadedModel[] | undefined) => boolean;
}

/** Returns the facts, kept up to date with the configuration in force. */
export function createServingState(replica: ConfigurationReplica, server: string): ServingState {
  const options: AgentSchedulerOptions = {
    tiers: TIER_LIMIT,
    concurrency: 0,
    queueLimit: 0,
    serves: [],
  };
  let loaded: LoadedModel[] | undefined;

  function update(): void {
    const configuration = replica.getConfiguration();
    const settings = configuration?.backendServers[server];
    options.concurrency = settings?.concurrency ?? 0;
    options.queueLimit = settings ? configuration.limits.queueLimit : 0;
    const desired = configuration ? listDesiredModels(configuration, server) : [];
    options.serves = selectServed(settings?.serves ?? [], desired, loaded);
  }

  replica.subscribe(update);
  return {
    options,
    setLoaded(models) {
      const before = options.serves.join();
      loaded = models;
      update();
      return options.serves.join() !== before;
    },
  };
}
