/**
 * Composition root of an agent: creates the services and registers them with the kernel, which
 * starts them and stops them gracefully.
 */
import { readFileSync } from 'node:fs';
import type { Server } from 'node:http';
import type { Pool } from 'undici';
import { startAdministration } from '@masticbend/kernel/administration';
import { createSystemClock, type Clock } from '@masticbend/kernel/clock';
import type { ConnectionBounds } from '@masticbend/kernel/connection-bounds';
import { readDescriptorLimit } from '@masticbend/kernel/descriptor-limit';
import { createHttpPool } from '@masticbend/kernel/http-pool';
import {
  createKernel,
  waitUntilIdle,
  type Kernel,
  type Lifecycle,
} from '@masticbend/kernel/kernel';
import { createLogger, LogEvent, type Logger } from '@masticbend/kernel/log';
import { createMetrics, type Metrics } from '@masticbend/kernel/metrics';
import {
  createConfigurationExchange,
  type ConfigurationExchange,
} from '@masticbend/state/configuration-exchange';
import {
  createConfigurationReplica,
  type ConfigurationReplica,
} from '@masticbend/state/configuration-replica';
import { createIdempotencyRecords } from '@masticbend/state/idempotency';
import { createTableClient, type TableClient } from '@masticbend/state/table';
import { createDefaultBounds } from '@masticbend/scheduling/default-bounds';
import { createAgentScheduler } from '@masticbend/scheduling/agent-scheduler';
import { MAX_CONCURRENCY } from '@masticbend/settings/configuration';
import { parseAddress } from '@masticbend/settings/address';
import { type AgentSettings } from '@masticbend/settings/process-settings';
import { recordCall, registerAgentGauges } from './agent-metrics.js';
import { createCallRecords, type CallRecords } from './call-records.js';
import { createDispatcher, type Dispatcher } from './dispatcher.js';
import type { CallLimits } from './granted-calls.js';
import { createMeshServer, type MeshServer } from './mesh-server.js';
import { createQuotaService, type QuotaService } from './quota-service.js';
import { LeavingReason } from './reservations.js';
import { createServingState, type ServingState } from './serving-state.js';
import { createBackgroundTasks } from './background-tasks.js';

/** Longest wait for an answer of the table service. */
const TABLE_TIMEOUT_MS = 1_000;
/** Connections to the backend server in addition to those of running calls. */
const SPARE_CONNECTIONS = 4;
/** Limits until a configuration is in force. */
const ZERO_CALL_LIMITS: CallLimits = { bodyBytes: 0, streamBytes: 0 };

interface AgentServices {
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  connections: ConnectionBounds & Lifecycle;
  configuration: ConfigurationReplica & Lifecycle;
  exchange: ConfigurationExchange & Lifecycle;
  quotas: QuotaService & Lifecycle;
  administration: Lifecycle;
  table: TableClient & Lifecycle;
  records: CallRecords & Lifecycle;
  backend: Pool & Lifecycle;
  served: ServingState & Lifecycle;
  mesh: MeshServer & Lifecycle;
  dispatcher: Dispatcher & Lifecycle;
  upkeep: Lifecycle;
}

/** Creates an agent; start and stop it through the returned kernel. */
export async function createAgent(settings: AgentSettings): Promise<Kernel<AgentServices>> {
  const log = createLogger({ process: settings.instance }, settings.logLevel);
  const secret = readFileSync(settings.meshSecretFile, 'utf8').trim();
  const { backendServer } = settings;
  const kernel = createKernel<AgentServices>();

  kernel.provide('clock', createSystemClock);
  kernel.provide('log', () => log);
  kernel.provide('metrics', () => createMetrics(kernel.find('clock')));
  kernel.provide('connections', () =>
    createDefaultBounds(kernel.find('clock'), log, readDescriptorLimit()),
  );
  kernel.provide('configuration', () => createConfigurationReplica(log));
  kernel.provide('exchange', () => createExchangeService(kernel));
  kernel.provide('administration', () => createAdministrationService(kernel, settings));
  kernel.provide('table', () => createTableService(settings));
  kernel.provide('records', () => createRecordsService(kernel));
  kernel.provide('backend', () => createBackendService(settings));
  kernel.provide('served', () => createServingState(kernel.find('configuration'), backendServer));
  kernel.provide('mesh', () => createMeshService(kernel, settings, secret));
  kernel.provide('quotas', () => createQuotasService(kernel));
  kernel.provide('dispatcher', () => createDispatcherService(kernel));
  kernel.provide('upkeep', () => createBackgroundTasksService(kernel, settings));
  return kernel;
}

function createExchangeService(kernel: Kernel<AgentServices>): ConfigurationExchange {
  return createConfigurationExchange({
    replica: kernel.find('configuration'),
    clock: kernel.find('clock'),
    send: (entry, message) => kernel.find('mesh').send(entry, message),
  });
}

