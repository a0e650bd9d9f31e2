/** Reads the processor time, resident memory and mesh traffic of a running process. */
import { readFileSync } from 'node:fs';
import { request } from 'undici';
import { waitFor } from '@masticbend/standins/http';
import type { RunningProcess } from '../deployment.js';

/** Duration of a clock tick in /proc. */
const CLOCK_TICK_MS = 10;
const BYTES_PER_KIBIBYTE = 1_024;
/** Indexes of user and system time among the fields after the command name in /proc/PID/stat. */
const USER_TIME_INDEX = 11;
const SYSTEM_TIME_INDEX = 12;

/** Resource usage of a process since its start. */
export interface Usage {
  atMs: number;
  processorMs: number;
  residentBytes: number;
  /** Bytes sent and received on mesh connections, including framing. */
  meshBytes: number;
}

/** Resource usage of a process between two readings. */
export interface UsageRate {
  /** Fraction of one core, 0 to 1. */
  coreFraction: number;
  meshBytesPerSecond: number;
  residentBytes: number;
}

/** Reads the current resource usage of a process. */
export async function readUsage(running: RunningProcess): Promise<Usage> {
  const { pid } = running.child;
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME_INDEX]) + Number(fields[SYSTEM_TIME_INDEX]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const residentKibibytes = Number(/VmRSS:\s+(\d+)/.exec(status)![1]);
  return {
    atMs: performance.now(),
    processorMs: ticks * CLOCK_TICK_MS,
    residentBytes: residentKibibytes * BYTES_PER_KIBIBYTE,
    meshBytes: await readMeshBytes(running),
  };
}

/** Computes the usage between two readings. */
export function computeRate(before: Usage, after: Usage): UsageRate {
  const durationMs = after.atMs - before.atMs;
  return {
    coreFraction: (after.processorMs - before.processorMs) / durationMs,
    meshBytesPerSecond: ((after.meshBytes - before.meshBytes) / durationMs) * 1_000,
    residentBytes: after.residentBytes,
  };
}

/** Measures the usage of a process over `durationMs`. */
export async function measureProcess(
  running: RunningProcess,
  durationMs: number,
): Promise<UsageRate> {
  const before = await readUsage(running);
  await waitFor(durationMs);
  return computeRate(before, await readUsage(running));
}

async function readMeshBytes(running: RunningProcess): Promise<number> {
  const response = await request(`${running.administrationUrl}/dump`);
  const dump = (await response.body.json()) as { mesh?: unknown };
  const links = Object.values(dump.mesh ?? {}) as { receivedBytes?: number; sentBytes?: number }[];
  return links.reduce(
    (sum, { receivedBytes = 0, sentBytes = 0 }) => sum + receivedBytes + sentBytes,
    0,
  );
}
