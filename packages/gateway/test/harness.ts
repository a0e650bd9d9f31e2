/** One entry with a store stand-in and scripted backend servers, all on loopback. */
import { request as send } from 'undici';
import type { Clock } from '@masticbend/kernel/clock';
import type { ConnectionBounds } from '@masticbend/kernel/connection-bounds';
import type { LineSink } from '@masticbend/kernel/line-sink';
import { startStoreStandIn, type StoreStandIn } from '@masticbend/platform/store-standin';
import { reservePorts } from '@masticbend/standins/ports';
import { createSilentLogger } from '@masticbend/kernel/log';
import { readFeatures } from '@masticbend/platform/features';
import { createGateway, type Gateway } from '../src/gateway.js';
import { createEntryBounds } from '../src/process-bounds.js';
import type { GatewaySettings } from '../src/settings.js';
import { startBackend, type Script, type ScriptedBackend } from './backend.js';

const WAIT_TIMEOUT_MS = 5_000;
const WAIT_CHECK_INTERVAL_MS = 5;

export const HOST = 'desk.example';
export const KEY = 'key-1';

const ROUTE = {
  host: HOST,
  timeout_ms: 2_000,
  slo_ms: 300,
  priority: 1,
  service: 'plain',
  max_attempts: 1,
  anonymous: false,
  gap_slo_ms: 250,
};

const DOCUMENT = {
  version: 3,
  routes: [
    { ...ROUTE, name: 'once', prefix: '/once/', route_kind: 'non_idempotent' },
    { ...ROUTE, name: 'again', prefix: '/again/', route_kind: 'idempotent', max_attempts: 2 },
    { ...ROUTE, name: 'open', prefix: '/open/', route_kind: 'idempotent', anonymous: true },
    { ...ROUTE, name: 'short', prefix: '/short/', route_kind: 'non_idempotent', timeout_ms: 300 },
    { ...ROUTE, name: 'stream', prefix: '/stream/', route_kind: 'streaming' },
    {
      ...ROUTE,
      name: 'begin',
      prefix: '/begin/',
      route_kind: 'streaming',
      resumable: true,
    },
    {
      ...ROUTE,
      name: 'resume',
      prefix: '/resume/',
      route_kind: 'streaming',
      resumable: true,
      max_attempts: 2,
    },
  ],
  services: [{ name: 'plain', health_path: '/healthz', max_conns: 100 }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 100_000,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: 'bakery', api_keys: [KEY], priority: 1, rate_per_s: 0 }],
};

/** Returns the default configuration document with changes. */
export function createDocument(changes: object = {}): object {
  return { ...DOCUMENT, ...changes };
}

/** Returns the registration of a backend server with changes. */
export function createRegistration(address: string, changes: object = {}): object {
  return {
    service: 'plain',
    address,
    zone: 'z1',
    slots: 4,
    state: 'ready',
    cold_left_ms: 0,
    born: 1,
    version: 'v1',
    sequence: 1,
    ...changes,
  };
}

/** A small deployment. */
export interface Deployment {
  store: StoreStandIn;
  backends: ScriptedBackend[];
  gateway: Gateway;
  settings: GatewaySettings;
  /** Writes the default configuration document with changes. */
  writeConfiguration: (changes: object) => void;
  writeServer: (index: number, changes?: object) => void;
  /** All entries, the deployment's own first. */
  entries: Gateway[];
  /** Writes the next version of the default document, with all routes to another service. */
  moveRoutes: (service: string) => void;
  /** Lines of the log of the deployment's own entry, where they are kept. */
  logLines: readonly string[];
  call: (path: string, options?: CallOptions) => Promise<Reply>;
  /** Waits until the entry is ready, has written its membership row and may repeat requests. */
  waitUntilServing: () => Promise<void>;
  /** Starts another entry and returns its caller address. */
  startEntry: () => Promise<string>;
  /** Waits until each running entry is connected to this number of others. */
  waitUntilConnected: (peers: number) => Promise<void>;
  close: () => Promise<void>;
}

export interface CallOptions {
  method?: string;
  headers?: Record<string, string>;
  body?: string;
  signal?: AbortSignal;
  /** Caller address of the entry; that of the deployment's own entry by default. */
  address?: string;
}

/** What differs from the default deployment. */
export interface DeploymentOptions {
  /** Address on which the backend servers listen. */
  host?: string;
  /** Software versions of the backend servers, in their order. */
  versions?: readonly string[];
  /** Changes of the bounds in the settings. */
  bounds?: Partial<GatewaySettings['bounds']>;
  /** Switches rollouts on in all entries. */
  rollout?: GatewaySettings['rollout'];
  /** Parts of the product that are on. */
  features?: Partial<GatewaySettings['features']>;
  /** Keeps the log of the deployment's own entry in memory. */
  isLogged?: boolean;
}

export interface Reply {
  status: number;
  headers: Record<string, string | string[] | undefined>;
  body: string;
  /** Set when the answer was interrupted. */
  broken?: boolean;
}

