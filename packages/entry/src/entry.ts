/**
 * Composition root of an entry: creates the services and registers them with the kernel, which
 * starts and stops them.
 */
import { readFileSync } from 'node:fs';
import type { Server } from 'node:http';
import type { App } from '@tinyhttp/app';
import { applyServerBounds } from '@masticbend/kernel/bounded-server';
import { startAdministration } from '@masticbend/kernel/administration';
import { createSystemClock, type Clock } from '@masticbend/kernel/clock';
import type { ConnectionBounds } from '@masticbend/kernel/connection-bounds';
import { readDescriptorLimit } from '@masticbend/kernel/descriptor-limit';
import { createKernel, type Kernel, type Lifecycle } from '@masticbend/kernel/kernel';
import { createLogger, LogEvent, type Logger } from '@masticbend/kernel/log';
import { createMetrics, Metric, type Metrics } from '@masticbend/kernel/metrics';
import {
  createConfigurationExchange,
  type ConfigurationExchange,
} from '@masticbend/state/configuration-exchange';
import {
  createConfigurationReplica,
  type ConfigurationReplica,
} from '@masticbend/state/configuration-replica';
import { createConfigurationStore } from '@masticbend/state/configuration-store';
import { createObjectStore } from '@masticbend/state/object-store';
import { createTableClient } from '@masticbend/state/table';
import { createDefaultBounds } from '@masticbend/scheduling/default-bounds';
import { createLengthEstimator, type LengthEstimator } from '@masticbend/scheduling/output-length';
import { createRetryBudget, type RetryBudget } from '@masticbend/scheduling/retry-budget';
import { createRouter, type Router } from '@masticbend/scheduling/router';
import type { Configuration } from '@masticbend/settings/configuration';
import { parseAddress } from '@masticbend/settings/address';
import { type EntrySettings } from '@masticbend/settings/process-settings';
import { createAccountLimits, type AccountLimits } from './account-limits.js';
import { addAdministrationRoutes } from './administration.js';
import { CALLER_TIMEOUTS, createCallerServer } from './caller-server.js';
import { createCallersLifecycle } from './callers.js';
import {
  createConfigurationSync,
  readBootstrapConfiguration,
  type ConfigurationSync,
} from './configuration.js';
import { createInstanceRegistry, type InstanceRegistry } from './instance-registry.js';
import { createMeshClient, type MeshClient } from './mesh-client.js';
import { createReadiness } from './readiness.js';
import { REQUEST_BOUNDS, type RequestResult } from './request-state.js';
import { countTokens, createResultRecorder } from './result-recorder.js';
import { createRequests, type Requests } from './requests.js';
import { chooseSubset } from './subset.js';

/** Timeout of one call to the platform. */
const PLATFORM_TIMEOUT_MS = 2_000;

interface EntryServices {
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  connections: ConnectionBounds & Lifecycle;
  lengths: LengthEstimator;
  retries: RetryBudget;
  configuration: ConfigurationReplica & Lifecycle;
  exchange: ConfigurationExchange & Lifecycle;
  sync: ConfigurationSync & Lifecycle;
  instances: InstanceRegistry & Lifecycle;
  router: Router & Lifecycle;
  limits: AccountLimits & Lifecycle;
  requests: Requests & Lifecycle;
  mesh: MeshClient & Lifecycle;
  callers: Lifecycle;
  administration: Lifecycle;
}

