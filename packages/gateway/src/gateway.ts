/**
 * Wires one entry of the gateway: services found by name, the beliefs they share and the order in
 * which they stop.
 */
import { randomBytes } from 'node:crypto';
import { createServer, type Server } from 'node:http';
import { createElapsedTime, createSystemClock, type Clock } from '@masticbend/kernel/clock';
import { createKernel, type Kernel, type Lifecycle } from '@masticbend/kernel/kernel';
import { createLogger, LogEvent, type Logger } from '@masticbend/kernel/log';
import { createMetrics, Metric, type Metrics } from '@masticbend/kernel/metrics';
import { decodeBackendServer, SERVERS_TABLE } from '@masticbend/platform/backend-servers';
import {
  CONFIGURATION_KEY,
  CONFIGURATION_TABLE,
  decodeConfiguration,
} from '@masticbend/platform/configuration';
import { READINESS_PATH } from '@masticbend/platform/ingress';
import { createStore, type Store, type StoreRow } from '@masticbend/platform/store';
import { createRepeatBudget } from '@masticbend/scheduling/repeat-budget';
import { createServerBoard, type ServerBoard } from '@masticbend/scheduling/server-board';
import { createServerList, type ServerChange } from '@masticbend/scheduling/server-list';
import { createSharedLimits, type SharedLimits } from '@masticbend/scheduling/shared-limit';
import { createWaitingLine } from '@masticbend/scheduling/waiting-line';
import type { AccountLimit, RoutingConfiguration } from '@masticbend/settings/routing';
import { parseAddress } from '@masticbend/settings/address';
import { createBackendClient, type BackendClient } from './backend-client.js';
import { createConfigurationView, type ConfigurationView } from './configuration-view.js';
import { createIngress, startServer, type Ingress } from './ingress.js';
import { createMembers, type Members } from './members.js';
import { createPeerMesh, type PeerMesh } from './peer-mesh.js';
import { createPermitClient, type PermitClient } from './permit-client.js';
import { createRequests, type Requests } from './requests.js';
import type { GatewaySettings } from './settings.js';
import { createTableFeed, type TableFeed } from './table-feed.js';

/** Part of the allowed age of keys that is used; the rest covers the way of a request. */
const FRESHNESS_PART = 0.97;
/** Age of the last read from which an entry asks for no new callers, as a part of the same. */
const READINESS_PART = 0.6;
/** Part of the time allowed for a change after which the store is read again at the latest. */
const READ_INTERVAL_PART = 0.55;
/** Time after SIGTERM until the balancer has surely noticed, in milliseconds. */
const LAME_DUCK_MS = 2_600;
/** Part of the grace period after which the process leaves whatever still runs. */
const GRACE_PART = 0.97;
const STOP_CHECK_MS = 50;
const INCARNATION_BYTES = 6;

interface GatewayServices {
  clock: Clock;
  log: Logger;
  metrics: Metrics;
  store: Store & Lifecycle;
  client: BackendClient & Lifecycle;
  board: ServerBoard & Lifecycle;
  limits: SharedLimits & Lifecycle;
  view: ViewService & Lifecycle;
  servers: TableFeed & Lifecycle;
  requests: Requests & Lifecycle;
  ingress: Ingress & Lifecycle;
  members: Members & Lifecycle;
  permits: PermitClient & Lifecycle;
  mesh: PeerMesh & Lifecycle;
  administration: Lifecycle;
}

/** The configuration in force and how fresh it is. */
interface ViewService {
  getView: () => ConfigurationView | undefined;
  areKeysFresh: () => boolean;
  isRecent: () => boolean;
  getAgeMs: () => number;
}

/** A running entry. */
export interface Gateway {
  start: () => Promise<void>;
  /** Finishes what callers have sent, within the grace period. */
  stop: () => Promise<void>;
  /** Ends at once, whatever still runs. */
  kill: () => Promise<void>;
  dump: () => unknown;
  log: Logger;
}

