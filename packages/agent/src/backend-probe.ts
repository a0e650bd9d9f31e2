/**
 * Probes the backend server beside this agent at intervals. One failure after a success may be an
 * accident; a second in a row means that it is not ready.
 */
import { connect } from 'node:net';
import type { Dispatcher } from 'undici';
import type { Clock } from '@masticbend/kernel/clock';

/** Mean interval of probes; each is spread by half of it either way. */
export const PROBE_INTERVAL_MS = 1_000;
/** Longest wait for the answer to a probe, in milliseconds. */
const PROBE_TIMEOUT_MS = 1_000;
/** Failures in a row after which a server that was ready is not. */
export const FAILURE_THRESHOLD = 2;
const STATUS_OK = 200;

/** A model or adapter as an engine lists it. */
export interface LoadedModel {
  /** Name of the model, or `model:adapter`. */
  id: string;
  version?: string | undefined;
}

/** What a probe found out; it throws when the backend server does not answer. */
export interface ProbeResult {
  /** Missing for services. */
  models?: LoadedModel[];
}

/** What the probes need from the rest of the agent. */
export interface BackendProbeOptions {
  clock: Clock;
  drawRandom: () => number;
  probe: () => Promise<ProbeResult>;
  onResult: (ready: boolean, result: ProbeResult) => void;
}

/** Starts probing at once; the returned function ends it. */
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

/** Asks an engine for its models. */
export async function probeEngine(client: Dispatcher): Promise<ProbeResult> {
  return { models: await fetchModels(client) };
}

/** Opens and closes a connection to a service, whose paths are not known. */
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

/** Returns what an engine has loaded. */
export async function fetchModels(client: Dispatcher): Promise<LoadedModel[]> {
  const signal = AbortSignal.timeout(PROBE_TIMEOUT_MS);
  const { statusCode, body } = await client.request({ method: 'GET', path: '/v1/models', signal });
  const text = await body.text();
  if (statusCode !== STATUS_OK) throw new Error(`the engine answered ${statusCode}`);
  return (JSON.parse(text) as { data: LoadedModel[] }).data;
}
