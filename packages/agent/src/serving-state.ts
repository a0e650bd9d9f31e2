/**
 * Work that this agent's backend server can serve: its configured capacity, and its configured
 * models or services, except models that its engine has not loaded yet.
 */
import type { ConfigurationReplica } from '@masticbend/state/configuration-replica';
import type { AgentSchedulerOptions } from '@masticbend/scheduling/agent-scheduler';
import { MAX_TIERS } from '@masticbend/settings/configuration';
import type { LoadedModel } from './backend-probe.js';
import { listDesiredModels, selectServed } from './orders.js';

/** Current capacity and served models or services. */
export interface ServingState {
  /** Updated in place; the scheduler reads them at each decision. */
  options: AgentSchedulerOptions;
  /** Sets the models the engine has loaded; returns whether the served models change. */
  setLoaded: (models: LoadedModel[] | undefined) => boolean;
}

/** Creates the state, which follows the configuration in force. */
export function createServingState(replica: ConfigurationReplica, server: string): ServingState {
  const options: AgentSchedulerOptions = {
    tiers: MAX_TIERS,
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