/** Builds an entry. */
export function createGateway(settings: GatewaySettings): Gateway {
  const incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
  const log = createLogger({ process: settings.instance, life: incarnation }, settings.logLevel);
  const clock = createSystemClock();
  const getElapsed = createElapsedTime(clock);
  const kernel = createKernel<GatewayServices>();
  const state = { stopping: false };

  kernel.provide('clock', () => clock);
  kernel.provide('log', () => log);
  kernel.provide('metrics', () => createMetrics(clock));
  kernel.provide('store', () => createStoreService(settings.storeAddress));
  kernel.provide('client', createClientService);
  kernel.provide('board', () => createServerBoard(settings.dataCentre));
  kernel.provide('limits', createSharedLimits);
  kernel.provide('view', () => createViewService(kernel, settings, getElapsed));
  kernel.provide('servers', () => createServersService(kernel, settings, getElapsed));
  kernel.provide('requests', () => createRequestsService(kernel, settings));
  kernel.provide('permits', () => createPermitsService(kernel, settings));
  kernel.provide('members', () => createMembersService(kernel, settings, incarnation, getElapsed));
  kernel.provide('mesh', () => createMeshService(kernel, settings, incarnation));
  kernel.provide('ingress', () => createIngressService(kernel, settings));
  kernel.provide('administration', () => createAdministration(kernel, settings, state));

  return {
    log,
    async start() {
      await kernel.start();
      log.info(LogEvent.ProcessStarted, { address: settings.callerAddress });
    },
    async stop() {
      const stopAt = clock.now() + settings.bounds.graceS * 1_000 * GRACE_PART;
      log.info(LogEvent.ProcessStopping, { open: kernel.find('requests').countOpen() });
      state.stopping = true;
      await finishCallers(kernel, clock, stopAt);
      const open = kernel.find('requests').countOpen();
      await kernel.stop();
      log.info(LogEvent.ProcessStopped, { open });
    },
    kill: () => kernel.stop(),
    dump: () => kernel.dump(),
  };
}

/** Serves on until the balancer sends no more callers, then until the last one is answered. */
async function finishCallers(
  kernel: Kernel<GatewayServices>,
  clock: Clock,
  stopAt: number,
): Promise<void> {
  const ingress = kernel.find('ingress');
  const requests = kernel.find('requests');
  const closeAt = clock.now() + LAME_DUCK_MS;
  ingress.beginStop();
  while (clock.now() < closeAt) await waitFor(STOP_CHECK_MS);
  ingress.refuseNew();
  do {
    ingress.closeIdle();
    await waitFor(STOP_CHECK_MS);
  } while (requests.countOpen() > 0 && clock.now() < stopAt);
}

