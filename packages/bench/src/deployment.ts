/**
 * Runs a small deployment on loopback: entries and agents as separate processes, each with its own
 * settings file in a temporary folder. The backend servers and the platform are stand-ins that the
 * caller starts.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { createHash, randomBytes } from 'node:crypto';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { reservePorts } from '@masticbend/standins/ports';
import { request } from 'undici';

/** Timeout for a process to become ready, in milliseconds. */
const READY_TIMEOUT_MS = 20_000;
const READY_POLL_INTERVAL_MS = 25;
/** Number of last log lines in the error for a process that does not become ready. */
const LOG_TAIL_LINES = 12;
/** Time after which a process that was asked to stop is killed, in milliseconds. */
const EXIT_TIMEOUT_MS = 40_000;

/** Configuration of the service that the stand-in for bookings and lookups implements. */
export const PARCELS_SERVICE = `[services.parcels]
[[services.parcels.operations]]
method = "POST"
path = "/bookings"
idempotent = false
[[services.parcels.operations]]
method = "GET"
path = "/parcels/*"
idempotent = true
`;

/** Programs of the product. */
export const Program = { Entry: 'entry', Agent: 'agent' } as const;
export type Program = (typeof Program)[keyof typeof Program];

/** A process of the deployment. */
export interface RunningProcess {
  name: string;
  program: Program;
  /** Arguments of node. */
  command: string[];
  /** File that receives standard output and standard error. */
  logFile: string;
  /** Replaced when the process is restarted. */
  child: ChildProcess;
  administrationUrl: string;
  /** Address for callers of an entry, mesh address of an agent. */
  address: string;
  exited: Promise<number | null>;
}

/** A backend server and its agent. */
export interface BackendPlan {
  name: string;
  kind: 'model' | 'service';
  dataCentre: string;
  serves: string[];
  concurrency: number;
  url: string;
  /** Returns the address that entries connect to instead of the agent's own. */
  getDialAddress?: (agentAddress: string) => string;
}

/** Processes to start and their configuration. */
export interface DeploymentPlan {
  /** Configuration document (TOML) without its backend servers. */
  configuration: string;
  entries: number;
  backends: BackendPlan[];
  /** URLs of the platform's stand-ins. */
  platform: { tableUrl: string; objectUrl: string; instancesUrl: string };
  logLevel?: string;
}

/** A running deployment. */
export interface Deployment {
  folder: string;
  entries: RunningProcess[];
  agents: RunningProcess[];
  stop: () => Promise<void>;
}

/** Returns the SHA-256 of a key in hexadecimal, as stored in the configuration. */
export function hashKey(key: string): string {
  return createHash('sha256').update(key).digest('hex');
}

/** Starts every process and waits until all are ready. */
export async function startDeployment(plan: DeploymentPlan): Promise<Deployment> {
  const folder = mkdtempSync(join(tmpdir(), 'masticbend-'));
  const secretFile = join(folder, 'mesh-secret');
  writeFileSync(secretFile, randomBytes(32).toString('hex'), { mode: 0o600 });
  const ports = await reservePorts(plan.backends.length * 2 + plan.entries * 2);
  const takeAddress = () => `127.0.0.1:${ports.pop()!}`;
  const agentAddresses = plan.backends.map(takeAddress);
  const configurationFile = join(folder, 'configuration.toml');
  const backendTables = plan.backends.map((backend, index) =>
    formatBackend(backend, getDialAddress(backend, agentAddresses[index]!)),
  );
  writeFileSync(configurationFile, [plan.configuration, ...backendTables].join('\n'));

  const context = { folder, secretFile, plan };
  const agents = plan.backends.map((backend, index) =>
    startProcess(context, Program.Agent, `agent-${backend.name}`, takeAddress(), {
      dataCentre: backend.dataCentre,
      meshAddress: agentAddresses[index]!,
      backendServer: backend.name,
      backendUrl: backend.url,
    }),
  );
  const entries = Array.from({ length: plan.entries }, (_, index) =>
    startProcess(context, Program.Entry, `entry-${index + 1}`, takeAddress(), {
      dataCentre: plan.backends[0]!.dataCentre,
      callerAddress: takeAddress(),
      initialConfigurationFile: configurationFile,
    }),
  );
  const deployment = { folder, entries, agents, stop: () => stopAll(folder, entries, agents) };
  try {
    await Promise.all([...agents, ...entries].map(waitUntilReady));
  } catch (error) {
    await deployment.stop();
    throw error;
  }
  return deployment;
}

