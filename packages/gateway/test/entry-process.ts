/**
 * The entry program as a process of its own, with a store stand-in and scripted backend servers in
 * the process of the test. An end of the entry by itself and its memory are seen from outside.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { startStoreStandIn, type StoreStandIn } from '@masticbend/platform/store-standin';
import { parseAddress } from '@masticbend/settings/address';
import { stringify } from 'smol-toml';
import type { GatewaySettings } from '../src/settings.js';
import { startBackend, type Script, type ScriptedBackend } from './backend.js';
import {
  createDocument,
  createRegistration,
  createSettings,
  waitFor,
  waitUntil,
  waitUntilServing,
} from './harness.js';

const PROGRAM = fileURLToPath(new URL('../src/main.ts', import.meta.url));
const TARGET = fileURLToPath(new URL('../../../target/', import.meta.url));
/** The program is compiled at its start. */
const START_TIMEOUT_MS = 15_000;
const KIB = 1_024;
/** Time in which an entry reads changed registrations. */
const READ_MS = 1_500;
/** As in `deploy/system.toml`. */
const HEAP_MB = 96;
const MEMORY_FLAGS = ['--max-semi-space-size=4', '--expose-gc'];

/** A running entry and what it depends on. */
export interface EntryProcess {
  child: ChildProcess;
  settings: GatewaySettings;
  store: StoreStandIn;
  backends: ScriptedBackend[];
  /** Lines of its log, and what else it wrote. */
  readLog: () => string[];
  /** Largest memory of the process so far, in bytes. */
  readPeakMemory: () => number;
  /** Whether the process has ended. */
  hasEnded: () => boolean;
  close: () => Promise<void>;
}

/** What differs from the default deployment. */
export interface EntryProcessOptions {
  bounds?: Partial<GatewaySettings['bounds']>;
  /** Changes of the configuration document. */
  configuration?: object;
  /** Changes of the backend servers' registrations. */
  registration?: object;
  contracts?: string;
  /** Address on which the backend servers listen. */
  host?: string;
  /** File in `target/` that runs in place of the sources. */
  bundle?: string;
  /** Bound of the heap in MiB; that of the deployed program by default. */
  heapMb?: number;
  /** Descriptors that the process may open; the limit of the system by default. */
  descriptors?: number;
}

/** Starts an entry in front of backend servers; resolves once it is ready. */
export async function startEntryProcess(
  scripts: Script[],
  options: EntryProcessOptions = {},
): Promise<EntryProcess> {
  const {
    bounds,
    configuration,
    registration,
    contracts = '',
    host,
    bundle,
    heapMb = HEAP_MB,
    descriptors,
  } = options;
  const store = await startStoreStandIn();
  const backends = await Promise.all(scripts.map((script) => startBackend(script, host)));
  store.put('op', 'config', createDocument(configuration));
  backends.forEach(({ address }, index) =>
    store.put('servers', `i-${index}`, createRegistration(address, registration)),
  );
  const { features, ...defaults } = await createSettings(store.address);
  const settings = { ...defaults, logLevel: 'info', bounds: { ...defaults.bounds, ...bounds } };
  const folder = mkdtempSync(join(tmpdir(), 'masticbend-entry-'));
  const path = join(folder, 'entry.toml');
  writeFileSync(path, stringify({ ...settings, contracts }));
  const flags = [`--max-old-space-size=${heapMb}`, ...MEMORY_FLAGS];
  const args = [...flags, ...listProgramArguments(bundle), path];
  const child = startLimited(args, descriptors);
  const chunks: string[] = [];
  let ended = false;
  const keepOutput = (chunk: Buffer) => chunks.push(chunk.toString());
  child.stdout.on('data', keepOutput);
  child.stderr.on('data', keepOutput);
  const exited = new Promise<void>((resolve) => {
    child.once('exit', () => {
      ended = true;
      resolve();
    });
  });

  const readLog = () =>
    chunks
      .join('')
      .split('\n')
      .filter((line) => line !== '');
  const hasStarted = () => readLog().some((line) => line.includes('event=process-started'));

  const entry: EntryProcess = {
    child,
    settings: { ...settings, features },
    store,
    backends,
    readLog,
    readPeakMemory: () => readPeakMemory(child.pid!),
    hasEnded: () => ended,
    async close() {
      child.kill('SIGKILL');
      await exited;
      await Promise.all(backends.map((backend) => backend.close()));
      await store.close();
      rmSync(folder, { recursive: true });
    },
  };
  try {
    await waitUntil(() => ended || hasStarted(), START_TIMEOUT_MS);
    await waitUntilServing(entry.settings, store);
  } catch (error) {
    await entry.close();
    throw new Error(`the entry did not start: ${readLog().join('\n')}`, { cause: error });
  }
  return entry;
}

/** Starts node with an upper limit of its descriptors, if one is given. */
export function startLimited(args: string[], descriptors?: number) {
  const command = [process.execPath, ...args];
  if (descriptors !== undefined) {
    command.unshift('sh', '-c', `ulimit -n ${descriptors} && exec "$0" "$@"`);
  }
  const [file, ...rest] = command as [string, ...string[]];
  return spawn(file, rest, { stdio: ['ignore', 'pipe', 'pipe'] });
}

function listProgramArguments(bundle: string | undefined): string[] {
  if (bundle !== undefined) return [`${TARGET}${bundle}`];
  return ['--import=tsx', '--conditions=source', '--no-warnings', PROGRAM];
}

/**
 * Registers the first backend server at many addresses in place of its own, and waits until they
 * are read: each failure ejects a server, so that a test with many of them needs others. The server
 * must listen on all addresses.
 */
export async function registerManyAddresses(
  { store, backends }: EntryProcess,
  count: number,
): Promise<void> {
  const { port } = parseAddress(backends[0]!.address);
  store.remove('servers', 'i-0');
  for (let number = 1; number <= count; number += 1) {
    const address = `127.0.${Math.floor(number / 250) + 1}.${(number % 250) + 1}:${port}`;
    store.put('servers', `s-${number}`, createRegistration(address));
  }
  await waitFor(READ_MS);
}

/** Reads the peak of the resident memory of a process from `/proc`. */
export function readPeakMemory(pid: number): number {
  const [, kibibytes] =
    /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8')) ?? [];
  return Number(kibibytes) * KIB;
}
