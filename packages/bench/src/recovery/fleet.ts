/** Starts the processes, up to a few dozen, for the measurements of replacement and recovery. */
import { startEngine, type Engine } from '@masticbend/standins/engine';
import { startObjectStore } from '@masticbend/standins/object-store';
import { startService, type Service } from '@masticbend/standins/service';
import type { StandIn } from '@masticbend/standins/http';
import { startTable, type Table } from '@masticbend/standins/table';
import { startDeployment, type BackendPlan, type Deployment } from '../deployment.js';
import type { BackendRecord } from '../faults/checks.js';
import { CONFIGURATION } from '../faults/cluster.js';

const ENGINE_SPEED = { port: 0, prefillRate: 20_000, stepMs: 10, stepPerCallMs: 0.2 };
const SERVICE_WORK_MS = 5;
/** Limits for fleets that should not become overloaded. */
const DEFAULT_LIMITS = { concurrency: 8, queueLimit: 512 };

/** Number of processes of each kind. */
export interface FleetSize {
  entries: number;
  engines: number;
  services: number;
}

/** Limits of each backend server and agent. */
export interface FleetLimits {
  /** Maximum number of concurrent calls at a backend server. */
  concurrency: number;
  /** Maximum number of reservations queued at an agent. */
  queueLimit: number;
}

/** A running fleet. */
export interface Fleet {
  deployment: Deployment;
  table: Table;
  objects: StandIn;
  readRecord: () => BackendRecord;
  stop: () => Promise<void>;
}

/** Starts a fleet and waits until every process is ready. */
export async function startFleet(size: FleetSize, limits = DEFAULT_LIMITS): Promise<Fleet> {
  const table = await startTable(0);
  const objects = await startObjectStore(0);
  const engines = await Promise.all(
    Array.from({ length: size.engines }, () => startEngine(ENGINE_SPEED)),
  );
  const services = await Promise.all(
    Array.from({ length: size.services }, () => startService(0, SERVICE_WORK_MS)),
  );
  const deployment = await startDeployment({
    configuration: `${CONFIGURATION}\n[limits]\nqueueLimit = ${limits.queueLimit}\n`,
    entries: size.entries,
    backends: [
      ...engines.map(({ url }, index) =>
        createBackendPlan(`engine-${index + 1}`, 'model', url, limits),
      ),
      ...services.map(({ url }, index) =>
        createBackendPlan(`parcels-${index + 1}`, 'service', url, limits),
      ),
    ],
    platform: { tableUrl: table.url, objectUrl: objects.url, instancesUrl: table.url },
    logLevel: 'warn',
  });
  return {
    deployment,
    table,
    objects,
    readRecord: () => createRecord(engines, services),
    async stop() {
      await deployment.stop();
      const standIns: StandIn[] = [table, objects, ...engines, ...services];
      await Promise.all(standIns.map((standIn) => standIn.close()));
    },
  };
}

/** Merges the records of the backend stand-ins. */
export function createRecord(
  engines: readonly Engine[],
  services: readonly Service[],
): BackendRecord {
  const calls = engines.flatMap((engine) => engine.calls);
  const bookings = services.flatMap((service) => service.bookings);
  return {
    received: [...engines, ...services].flatMap(({ received }) => received),
    ran: [
      ...calls.map(({ digest }) => digest),
      ...bookings.map(({ reference }) => reference),
      ...services.flatMap(({ lookups }) => lookups),
    ],
    startedAt: new Map(calls.map(({ digest, startedAt }) => [digest, startedAt])),
  };
}

function createBackendPlan(
  name: string,
  kind: BackendPlan['kind'],
  url: string,
  { concurrency }: FleetLimits,
): BackendPlan {
  const serves = [kind === 'model' ? 'praline' : 'parcels'];
  return { name, kind, dataCentre: 'ostalpen-1', serves, concurrency, url };
}
