/**
 * Assembles one entry of the gateway: registers its services by name, connects them, and defines
 * how they are started and stopped.
 */
import { randomBytes } from 'node:crypto';
import {
  createElapsedTime,
  createSystemClock,
  waitFor,
  type Clock,
} from '@masticbend/kernel/clock';
import { createKernel, type Kernel, type Lifecycle } from '@masticbend/kernel/kernel';
import type { LineSink } from '@masticbend/kernel/line-sink';
import { createLogger, LogEvent, type Logger } from '@masticbend/kernel/log';
import { createMetrics, Metric } from '@masticbend/kernel/metrics';
import { createStore } from '@masticbend/platform/store';
import { createRepeatBudget, type RepeatBudget } from '@masticbend/scheduling/repeat-budget';
import type { PacedServers } from '@masticbend/scheduling/paced-servers';
import type { LimitShare } from '@masticbend/scheduling/server-limit';
import { createServerPool } from '@masticbend/scheduling/server-pool';
import { createServiceDemand } from '@masticbend/scheduling/service-demand';
import { createSharedLimits } from '@masticbend/scheduling/shared-limit';
import { createStreamPauses } from '@masticbend/scheduling/stream-pauses';
import { createRequestQueue } from '@masticbend/scheduling/request-queue';
import { parseAddress } from '@masticbend/settings/address';
import { createAdministration } from './administration.js';
import { createBackendClient, type BackendClient } from './backend-client.js';
import { createCrashWatch, type CrashWatch } from './crash-watch.js';
import { createIngress, type Ingress } from './ingress.js';
import { createMeasuredStore } from './measured-store.js';
import { probeSocket } from './network.js';
import { createPacesService } from './paces-service.js';
import {
  createMembersService,
  createMeshService,
  createOriginsService,
  createRelayService,
  createVersionsService,
} from './peer-services.js';
import { createPermitClient, type PermitClient } from './permit-client.js';
import { createEntryBounds } from './process-bounds.js';
import { chooseRanking } from './ranking.js';
import { createRelayedStore } from './relayed-store.js';
import { createRequests, type Requests } from './requests.js';
import { createRolloutService } from './rollout-service.js';
import { getRegistration } from './server-losses.js';
import { createServerNotices, type ServerNotices } from './server-notices.js';
import { createServersService } from './servers-service.js';
import type { GatewayServices } from './services.js';
import type { GatewaySettings } from './settings.js';
import { createEraStore, type EraStore } from './store-era.js';
import { createViewService } from './view-service.js';

/** Time after SIGTERM within which the load balancer reliably detects that the entry stops. */
const LAME_DUCK_MS = 2_600;
/** Fraction of the grace period after which the process stops even if requests are still open. */
const GRACE_FRACTION = 0.97;
const STOP_CHECK_INTERVAL_MS = 50;
/** Time that a request needs for an answer from when it is read or sent until the process stops. */
const MIN_ANSWER_MS = 2_000;
/** Timeout of the connection that shows whether a backend server has crashed. */
const PROBE_TIMEOUT_MS = 400;
const INCARNATION_BYTES = 6;

/** A running entry. */
export interface Gateway {
  start: () => Promise<void>;
  /** Finishes open requests within the grace period, then stops; a second call changes nothing. */
  stop: () => Promise<void>;
  /** Stops at once, without waiting for open requests. */
  kill: () => Promise<void>;
  dump: () => unknown;
  log: Logger;
}