/** Creates an entry; the returned kernel starts and stops it. */
export async function createEntry(settings: EntrySettings): Promise<Kernel<EntryServices>> {
  const log = createLogger({ process: settings.instance }, settings.logLevel);
  const secret = readFileSync(settings.meshSecretFile, 'utf8').trim();
  const state = { stopping: false };
  const kernel = createKernel<EntryServices>();

  kernel.provide('clock', createSystemClock);
  kernel.provide('log', () => log);
  kernel.provide('metrics', () => createMetrics(kernel.find('clock')));
  kernel.provide('connections', () =>
    createDefaultBounds(kernel.find('clock'), log, readDescriptorLimit()),
  );
  kernel.provide('lengths', createLengthEstimator);
  kernel.provide('retries', createRetryBudget);
  kernel.provide('configuration', () => createConfigurationReplica(log));
  kernel.provide('exchange', () => createExchangeService(kernel));
  kernel.provide('instances', createInstanceRegistry);
  kernel.provide('router', () => createRouter(Math.random));
  kernel.provide('mesh', () => createMeshService(kernel, settings, secret));
  kernel.provide('sync', () => createSyncService(kernel, settings));
  kernel.provide('limits', () => createLimitsService(kernel));
  kernel.provide('requests', () =>
    createRequests({
      clock: kernel.find('clock'),
      log,
      router: kernel.find('router'),
      bounds: REQUEST_BOUNDS,
      send: (agent, message) => kernel.find('mesh').send(agent, message),
      countBufferedBytes: (agent) => kernel.find('mesh').countBufferedBytes(agent),
      tryTakeRetry: () => kernel.find('retries').tryTake(),
      onResult: createResultHandler(kernel),
    }),
  );
  kernel.provide('administration', () => createAdministrationService(kernel, settings, state));
  kernel.provide('callers', () => createCallersService(kernel, settings, state));
  return kernel;
}

function createMeshService(
  kernel: Kernel<EntryServices>,
  settings: EntrySettings,
  secret: string,
): MeshClient & Lifecycle {
  const { instance, dataCentre } = settings;
  const clock = kernel.find('clock');
  const router = kernel.find('router');
  const configuration = kernel.find('configuration');
  const exchange = kernel.find('exchange');
  const instances = kernel.find('instances');
  const mesh = createMeshClient(
    { instance, dataCentre, secret },
    clock,
    kernel.find('log'),
    Math.random,
    {
      onOpen(agent, welcome) {
        router.updateAgent(clock.now(), agent, welcome.load);
        instances.recordLoad(agent, welcome.load);
        kernel.find('requests').send({ kind: 'agent-open', agent });
        exchange.addPeer(agent, welcome.revision);
      },
      onMessage(agent, message) {
        if (exchange.handleMessage(agent, message)) return;
        if (message.kind === 'quota') kernel.find('limits').receive(message);
        else if (message.kind === 'load') {
          router.updateAgent(clock.now(), agent, message.load);
          instances.recordLoad(agent, message.load);
        } else kernel.find('requests').send({ kind: 'message', agent, message });
      },
      onClose(agent) {
        router.removeAgent(agent);
        instances.removeAgent(agent);
        exchange.removePeer(agent);
        kernel.find('requests').send({ kind: 'agent-gone', agent });
      },
      onSilent(agent) {
        router.removeAgent(agent);
        kernel.find('requests').send({ kind: 'agent-silent', agent });
      },
      onRetire: (agent) => router.removeAgent(agent),
      countOpen: (agent) => kernel.find('requests').countOpenAt(agent),
      getRevision: configuration.getRevision,
    },
  );
  return {
    ...mesh,
    start() {
      const bootstrap = readBootstrapConfiguration(settings.initialConfigurationFile);
      if (bootstrap) mesh.setAgents(listAgentAddresses(bootstrap, settings));
      configuration.subscribe((next) => mesh.setAgents(listAgentAddresses(next, settings)));
    },
    stop: () => mesh.close(),
  };
}

function createExchangeService(kernel: Kernel<EntryServices>): ConfigurationExchange {
  return createConfigurationExchange({
    replica: kernel.find('configuration'),
    clock: kernel.find('clock'),
    send: (agent, message) => kernel.find('mesh').send(agent, message),
  });
}

function createSyncService(
  kernel: Kernel<EntryServices>,
  settings: EntrySettings,
): ConfigurationSync {
  const { tableUrl, objectUrl } = settings.platform;
  return createConfigurationSync({
    replica: kernel.find('configuration'),
    exchange: kernel.find('exchange'),
    store: createConfigurationStore(
      createTableClient({ url: tableUrl, timeoutMs: PLATFORM_TIMEOUT_MS }),
      createObjectStore({ url: objectUrl, timeoutMs: PLATFORM_TIMEOUT_MS }),
    ),
    clock: kernel.find('clock'),
    log: kernel.find('log'),
    drawRandom: Math.random,
    initialFile: settings.initialConfigurationFile,
  });
}

