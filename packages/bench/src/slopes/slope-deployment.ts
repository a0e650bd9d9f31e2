/** Deployments of any number of entries and agents, with one stand-in service and one engine. */
import { startEngine, type Engine } from '@masticbend/standins/engine';
import { startObjectStore } from '@masticbend/standins/object-store';
import { startService, type Service } from '@masticbend/standins/service';
import { startTable, type Table } from '@masticbend/standins/table';
import {
  hashKey,
  PARCELS_SERVICE,
  startDeployment,
  type BackendPlan,
  type Deployment,
  type DeploymentPlan,
} from '../deployment.js';

export const API_KEY = 'slopes-key';

const CONFIGURATION = `
[tiers.fast]
rank = 0
deadlineMs = 20000
[tiers.normal]
rank = 1
deadlineMs = 60000
[accounts.sender]
keyHashes = ["${hashKey(API_KEY)}"]
tier = "fast"
requestsPerSecond = 100000
tokensPerSecond = 100000000
concurrency = 100000
[models.praline]
${PARCELS_SERVICE}`;

/** Size of a deployment. */
export interface SlopePlan {
  entries: number;
  agents: number;
  /** Client accounts in the configuration besides the one that sends requests. */
  accounts?: number;
}

/** A running deployment with its stand-ins. */
export interface SlopeDeployment extends Deployment {
  service: Service;
  engine: Engine;
  table: Table;
}

/** Starts the stand-ins and the processes; agents alternate between the service and the engine. */
export async function startSlopeDeployment(plan: SlopePlan): Promise<SlopeDeployment> {
  const service = await startService(0, 0);
  const engine = await startEngine({
    port: 0,
    prefillRate: 1e6,
    stepMs: 37,
    stepPerCallMs: 0,
    maxBatchCalls: 512,
  });
  const table = await startTable(0);
  const objects = await startObjectStore(0);
  const backends = Array.from({ length: plan.agents }, (_, index) =>
    index % 2 === 0
      ? createBackend(`service-${index}`, 'service', service.url)
      : createBackend(`model-${index}`, 'model', engine.url),
  );
  const deploymentPlan: DeploymentPlan = {
    configuration: formatConfiguration(plan.accounts ?? 0),
    entries: plan.entries,
    backends,
    platform: { tableUrl: table.url, objectUrl: objects.url, instancesUrl: table.url },
    logLevel: 'warn',
  };
  const deployment = await startDeployment(deploymentPlan);
  const standIns = [service, engine, table, objects];
  return {
    ...deployment,
    service,
    engine,
    table,
    async stop() {
      await deployment.stop();
      await Promise.all(standIns.map((standIn) => standIn.close()));
    },
  };
}

/** Returns a configuration document with the given number of additional client accounts. */
export function formatConfiguration(accounts: number): string {
  const sections = Array.from({ length: accounts }, (_, index) =>
    formatAccount(`account-${index}`),
  );
  return `${CONFIGURATION}${sections.join('')}`;
}

function formatAccount(name: string): string {
  return `[accounts.${name}]\nkeyHashes = ["${hashKey(name)}"]\ntier = "normal"\nweight = 1\n`;
}

function createBackend(name: string, kind: BackendPlan['kind'], url: string): BackendPlan {
  const serves = [kind === 'model' ? 'praline' : 'parcels'];
  return { name, kind, dataCentre: 'ostalpen-1', serves, concurrency: 512, url };
}