/** Builds an entry; without `logSink` its log goes to standard output. */
export function createGateway(settings: GatewaySettings, logSink?: LineSink): Gateway {
  const incarnation = randomBytes(INCARNATION_BYTES).toString('hex');
  const logFields = { process: settings.instance, life: incarnation };
  const log = createLogger(logFields, settings.logLevel, logSink);
  const clock = createSystemClock();
  const kernel = createKernel<GatewayServices>();
  const getElapsed = createElapsedTime(clock, (stepMs) => {
    log.warn(LogEvent.ClockStepped, { stepMs: Math.round(stepMs) });
    kernel.find('view').refresh();
    kernel.find('servers').refresh();
    kernel.find('members').refresh();
  });
  const state = { stopping: false };
  let stopped: Promise<void> | undefined;
  let paces: PacedServers | undefined;

  /** Returns the paces of the servers; undefined where they are off. */
  function findPaces(): PacedServers | undefined {
    if (settings.features.pacedServers) paces ??= createPacesService(kernel);
    return paces;
  }

  kernel.provide('clock', () => clock);
  kernel.provide('log', () => log);
  kernel.provide('metrics', () => createMetrics(clock));
  kernel.provide('connections', () => createEntryBounds(clock, log, settings));
  kernel.provide('store', () => createStoreService(kernel, settings.storeAddress));
  kernel.provide('relay', () => createRelayService(kernel, settings));
  kernel.provide('versions', () => createVersionsService(kernel, settings));
  kernel.provide('rollouts', () => createRolloutService(kernel, settings));
  kernel.provide('origins', () => createOriginsService(kernel, settings));
  kernel.provide('crashes', () => createCrashesService(kernel, settings));
  kernel.provide('client', createClientService);
  kernel.provide('demand', createServiceDemand);
  kernel.provide('board', () =>
    createServerPool(
      settings.dataCentre,
      createLimitShare(kernel),
      findPaces()?.createPace,
      settings.features.steadyStreams ? createStreamPauses() : undefined,
    ),
  );
  kernel.provide('repeats', () => createRepeatsService(kernel, settings));
  kernel.provide('limits', () => createSharedLimits(settings.bounds.limitWindowS * 1_000));
  kernel.provide('view', () => createViewService(kernel, settings, getElapsed));
  kernel.provide('servers', () => createServersService(kernel, settings, getElapsed));
  kernel.provide('notices', () => createNoticesService(kernel));
  kernel.provide('requests', () => createRequestsService(kernel, settings, findPaces()));
  kernel.provide('permits', () => createPermitsService(kernel, settings));
  kernel.provide('members', () => createMembersService(kernel, settings, incarnation, getElapsed));
  kernel.provide('mesh', () => createMeshService(kernel, settings, incarnation));
  kernel.provide('ingress', () => createIngressService(kernel, settings));
  kernel.provide('administration', () => createAdministration(kernel, settings, state));

  async function stop(): Promise<void> {
    const stopAt = clock.now() + settings.bounds.graceS * 1_000 * GRACE_FRACTION;
    log.info(LogEvent.ProcessStopping, { open: kernel.find('requests').countOpen() });
    state.stopping = true;
    await finishOpenRequests(kernel, clock, stopAt);
    const open = kernel.find('requests').countOpen();
    kernel.find('requests').stopOpen();
    await kernel.stop();
    log.info(LogEvent.ProcessStopped, { open });
  }

  return {
    log,
    async start() {
      await kernel.start();
      log.info(LogEvent.ProcessStarted, { address: settings.callerAddress });
    },
    stop() {
      stopped ??= stop();
      return stopped;
    },
    kill: () => kernel.stop(),
    dump: () => kernel.dump(),
  };
}

/**
 * Serves requests until the load balancer sends no more, then refuses new ones and waits until the
 * open ones are answered or `stopAt` has passed. Where too little time is left for an answer, what
 * no server has got is refused, so that its caller can go to another entry.
 */
async function finishOpenRequests(
  kernel: Kernel<GatewayServices>,
  clock: Clock,
  stopAt: number,
): Promise<void> {
  const ingress = kernel.find('ingress');
  const requests = kernel.find('requests');
  const lateAt = stopAt - MIN_ANSWER_MS;
  const closeAt = Math.min(clock.now() + LAME_DUCK_MS, stopAt);
  const waitOnce = async () => {
    if (clock.now() >= lateAt) requests.refuseUnsent();
    await waitFor(clock, STOP_CHECK_INTERVAL_MS);
  };
  ingress.beginStop();
  requests.beginStop(stopAt);
  while (clock.now() < closeAt) await waitOnce();
  ingress.refuseNew(lateAt);
  do {
    ingress.closeIdle();
    await waitOnce();
  } while (requests.countOpen() + ingress.countOpen() > 0 && clock.now() < stopAt);
}

function createStoreService(
  kernel: Kernel<GatewayServices>,
  address: string,
): EraStore & Lifecycle {
  const clock = kernel.find('clock');
  const measured = createMeasuredStore(createStore(address), clock, kernel.find('metrics'));
  const store: EraStore = createEraStore(
    createRelayedStore(
      measured,
      () => kernel.find('relay'),
      () => store.getEra(),
    ),
  );
  return { ...store, stop: store.close };
}

/** Returns this entry's part of the servers' limits, and where it draws random levels from. */
function createLimitShare(kernel: Kernel<GatewayServices>): LimitShare {
  const clock = kernel.find('clock');
  const demand = kernel.find('demand');
  return {
    findPart: (service) => demand.findPart(clock.now(), service),
    drawRandom: Math.random,
  };
}

function createCrashesService(
  kernel: Kernel<GatewayServices>,
  { instance }: GatewaySettings,
): CrashWatch {
  const clock = kernel.find('clock');
  return createCrashWatch({
    self: instance,
    clock,
    log: kernel.find('log'),
    drawRandom: Math.random,
    probe: ({ address }, onResult) =>
      probeSocket(clock, { ...parseAddress(address), timeoutMs: PROBE_TIMEOUT_MS }, onResult),
    countConnections: (server) => kernel.find('client').countConnections(server),
    listMembers: () =>
      kernel
        .find('members')
        .listOthers()
        .map((member) => member.instance),
    listConnected: () => kernel.find('mesh').listConnected(),
    getRegistration: ({ id, bornAt }) => getRegistration(kernel.find('board').find(id), bornAt),
    listLive: () => kernel.find('mesh').listLive(),
    send: (peer, message) => kernel.find('mesh').send(peer, message),
    listSent: () => kernel.find('requests').listSent(),
    onBlocked() {
      kernel.find('requests').abortBlocked();
      kernel.find('members').refresh();
    },
  });
}

