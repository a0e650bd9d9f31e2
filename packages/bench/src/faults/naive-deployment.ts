/** Starts naive proxies instead of entries and agents, as a baseline for comparison. */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { reservePorts } from '@masticbend/standins/ports';
import {
  Program,
  startCommand,
  stopProcess,
  waitUntilReady,
  type BackendPlan,
  type Deployment,
  type RunningProcess,
} from '../deployment.js';

const PROXY_COUNT = 2;

/** Starts the proxies in front of these backend servers. */
export async function startNaiveDeployment(backends: readonly BackendPlan[]): Promise<Deployment> {
  const folder = mkdtempSync(join(tmpdir(), 'masticbend-naive-'));
  const ports = await reservePorts(PROXY_COUNT);
  const entries = ports.map((port, index) => startProxy(folder, index, port, backends));
  await Promise.all(entries.map(waitUntilReady));
  return {
    folder,
    entries,
    agents: [],
    async stop() {
      await Promise.all(entries.map(stopProcess));
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

function startProxy(
  folder: string,
  index: number,
  port: number,
  backends: readonly BackendPlan[],
): RunningProcess {
  const name = `naive-${index + 1}`;
  const main = fileURLToPath(new URL('naive-proxy.js', import.meta.url));
  const command = [main, String(port), ...backends.map(({ kind, url }) => `${kind}=${url}`)];
  const logFile = join(folder, `${name}.log`);
  const address = `127.0.0.1:${port}`;
  return {
    ...startCommand(command, logFile),
    name,
    program: Program.Entry,
    command,
    logFile,
    administrationUrl: `http://${address}`,
    address,
  };
}
