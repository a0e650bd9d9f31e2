/**
 * Background tasks of an agent: probe its backend server, reconcile the models of its engine, and
 * mark the agent as leaving when the platform lists it as leaving or when the configuration drains
 * or removes its backend server.
 */
import type { Dispatcher as HttpClient } from 'undici';
import type { Clock } from '@masticbend/kernel/clock';
import type { Lifecycle } from '@masticbend/kernel/kernel';
import type { Logger } from '@masticbend/kernel/log';
import type { ConfigurationReplica } from '@masticbend/state/configuration-replica';
import { startInstanceWatch } from '@masticbend/state/instances';
import { createLeaseManager } from '@masticbend/state/lease';
import type { TableClient } from '@masticbend/state/table';
import type { AgentSettings } from '@masticbend/settings/process-settings';
import { probeEngine, probeService, startBackendProbe } from './backend-probe.js';
import type { Dispatcher } from './dispatcher.js';
import { createModelReconciler, ORDER_LEASE_MS } from './model-reconciler.js';
import { listDesiredModels } from './orders.js';
import { LeavingReason } from './reservations.js';
import type { ServingState } from './serving-state.js';

/** Dependencies of the background tasks. */
export interface BackgroundTasksOptions {
  settings: AgentSettings;
  clock: Clock;
  log: Logger;
  client: HttpClient;
  table: TableClient;
  configuration: ConfigurationReplica;
  served: ServingState;
  dispatcher: Dispatcher;
}

/** Creates the background tasks of one agent. */
export function createBackgroundTasks(options: BackgroundTasksOptions): Required<Lifecycle> {
  const { settings, clock, log, client, table, configuration, served, dispatcher } = options;
  const { backendServer, backendUrl, instance, platform } = settings;
  const stops: (() => void)[] = [];
  const getServer = () => configuration.getConfiguration()?.backendServers[backendServer];
  const isEngine = () => getServer()?.kind === 'model';
  const reconciler = createModelReconciler({
    clock,
    log,
    client,
    leaseManager: createLeaseManager({
      table,
      clock,
      name: backendServer,
      durationMs: ORDER_LEASE_MS,
      waitsForExpiry: () => getServer()?.checksFencing !== true,
    }),
    drawRandom: Math.random,
    listDesired: () =>
      isEngine() ? listDesiredModels(configuration.getConfiguration()!, backendServer) : undefined,
    isInUse: dispatcher.isInUse,
  });

  function setLeaving(reason: LeavingReason, leaving: boolean): void {
    dispatcher.send({ kind: 'leaving', reason, leaving });
  }

  function startProbe(): () => void {
    return startBackendProbe({
      clock,
      drawRandom: Math.random,
      probe: () => (isEngine() ? probeEngine(client) : probeService(backendUrl)),
      onResult(ready, { models }) {
        if (ready && served.setLoaded(models)) dispatcher.send({ kind: 'served' });
        dispatcher.send({ kind: 'health', ready });
      },
    });
  }

  function startLeavingWatch(): () => void {
    return startInstanceWatch({
      url: platform.instancesUrl,
      instance,
      clock,
      drawRandom: Math.random,
      onLeaving: () => setLeaving(LeavingReason.Listed, true),
    });
  }

  function startConfigurationWatch(): () => void {
    return configuration.subscribe(() => {
      const server = getServer();
      dispatcher.send({ kind: 'served' });
      setLeaving(LeavingReason.Removed, server === undefined);
      setLeaving(LeavingReason.Draining, server?.draining === true);
    });
  }

  return {
    start() {
      reconciler.start();
      stops.push(reconciler.stop, startProbe(), startLeavingWatch(), startConfigurationWatch());
    },
    stop() {
      for (const stop of stops) stop();
    },
    dump: () => ({ orders: reconciler.dump() }),
  };
}