/** Waits for the exit of a process, restarts it with the same settings and waits for readiness. */
export async function restartProcess(running: RunningProcess): Promise<void> {
  await running.exited;
  Object.assign(running, startCommand(running.command, running.logFile));
  await waitUntilReady(running);
}

/** Stops one process gracefully, kills it after `EXIT_TIMEOUT_MS`, and returns its exit code. */
export async function stopProcess(running: RunningProcess): Promise<number | null> {
  if (running.child.exitCode === null) running.child.kill('SIGTERM');
  const timer = setTimeout(() => running.child.kill('SIGKILL'), EXIT_TIMEOUT_MS);
  const code = await running.exited;
  clearTimeout(timer);
  return code;
}

interface DeploymentContext {
  folder: string;
  secretFile: string;
  plan: DeploymentPlan;
}

function startProcess(
  context: DeploymentContext,
  program: Program,
  name: string,
  administrationAddress: string,
  settings: Record<string, string>,
): RunningProcess {
  const { folder, secretFile, plan } = context;
  const file = join(folder, `${name}.toml`);
  const text = formatTable({
    instance: name,
    administrationAddress,
    meshSecretFile: secretFile,
    logLevel: plan.logLevel ?? 'info',
    ...settings,
  });
  writeFileSync(file, `${text}\n[platform]\n${formatTable(plan.platform)}\n`);
  const main = createRequire(import.meta.url).resolve(`@masticbend/${program}/main`);
  const command = [main, '--settings', file];
  const logFile = join(folder, `${name}.log`);
  return {
    ...startCommand(command, logFile),
    name,
    program,
    command,
    logFile,
    administrationUrl: `http://${administrationAddress}`,
    address: settings.callerAddress ?? settings.meshAddress!,
  };
}

/** Starts node with these arguments; its output is appended to the log file. */
export function startCommand(
  command: string[],
  logFile: string,
): Pick<RunningProcess, 'child' | 'exited'> {
  const log = openSync(logFile, 'a');
  // Under a TypeScript loader the program resolves to its source and needs the same loader.
  const child = spawn(process.execPath, [...process.execArgv, ...command], {
    stdio: ['ignore', log, log],
  });
  closeSync(log);
  return {
    child,
    exited: new Promise((resolve) => {
      child.once('exit', resolve);
    }),
  };
}

/** Polls `/readyz` of a process until it is ready; throws with the end of its log otherwise. */
export async function waitUntilReady(running: RunningProcess): Promise<void> {
  const end = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < end) {
    if (running.child.exitCode !== null) break;
    const status = await request(`${running.administrationUrl}/readyz`).then(
      async ({ statusCode, body }) => {
        await body.dump();
        return statusCode;
      },
      () => 0,
    );
    if (status === 200) return;
    await new Promise((resolve) => {
      setTimeout(resolve, READY_POLL_INTERVAL_MS);
    });
  }
  const lines = readFileSync(running.logFile, 'utf8').trimEnd().split('\n');
  const tail = lines.slice(-LOG_TAIL_LINES).join('\n');
  throw new Error(`${running.name} did not become ready; its log ends with:\n${tail}`);
}

async function stopAll(folder: string, entries: RunningProcess[], agents: RunningProcess[]) {
  await Promise.all(entries.map(stopProcess));
  await Promise.all(agents.map(stopProcess));
  rmSync(folder, { recursive: true, force: true });
}

function getDialAddress(backend: BackendPlan, agentAddress: string): string {
  return backend.getDialAddress?.(agentAddress) ?? agentAddress;
}

function formatBackend(backend: BackendPlan, agent: string): string {
  const { name, kind, dataCentre, serves, concurrency } = backend;
  return `[backendServers.${name}]\n${formatTable({ agent, kind, dataCentre, serves, concurrency })}`;
}

function formatTable(values: Record<string, unknown>): string {
  return Object.entries(values)
    .map(([key, value]) => `${key} = ${JSON.stringify(value)}\n`)
    .join('');
}