function createQuotasService(kernel: Kernel<AgentServices>): QuotaService {
  const mesh = kernel.find('mesh');
  return createQuotaService({
    clock: kernel.find('clock'),
    getConfiguration: kernel.find('configuration').getConfiguration,
    send: mesh.send,
    countEntries: () => mesh.listOwners().length,
  });
}

function createDispatcherService(kernel: Kernel<AgentServices>): Dispatcher & Lifecycle {
  const configuration = kernel.find('configuration');
  const dispatcher = createDispatcher({
    clock: kernel.find('clock'),
    log: kernel.find('log'),
    scheduler: createAgentScheduler(kernel.find('served').options),
    client: kernel.find('backend'),
    records: kernel.find('records'),
    getLimits: () => configuration.getConfiguration()?.limits ?? ZERO_CALL_LIMITS,
    send: (owner, message) => kernel.find('mesh').send(owner, message),
    onCallEnd: (outcome, usage) => recordCall(kernel.find('metrics'), outcome, usage),
  });
  return {
    ...dispatcher,
    async stop() {
      dispatcher.send({ kind: 'leaving', reason: LeavingReason.Stopping, leaving: true });
      await waitUntilIdle(dispatcher.countOpen);
      dispatcher.stop();
    },
  };
}

function createBackgroundTasksService(
  kernel: Kernel<AgentServices>,
  settings: AgentSettings,
): Lifecycle {
  return createBackgroundTasks({
    settings,
    clock: kernel.find('clock'),
    log: kernel.find('log'),
    client: kernel.find('backend'),
    table: kernel.find('table'),
    configuration: kernel.find('configuration'),
    served: kernel.find('served'),
    dispatcher: kernel.find('dispatcher'),
  });
}

function createTableService(settings: AgentSettings): TableClient & Lifecycle {
  const url = settings.platform.tableUrl;
  const table = createTableClient({ url, timeoutMs: TABLE_TIMEOUT_MS });
  return { ...table, stop: table.close };
}

function createBackendService(settings: AgentSettings): Pool & Lifecycle {
  const connections = MAX_CONCURRENCY + SPARE_CONNECTIONS;
  const pool = createHttpPool(settings.backendUrl, { connections, pipelining: 1 });
  return Object.assign(pool, { stop: () => pool.destroy() });
}

function createRecordsService(kernel: Kernel<AgentServices>): CallRecords & Lifecycle {
  const clock = kernel.find('clock');
  const records = createCallRecords({
    records: createIdempotencyRecords(kernel.find('table'), clock),
    clock,
    log: kernel.find('log'),
    drawRandom: Math.random,
  });
  return {
    ...records,
    async stop() {
      await records.waitUntilWritten();
      records.stop();
    },
  };
}

function createMeshService(
  kernel: Kernel<AgentServices>,
  settings: AgentSettings,
  secret: string,
): MeshServer & Lifecycle {
  const exchange = kernel.find('exchange');
  const identity = {
    instance: settings.instance,
    backendServer: settings.backendServer,
    secret,
  };
  const bounds = kernel.find('connections');
  const mesh = createMeshServer(identity, kernel.find('clock'), kernel.find('log'), bounds, {
    onOpen(owner, { revision, peers }) {
      exchange.addPeer(owner, revision);
      kernel.find('dispatcher').send({ kind: 'open', owner, peers });
    },
    onMessage(owner, message) {
      if (message.kind === 'quota-request') {
        kernel.find('quotas').handleRequest(owner, message);
      } else if (!exchange.handleMessage(owner, message)) {
        kernel.find('dispatcher').send({ kind: 'message', owner, message });
      }
    },
    onClose(owner) {
      exchange.removePeer(owner);
      kernel.find('dispatcher').send({ kind: 'gone', owner });
    },
    describe: () => ({
      revision: kernel.find('configuration').getRevision(),
      load: kernel.find('dispatcher').report(),
    }),
  });
  const { host, port } = parseAddress(settings.meshAddress);
  return { ...mesh, start: () => mesh.listen(host, port), stop: mesh.close };
}

function createAdministrationService(
  kernel: Kernel<AgentServices>,
  settings: AgentSettings,
): Lifecycle {
  const { host, port } = parseAddress(settings.administrationAddress);
  let server: Server | undefined;
  return {
    start() {
      const isReady = () => kernel.find('configuration').getRevision() > 0;
      const metrics = kernel.find('metrics');
      registerAgentGauges(metrics, {
        countOpen: () => kernel.find('dispatcher').countOpen(),
        countPendingRecords: () => kernel.find('records').countPending(),
        countEntries: () => kernel.find('mesh').listOwners().length,
        getRevision: () => kernel.find('configuration').getRevision(),
        isReady: () => kernel.find('dispatcher').report().ready,
      });
      server = startAdministration(host, port, {
        isReady,
        dump: () => kernel.dump(),
        renderMetrics: metrics.render,
        clock: kernel.find('clock'),
        bounds: kernel.find('connections'),
      });
      kernel.find('log').info(LogEvent.ProcessStarted, { backendServer: settings.backendServer });
    },
    stop() {
      server?.close();
      server?.closeAllConnections();
    },
  };
}