function createAdministrationService(
  kernel: Kernel<EntryServices>,
  settings: EntrySettings,
  state: { stopping: boolean },
): Lifecycle {
  const { host, port } = parseAddress(settings.administrationAddress);
  const { getConfiguration } = kernel.find('configuration');
  const { canServe } = kernel.find('router');
  const canServeTargets = createReadiness(kernel.find('clock'), canServe, getConfiguration);
  let server: Server | undefined;
  return {
    start() {
      const isReady = () => !state.stopping && canServeTargets();
      const addRoutes = (app: App) =>
        addAdministrationRoutes(app, {
          log: kernel.find('log'),
          replica: kernel.find('configuration'),
          sync: kernel.find('sync'),
          listInstances: kernel.find('instances').list,
        });
      const metrics = kernel.find('metrics');
      metrics.registerGauge(Metric.OpenRequests, kernel.find('requests').countOpen);
      metrics.registerGauge(Metric.ConnectedAgents, kernel.find('mesh').countConnected);
      metrics.registerGauge(Metric.ConfigurationRevision, kernel.find('configuration').getRevision);
      server = startAdministration(host, port, {
        isReady,
        dump: () => kernel.dump(),
        renderMetrics: metrics.render,
        clock: kernel.find('clock'),
        bounds: kernel.find('connections'),
        addRoutes,
      });
    },
    stop() {
      server?.close();
      server?.closeAllConnections();
    },
  };
}

function createCallersService(
  kernel: Kernel<EntryServices>,
  settings: EntrySettings,
  state: { stopping: boolean },
): Lifecycle {
  const { host, port } = parseAddress(settings.callerAddress);
  const log = kernel.find('log');
  const callers = createCallerServer({
    log,
    requests: kernel.find('requests'),
    timeouts: CALLER_TIMEOUTS,
    getConfiguration: kernel.find('configuration').getConfiguration,
    findLength: kernel.find('lengths').estimate,
    limits: kernel.find('limits'),
    isStopping: () => state.stopping,
  });
  applyServerBounds(callers.server, {
    clock: kernel.find('clock'),
    bounds: kernel.find('connections'),
  });
  const { lameDuckMs } = settings;
  const onStopping = () => {
    state.stopping = true;
    log.info(LogEvent.ProcessStopping);
  };
  const lifecycle = createCallersLifecycle({ callers, host, port, lameDuckMs, onStopping });
  return {
    async start() {
      await lifecycle.start();
      log.info(LogEvent.ProcessStarted, { address: settings.callerAddress });
    },
    stop: lifecycle.stop,
  };
}

function createLimitsService(kernel: Kernel<EntryServices>): AccountLimits & Lifecycle {
  const mesh = kernel.find('mesh');
  const configuration = kernel.find('configuration');
  const limits = createAccountLimits({
    clock: kernel.find('clock'),
    getConfiguration: configuration.getConfiguration,
    send: mesh.send,
    isConnected: mesh.isConnected,
  });
  configuration.subscribe((next) => limits.setAgents(Object.keys(next.backendServers)));
  return limits;
}

function createResultHandler(kernel: Kernel<EntryServices>): (result: RequestResult) => void {
  const recordResult = createResultRecorder(
    kernel.find('metrics'),
    kernel.find('lengths'),
    kernel.find('retries'),
  );
  const limits = kernel.find('limits');
  return (result) => {
    recordResult(result);
    limits.finish(result.id, countTokens(result));
  };
}

function listAgentAddresses(configuration: Configuration, settings: EntrySettings) {
  const names = chooseSubset(configuration, settings.instance, settings.dataCentre);
  const servers = configuration.backendServers;
  return new Map(names.map((name) => [name, parseAddress(servers[name]!.agent)]));
}