/** Starts an entry in front of backend servers. */
export async function startDeployment(
  scripts: Script[],
  deploymentOptions: DeploymentOptions = {},
): Promise<Deployment> {
  const {
    host = '127.0.0.1',
    versions = [],
    bounds,
    features,
    isLogged = false,
    rollout,
  } = deploymentOptions;
  const store = await startStoreStandIn();
  const backends = await Promise.all(scripts.map((script) => startBackend(script, host)));
  const defaults = await createSettings(store.address);
  const settings = {
    ...defaults,
    logLevel: isLogged ? 'info' : defaults.logLevel,
    rollout,
    bounds: { ...defaults.bounds, ...bounds },
    features: { ...defaults.features, rollouts: rollout !== undefined, ...features },
  };
  const logLines: string[] = [];
  const gateway = createGateway(settings, isLogged ? createMemorySink(logLines) : undefined);
  const entries: Gateway[] = [gateway];

  function writeServer(index: number, changes: object = {}): void {
    const version = versions[index] ?? 'v1';
    const row = createRegistration(backends[index]!.address, { version, ...changes });
    store.put('servers', `i-${index}`, row);
  }

  async function call(path: string, options: CallOptions = {}): Promise<Reply> {
    const { statusCode, headers, body } = await send(
      `http://${options.address ?? settings.callerAddress}${path}`,
      {
        method: (options.method ?? 'POST') as 'POST',
        headers: {
          host: HOST,
          'x-masticbend-key': KEY,
          'x-masticbend-attempt-id': 'a1',
          'x-masticbend-deadline-ms': '1500',
          ...options.headers,
        },
        body: options.body,
        signal: options.signal,
      },
    );
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of body) chunks.push(chunk as Buffer);
    } catch {
      return { status: statusCode, headers, body: Buffer.concat(chunks).toString(), broken: true };
    }
    return { status: statusCode, headers, body: Buffer.concat(chunks).toString() };
  }

  const deployment: Deployment = {
    store,
    backends,
    gateway,
    entries,
    settings,
    logLines,
    writeConfiguration: (changes) => store.put('op', 'config', createDocument(changes)),
    writeServer,
    moveRoutes(service) {
      const routes = DOCUMENT.routes.map((route) => ({ ...route, service }));
      const services = [...DOCUMENT.services, { ...DOCUMENT.services[0], name: service }];
      store.put('op', 'config', { ...DOCUMENT, version: DOCUMENT.version + 1, routes, services });
    },
    call,
    async waitUntilServing() {
      await waitUntilServing(settings, store);
      await waitUntil(() => hasShare(gateway, settings));
    },
    async startEntry() {
      const entrySettings = await createSettings(store.address);
      const entry = createGateway({ ...entrySettings, features: settings.features, rollout });
      entries.push(entry);
      await entry.start();
      await waitUntilServing(entrySettings, store);
      await waitUntil(() => hasShare(entry, entrySettings));
      return entrySettings.callerAddress;
    },
    waitUntilConnected: (peers) =>
      waitUntil(() => entries.every((entry) => countPeers(entry) >= peers)),
    async close() {
      await Promise.all(entries.map((entry) => entry.kill()));
      await Promise.all(backends.map((backend) => backend.close()));
      await store.close();
    },
  };
  deployment.writeConfiguration({});
  backends.forEach((_backend, index) => writeServer(index));
  await gateway.start();
  await deployment.waitUntilServing();
  return deployment;
}

/** Waits until an entry is ready and has written its membership row. */
export function waitUntilServing(settings: GatewaySettings, store: StoreStandIn): Promise<void> {
  return waitUntil(async () => {
    const { statusCode, body } = await send(`http://${settings.readinessAddress}/v1/readyz`);
    await body.dump();
    return statusCode === 200 && store.has('entries', settings.instance);
  });
}

export async function waitUntil(
  check: () => boolean | Promise<boolean>,
  timeoutMs = WAIT_TIMEOUT_MS,
): Promise<void> {
  const end = performance.now() + timeoutMs;
  while (!(await check())) {
    if (performance.now() > end) throw new Error(`not true within ${timeoutMs} ms`);
    await waitFor(WAIT_CHECK_INTERVAL_MS);
  }
}

/** Returns a sink that adds each line to a list. */
function createMemorySink(lines: string[]): LineSink {
  return {
    writeLine: (line) => lines.push(line) > 0,
    countDropped: () => 0,
    flush: () => Promise.resolve(),
  };
}

/** Returns whether an entry has its share of the slack for repeats, since it knows the others. */
function hasShare(entry: Gateway, { bounds }: GatewaySettings): boolean {
  if (bounds.repeatSlack === 0) return true;
  return /"repeats":{"slack":[1-9]/.test(JSON.stringify(entry.dump()));
}

/** Returns how many peers of an entry are live. */
function countPeers(entry: Gateway): number {
  return JSON.stringify(entry.dump()).split('"heard":true').length - 1;
}

export function waitFor(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}

export async function createSettings(storeAddress: string): Promise<GatewaySettings> {
  const ports = await reservePorts(4);
  const [callerAddress, readinessAddress, meshAddress, metricsAddress] = ports.map(
    (port) => `127.0.0.1:${port}`,
  ) as [string, string, string, string];
  return {
    instance: `entry-${ports[0]}`,
    dataCentre: 'z1',
    callerAddress,
    readinessAddress,
    meshAddress,
    metricsAddress,
    storeAddress,
    isFirstStart: true,
    features: readFeatures(''),
    logLevel: 'silent',
    bounds: {
      graceS: 6,
      keyFreshnessMs: 2_500,
      configurationMs: 2_000,
      leavingMs: 2_000,
      repeatRatio: 0.2,
      repeatSlack: 60,
      repeatWindowS: 10,
      limitWindowS: 8,
    },
  };
}

/** Returns the bounds of an entry with the default settings. */
export function createDefaultBounds(clock: Clock): ConnectionBounds {
  return createEntryBounds(clock, createSilentLogger(), { features: readFeatures('') });
}
