/**
 * Periodic health check of this agent's backend server. A single failed probe after a success is
 * tolerated, since it may be transient; two in a row make the server not ready.
 */
import { connect } from 'node:net';
import type { Dispatcher } from 'undici';
import type { Clock } from '@masticbend/kernel/clock';

/** Mean interval of probes, with jitter of half of it either way. */
export const PROBE_INTERVAL_MS = 1_000;
/** Longest wait for the answer to a probe. */
const PROBE_TIMEOUT_MS = 1_000;
/** Consecutive failures after which a ready server counts as not ready. */
export const FAILURE_THRESHOLD = 2;
/** Largest list of models. */
const MAX_LIST_BYTES = 1024 * 1024;
const STATUS_OK = 200;

/** Model or adapter listed by an engine. */
export interface LoadedModel {
  /** Name of the model, or `model:adapter`. */
  id: string;
  version?: string | undefined;
}

/** Result of a successful probe; a failed probe rejects. */
export interface ProbeResult {
  /** Models and adapters that are loaded; undefined for services. */
  models?: LoadedModel[];
}

/** Dependencies of the probe. */
export interface BackendProbeOptions {
  clock: Clock;
  drawRandom: () => number;
  probe: () => Promise<ProbeResult>;
  onResult: (ready: boolean, result: ProbeResult) => void;
}

/** Starts probing at once; the returned function stops it. */
export function startBackendProbe(options: BackendProbeOptions): () => void {
  const { clock, drawRandom, probe, onResult } = options;
  let consecutiveFailures = FAILURE_THRESHOLD;
  let stopped = false;
  let stopTimer: (() => void) | undefined;

  function runProbe(): void {
    probe().then(handleSuccess, handleFailure).finally(scheduleProbe);
  }

  function handleSuccess(result: ProbeResult): void {
    consecutiveFailures = 0;
    if (!stopped) onResult(true, result);
  }

  function handleFailure(): void {
    consecutiveFailures += 1;
    if (!stopped && consecutiveFailures >= FAILURE_THRESHOLD) onResult(false, {});
  }

  function scheduleProbe(): void {
    if (stopped) return;
    stopTimer = clock.startTimer(PROBE_INTERVAL_MS * (0.5 + drawRandom()), runProbe);
  }

  runProbe();
  return () => {
    stopped = true;
    stopTimer?.();
  };
}

/** Probes an engine by fetching its list of models. */
export async function probeEngine(client: Dispatcher): Promise<ProbeResult> {
  return { models: await fetchModels(client) };
}

/** Probes a service by opening a connection, since no path to request is known. */
export function probeService(url: string): Promise<ProbeResult> {
  const { hostname, port } = new URL(url);
  return new Promise((resolve, reject) => {
    const socket = connect({ host: hostname, port: Number(port), timeout: PROBE_TIMEOUT_MS });
    socket.once('connect', () => {
      socket.destroy();
      resolve({});
    });
    socket.once('timeout', () => socket.destroy(new Error('timeout')));
    socket.once('error', reject);
  });
}

async function readText(body: AsyncIterable<Buffer>, maxBytes: number): Promise<string> {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    if (bytes > maxBytes) throw new Error(`the engine answered with over ${maxBytes} bytes`);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}

/** Fetches the models and adapters that an engine has loaded. */
export async function fetchModels(client: Dispatcher): Promise<LoadedModel[]> {
  const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
  const { statusCode, body } = await client.request({ method: 'GET', path: '/v1/models', signal });
  const text = await readText(body, MAX_LIST_BYTES);
  if (statusCode !== STATUS_OK) throw new Error(`the engine answered ${statusCode}`);
  return (JSON.parse(text) as { data: LoadedModel[] }).data;
}
