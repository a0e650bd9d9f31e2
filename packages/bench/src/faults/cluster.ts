/**
 * A small deployment for the fault matrix: entries and agents as processes, a relay in front of
 * each agent and of the table service, and backend stand-ins that report the stages of each call.
 */
import { EngineStage, startEngine, type Engine } from '@masticbend/standins/engine';
import { startService, type Service, ServiceStage } from '@masticbend/standins/service';
import type { StandIn } from '@masticbend/standins/http';
import { startObjectStore } from '@masticbend/standins/object-store';
import { startTable } from '@masticbend/standins/table';
import type { Message } from '@masticbend/protocol/message';
import {
  hashKey,
  PARCELS_SERVICE,
  restartProcess,
  startDeployment,
  type BackendPlan,
  type Deployment,
  type RunningProcess,
} from '../deployment.js';
import { startMeshRelay, type MeshRelay, type RelayAction } from './mesh-relay.js';
import { startTableRelay, type TableAction, type TableWrite } from './table-relay.js';

/** API keys of the client accounts, by name. */
export const ACCOUNT_KEYS = { subject: 'key-subject', high: 'key-high', low: 'key-low' } as const;

/**
 * Observer of a cluster's events. The relays apply the actions that it returns; a booking waits for
 * the promise that `onBooking` returns.
 */
export interface ClusterWatcher {
  onMessage: (agent: string, message: Message) => RelayAction;
  onTransaction: (writes: TableWrite[]) => TableAction;
  onBooking: (stage: ServiceStage, reference: string, agent: string) => Promise<void> | void;
  onEngineStage: (stage: EngineStage, digest: string, agent: string) => void;
}

/** A backend stand-in and the relay of its agent. */
export interface ClusterBackend {
  name: string;
  standIn: StandIn;
  engine?: Engine;
  service?: Service;
  relay: MeshRelay;
}

/** A running cluster. */
export interface Cluster {
  deployment: Deployment;
  backends: ClusterBackend[];
  tableRelay: StandIn;
  objects: StandIn;
  /** Sets the observer of events; undefined lets everything pass. */
  setWatcher: (watcher: ClusterWatcher | undefined) => void;
  findAgent: (backend: string) => RunningProcess;
  findBackend: (name: string) => ClusterBackend;
  /** Ends every fault: resumes frozen processes and restarts killed ones. */
  reset: () => Promise<void>;
  stop: () => Promise<void>;
}

/** Names of the backend servers; each has its own agent. */
export const ENGINES = ['engine-1', 'engine-2'] as const;
export const SERVICES = ['parcels-1', 'parcels-2'] as const;
const ENTRIES = 2;
const ENGINE_SPEED = { port: 0, prefillRate: 20_000, stepMs: 15, stepPerCallMs: 0 };
const SERVICE_WORK_MS = 20;

/** Configuration without backend servers. */
export const CONFIGURATION = `
[tiers.high]
rank = 0
deadlineMs = 8000
[tiers.low]
rank = 1
deadlineMs = 15000
[accounts.subject]
keyHashes = ["${hashKey(ACCOUNT_KEYS.subject)}"]
tier = "high"
[accounts.high]
keyHashes = ["${hashKey(ACCOUNT_KEYS.high)}"]
tier = "high"
[accounts.low]
keyHashes = ["${hashKey(ACCOUNT_KEYS.low)}"]
tier = "low"
[models.praline]
${PARCELS_SERVICE}`;

/** Starts the processes between callers and backend servers. */
export type StartProcesses = (
  backends: BackendPlan[],
  platform: { tableUrl: string; objectUrl: string },
) => Promise<Deployment>;

/** Starts entries and agents. */
export const startProduct: StartProcesses = (backends, platform) =>
  startDeployment({
    configuration: CONFIGURATION,
    entries: ENTRIES,
    backends,
    platform: { ...platform, instancesUrl: platform.tableUrl },
  });

/** Starts a cluster. */
export async function startCluster(start: StartProcesses): Promise<Cluster> {
  let watcher: ClusterWatcher | undefined;
  const decideMessageAction = (agent: string, message: Message): RelayAction =>
    watcher?.onMessage(agent, message) ?? { kind: 'pass' };

  async function startEngineBackend(name: string): Promise<ClusterBackend> {
    const engine = await startEngine({
      ...ENGINE_SPEED,
      onStage: (stage, { digest }) => watcher?.onEngineStage(stage, digest, name),
    });
    return {
      name,
      standIn: engine,
      engine,
      relay: await startMeshRelay(name, decideMessageAction),
    };
  }

  async function startServiceBackend(name: string): Promise<ClusterBackend> {
    const service = await startService(0, SERVICE_WORK_MS, (stage, reference) =>
      watcher?.onBooking(stage, reference, name),
    );
    return {
      name,
      standIn: service,
      service,
      relay: await startMeshRelay(name, decideMessageAction),
    };
  }

  const table = await startTable(0);
  const objects = await startObjectStore(0);
  const tableRelay = await startTableRelay(
    table.url,
    (writes) => watcher?.onTransaction(writes) ?? { kind: 'pass' },
  );
  const backends = await Promise.all([
    ...ENGINES.map(startEngineBackend),
    ...SERVICES.map(startServiceBackend),
  ]);
  const platformUrls = { tableUrl: tableRelay.url, objectUrl: objects.url };
  const deployment = await start(backends.map(createBackendPlan), platformUrls);
  const findBackend = (name: string) => backends.find((backend) => backend.name === name)!;

  return {
    deployment,
    backends,
    tableRelay,
    objects,
    setWatcher(next) {
      watcher = next;
    },
    findBackend,
    findAgent: (name) => deployment.agents.find((agent) => agent.name === `agent-${name}`)!,
    async reset() {
      watcher = undefined;
      for (const standIn of [tableRelay, objects, ...backends.map((backend) => backend.standIn)]) {
        Object.assign(standIn.faults, { down: false, delayMs: 0, loseAnswers: 0 });
      }
      for (const { engine } of backends) {
        if (engine) engine.faults.slowFactor = 1;
        engine?.resume();
      }
      await Promise.all(
        [...deployment.entries, ...deployment.agents].map((running) => resumeProcess(running)),
      );
    },
    async stop() {
      await deployment.stop();
      const relays = backends.map(({ relay }) => relay);
      const standIns = backends.map(({ standIn }) => standIn);
      await Promise.all(
        [...relays, ...standIns, tableRelay, table, objects].map((component) => component.close()),
      );
    },
  };
}

function createBackendPlan({ name, engine, standIn, relay }: ClusterBackend): BackendPlan {
  return {
    name,
    kind: engine ? 'model' : 'service',
    dataCentre: 'ostalpen-1',
    serves: [engine ? 'praline' : 'parcels'],
    concurrency: 4,
    url: standIn.url,
    getDialAddress(agentAddress) {
      relay.setTarget(agentAddress);
      return relay.address;
    },
  };
}

async function resumeProcess(running: RunningProcess): Promise<void> {
  const { child } = running;
  if (child.exitCode !== null || child.signalCode !== null) await restartProcess(running);
  else child.kill('SIGCONT');
}