function waitFor(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

function createStoreService(address: string): Store & Lifecycle {
  const store = createStore(address);
  return { ...store, stop: store.close };
}

function createClientService(): BackendClient & Lifecycle {
  const client = createBackendClient();
  return { ...client, stop: client.close };
}

function createViewService(
  kernel: Kernel<GatewayServices>,
  settings: GatewaySettings,
  getElapsed: () => number,
): ViewService & Lifecycle {
  const log = kernel.find('log');
  const { keyFreshnessMs, configurationMs } = settings.bounds;
  let view: ConfigurationView | undefined;
  let wereFresh = false;

  function applyRows(rows: readonly StoreRow[]): void {
    const row = rows.filter(({ key, deleted }) => key === CONFIGURATION_KEY && !deleted).at(-1);
    if (!row) return;
    const configuration = decodeConfiguration(row.value);
    if (!configuration) {
      log.error(LogEvent.ConfigurationRejected, {
        revision: row.revision,
        bytes: row.value.length,
      });
      return;
    }
    if (view && configuration.version <= view.configuration.version) return;
    view = createConfigurationView(configuration);
    log.info(LogEvent.ConfigurationApplied, {
      version: configuration.version,
      revision: row.revision,
      routes: configuration.routes.length,
      accounts: configuration.accounts.length,
      keys: view.accounts.size,
    });
    kernel.find('limits').setLimits(kernel.find('clock').now(), listLimits(configuration));
    updateAgents(kernel);
    kernel.find('ingress').applyLimits();
  }

  const feed = createTableFeed({
    intervalMs: configurationMs * READ_INTERVAL_PART,
    store: kernel.find('store'),
    table: CONFIGURATION_TABLE,
    clock: kernel.find('clock'),
    getElapsed,
    log,
    events: { onTable: applyRows, onChanges: applyRows },
  });

  function getAgeMs(): number {
    const confirmedAt = feed.getConfirmedAt();
    return confirmedAt === undefined ? Infinity : getElapsed() - confirmedAt;
  }

  function checkKeys(): boolean {
    const isFresh =
      getAgeMs() < keyFreshnessMs * FRESHNESS_PART && kernel.find('members').isLeaseHeld();
    if (isFresh !== wereFresh) {
      wereFresh = isFresh;
      const ageMs = Math.round(Math.min(getAgeMs(), Number.MAX_SAFE_INTEGER));
      log.info(isFresh ? LogEvent.KeysFresh : LogEvent.KeysStale, { ageMs });
    }
    return isFresh;
  }

  return {
    start: feed.start,
    stop: feed.stop,
    getView: () => view,
    areKeysFresh: checkKeys,
    isRecent: () => getAgeMs() < keyFreshnessMs * READINESS_PART,
    getAgeMs,
    dump: () => ({ version: view?.configuration.version, revision: feed.getRevision() }),
  };
}

/** Only engines have an agent beside them; the configuration tells which servers are engines. */
function updateAgents(kernel: Kernel<GatewayServices>): void {
  const services = kernel.find('view').getView()?.configuration.services;
  const servers = kernel
    .find('board')
    .listServers()
    .map(({ server }) => server);
  const engines = servers.filter(({ service }) => services?.get(service)?.engine !== undefined);
  kernel.find('permits').setServers(engines);
}

function listLimits({ accounts }: RoutingConfiguration): Map<string, AccountLimit> {
  return new Map(accounts.flatMap(({ name, limit }) => (limit ? [[name, limit] as const] : [])));
}

function createServersService(
  kernel: Kernel<GatewayServices>,
  { bounds }: GatewaySettings,
  getElapsed: () => number,
): TableFeed & Lifecycle {
  const log = kernel.find('log');
  const clock = kernel.find('clock');
  const board = kernel.find('board');
  const client = kernel.find('client');
  const list = createServerList();
  let stopExpiry = () => {};
  let getRevision = () => 0;

  function applyChanges(changes: ServerChange[]): void {
    for (const { server, change } of changes) {
      log.info(LogEvent.ServerChanged, {
        server: server.id,
        service: server.service,
        address: server.address,
        born: server.bornAt,
        state: server.state,
        change,
        revision: getRevision(),
      });
    }
    const servers = list.list();
    board.setServers(servers);
    client.retain(servers);
    updateAgents(kernel);
    scheduleExpiry();
    kernel.find('requests').pump();
  }

  function scheduleExpiry(): void {
    stopExpiry();
    const expiresAt = list.findNextExpiry();
    if (expiresAt === undefined) return;
    stopExpiry = clock.startTimer(Math.max(1, expiresAt - getElapsed()), () =>
      applyChanges(list.expire(getElapsed())),
    );
  }

  /** A row that names no usable server is as good as none. */
  function applyRow({ key, value, deleted }: StoreRow): ServerChange[] {
    const server = deleted ? undefined : decodeBackendServer(key, value);
    return server ? list.set(server) : list.remove(getElapsed(), key);
  }

  const feed = createTableFeed({
    intervalMs: bounds.leavingMs * READ_INTERVAL_PART,
    store: kernel.find('store'),
    table: SERVERS_TABLE,
    clock,
    getElapsed,
    log,
    events: {
      onTable(rows) {
        const servers = rows.map(({ key, value }) => decodeBackendServer(key, value));
        const usable = servers.filter((server) => server !== undefined);
        applyChanges(list.setAll(getElapsed(), usable));
      },
      onChanges: (rows) => applyChanges(rows.flatMap(applyRow)),
      onRestored: () => list.recordReturn(getElapsed()),
    },
  });
  getRevision = feed.getRevision;
  return { ...feed, dump: () => board.listServers().map(({ server }) => server) };
}

function createRequestsService(
  kernel: Kernel<GatewayServices>,
  { bounds }: GatewaySettings,
): Requests {
  const metrics = kernel.find('metrics');
  const view = kernel.find('view');
  return createRequests({
    clock: kernel.find('clock'),
    log: kernel.find('log'),
    drawRandom: Math.random,
    client: kernel.find('client'),
    board: kernel.find('board'),
    line: createWaitingLine(),
    limits: kernel.find('limits'),
    permits: kernel.find('permits'),
    repeats: createRepeatBudget({
      ratio: bounds.repeatRatio,
      slack: bounds.repeatSlack,
      windowMs: bounds.repeatWindowS * 1_000,
    }),
    getView: view.getView,
    areKeysFresh: view.areKeysFresh,
    countInstances: () => kernel.find('members').listOthers().length + 1,
    recordOutcome({ tier, outcome, totalMs }) {
      metrics.addCount(Metric.RequestsTotal, { tier, outcome }, 1);
      metrics.recordDuration(Metric.RequestDuration, { tier }, totalMs);
    },
  });
}

function createPermitsService(
  kernel: Kernel<GatewayServices>,
  { instance, meshAddress }: GatewaySettings,
): PermitClient {
  const requests = () => kernel.find('requests');
  return createPermitClient({
    instance,
    port: parseAddress(meshAddress).port,
    clock: kernel.find('clock'),
    log: kernel.find('log'),
    events: {
      onPermit: (server, request) => requests().receivePermit(server, request),
      onRefusal: (server, request, waitMs) => requests().receiveRefusal(server, request, waitMs),
      onLost: (server, request) => requests().receiveLoss(server, request),
    },
  });
}

function createMembersService(
  kernel: Kernel<GatewayServices>,
  { instance, meshAddress }: GatewaySettings,
  incarnation: string,
  getElapsed: () => number,
): Members {
  const members: Members = createMembers({
    store: kernel.find('store'),
    self: { instance, address: meshAddress },
    incarnation,
    clock: kernel.find('clock'),
    getElapsed,
    log: kernel.find('log'),
    onChange: () => kernel.find('mesh').setMembers(members.listOthers()),
  });
  return members;
}

function createMeshService(
  kernel: Kernel<GatewayServices>,
  { instance, meshAddress }: GatewaySettings,
  incarnation: string,
): PeerMesh {
  const clock = kernel.find('clock');
  const log = kernel.find('log');
  const board = kernel.find('board');
  const limits = kernel.find('limits');
  const members = kernel.find('members');
  const permits = kernel.find('permits');
  let share = 0;

  /** The part of all entries that this one hears, itself included. */
  function updateShare(heardPeers: number): void {
    const heard = heardPeers + 1;
    const all = Math.max(heard, members.listOthers().length + 1);
    const next = members.isLeaseHeld() ? heard / all : 0;
    if (next === share) return;
    share = next;
    limits.setShare(clock.now(), share);
    log.info(LogEvent.LimitShareChanged, { share: Number(share.toFixed(3)), heard, all });
  }

  const mesh: PeerMesh = createPeerMesh({
    self: { instance, address: meshAddress },
    incarnation,
    clock,
    log,
    describe: () => ({
      running: board.listRunning(permits.findLoad),
      admitted: limits.listAdmitted(),
    }),
    onReport(peer, { running, admitted }) {
      board.setPeerLoad(peer, running);
      for (const [account, units] of admitted) limits.receive(clock.now(), account, units);
      kernel.find('requests').pump();
    },
    onLost: (peer) => board.setPeerLoad(peer, new Map()),
    onRound: updateShare,
  });
  return mesh;
}

function createIngressService(
  kernel: Kernel<GatewayServices>,
  { callerAddress }: GatewaySettings,
): Ingress {
  return createIngress({
    address: callerAddress,
    clock: kernel.find('clock'),
    log: kernel.find('log'),
    requests: kernel.find('requests'),
    getLimits: () => kernel.find('view').getView()?.configuration.limits,
  });
}

/** Serves readiness to the balancer, and metrics and the state dump to operators. */
function createAdministration(
  kernel: Kernel<GatewayServices>,
  settings: GatewaySettings,
  state: { stopping: boolean },
): Lifecycle {
  const log = kernel.find('log');
  const view = kernel.find('view');
  const metrics = kernel.find('metrics');
  const servers: Server[] = [];
  let wasReady = false;

  function isReady(): boolean {
    const ready =
      !state.stopping &&
      view.getView() !== undefined &&
      view.isRecent() &&
      kernel.find('board').listServers().length > 0;
    if (ready !== wasReady) {
      wasReady = ready;
      log.info(LogEvent.ReadinessChanged, { ready, stopping: state.stopping });
    }
    return ready;
  }

  return {
    async start() {
      metrics.registerGauge(Metric.OpenRequests, kernel.find('requests').countOpen);
      metrics.registerGauge(Metric.ConfigurationRevision, () =>
        Number(view.getView()?.configuration.version ?? 0),
      );
      const readiness = createServer((request, response) => {
        const status = request.url?.startsWith(READINESS_PATH) && isReady() ? 200 : 503;
        response.writeHead(status, { 'content-length': '0' }).end();
      });
      const operators = createServer((request, response) => {
        if (request.url === '/dump') response.end(JSON.stringify(kernel.dump()));
        else response.end(metrics.render());
      });
      servers.push(readiness, operators);
      const ready = parseAddress(settings.readinessAddress);
      const operator = parseAddress(settings.metricsAddress);
      await startServer(readiness, ready.host, ready.port);
      await startServer(operators, operator.host, operator.port);
    },
    stop() {
      for (const server of servers) {
        server.close();
        server.closeAllConnections();
      }
    },
  };
}