function createClientService(): BackendClient & Lifecycle {
  const client = createBackendClient();
  return { ...client, stop: client.close };
}

function createRepeatsService(
  kernel: Kernel<GatewayServices>,
  { bounds, isFirstStart }: GatewaySettings,
): RepeatBudget {
  const bound = {
    ratio: bounds.repeatRatio,
    slack: bounds.repeatSlack,
    windowMs: bounds.repeatWindowS * 1_000,
  };
  return createRepeatBudget(bound, kernel.find('clock').now(), isFirstStart);
}

function createRequestsService(
  kernel: Kernel<GatewayServices>,
  { features }: GatewaySettings,
  paces: PacedServers | undefined,
): Requests {
  const metrics = kernel.find('metrics');
  const view = kernel.find('view');
  const versions = kernel.find('versions');

  return createRequests({
    clock: kernel.find('clock'),
    log: kernel.find('log'),
    drawRandom: Math.random,
    client: kernel.find('client'),
    serverPool: kernel.find('board'),
    requestQueue: createRequestQueue(),
    demand: kernel.find('demand'),
    limits: kernel.find('limits'),
    paces,
    permits: kernel.find('permits'),
    repeatBudget: kernel.find('repeats'),
    getView: view.getView,
    areKeysFresh: view.areKeysFresh,
    rankRequest: chooseRanking(features),
    spreadsReturns: features.rankedRoutes,
    avoidsPauses: features.steadyStreams,
    origins: kernel.find('origins'),
    crashWatch: kernel.find('crashes'),
    findOnlyVersion: versions.findOnly,
    isVersionRecorded: versions.isRecorded,
    rollouts: kernel.find('rollouts').requests,
    ...(features.boundedReaders && {
      findMemory: (service) =>
        view.getView()?.configuration.services.get(service)?.engine?.cacheTokens || undefined,
    }),
    ...(features.earlyRefusals && { earlyRefusals: kernel.find('permits') }),
    countInstances: () => kernel.find('members').listOthers().length + 1,
    onNotice: (entry, notice) => kernel.find('notices').handleAnswer(entry, notice),
    recordAttempt: (server, result) =>
      metrics.addCount(Metric.AttemptsTotal, { server, result }, 1),
    recordLongPause: (route) => {
      if (features.steadyStreams) metrics.addCount(Metric.LongPausesTotal, { route }, 1);
    },
    recordOutcome({ tier, account, outcome, waitMs, firstByteMs, totalMs }) {
      metrics.addCount(Metric.RequestsTotal, { tier, account, outcome }, 1);
      metrics.recordDuration(Metric.RequestDuration, { tier }, totalMs);
      if (waitMs !== undefined) metrics.recordDuration(Metric.WaitDuration, { tier }, waitMs);
      if (firstByteMs !== undefined) {
        metrics.recordDuration(Metric.FirstByteDuration, { tier }, firstByteMs);
      }
    },
  });
}

function createNoticesService(kernel: Kernel<GatewayServices>): ServerNotices {
  return createServerNotices({
    clock: kernel.find('clock'),
    log: kernel.find('log'),
    serverPool: kernel.find('board'),
    limitShare: createLimitShare(kernel),
    reportLeaving: (server) => kernel.find('permits').reportLeaving(server),
  });
}

function createPermitsService(
  kernel: Kernel<GatewayServices>,
  { instance, meshAddress }: GatewaySettings,
): PermitClient {
  // The request service depends on the permit client as well, so it is looked up on each answer.
  const agentEvents = () => kernel.find('requests').agentEvents;
  return createPermitClient({
    instance,
    port: parseAddress(meshAddress).port,
    clock: kernel.find('clock'),
    log: kernel.find('log'),
    events: {
      onPermit: (server, request) => agentEvents().onPermit(server, request),
      onRefusal: (server, request, waitMs) => agentEvents().onRefusal(server, request, waitMs),
      onLeaving: (server) => kernel.find('notices').handleAgent(server),
      onLost: (server, request) => agentEvents().onLost(server, request),
    },
  });
}

function createIngressService(
  kernel: Kernel<GatewayServices>,
  { callerAddress }: GatewaySettings,
): Ingress {
  return createIngress({
    bounds: kernel.find('connections'),
    address: callerAddress,
    clock: kernel.find('clock'),
    log: kernel.find('log'),
    requests: kernel.find('requests'),
    getLimits: () => kernel.find('view').getView()?.configuration.limits,
  });
}
