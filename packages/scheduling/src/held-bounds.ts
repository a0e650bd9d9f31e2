/** Bounds on what a process holds for its connections, from the memory and descriptors it has. */
import type { HeldBounds } from './held-bytes.js';

const MIB = 1024 * 1024;
/** Memory of a process without load. */
const RUNTIME_BYTES = 100 * MIB;
/** Memory is freed later than bytes, by up to the same amount again. */
const FREED_LATER_FACTOR = 2;
/** Bounds of the bytes for connections: enough for some callers, and within the heap. */
const MIN_PROCESS_BYTES = 8 * MIB;
const MAX_PROCESS_BYTES = 64 * MIB;
/** Part of the descriptors for connections that others open; the process needs the rest itself. */
const CONNECTIONS_FRACTION = 0.6;
/** Most answers fit into it, so that their servers are free while their callers still read. */
const CONNECTION_BYTES = 512 * 1024;

/** Limits of a process whose settings and system tell none: those of the smallest instance. */
export const DEFAULT_LIMITS: ProcessLimits = { memoryMb: 178, descriptors: 4_096 };

/** What a process may use. */
export interface ProcessLimits {
  /** Memory in MiB. */
  memoryMb: number;
  descriptors: number;
}

/** Returns the bounds of a process whose servers wait for slow callers. */
export function computeHeldBounds({ memoryMb, descriptors }: ProcessLimits): HeldBounds {
  const spareBytes = (memoryMb * MIB - RUNTIME_BYTES) / FREED_LATER_FACTOR;
  return {
    connectionBytes: CONNECTION_BYTES,
    maxConnectionBytes: Infinity,
    processBytes: Math.min(MAX_PROCESS_BYTES, Math.max(MIN_PROCESS_BYTES, spareBytes)),
    maxConnections: Math.floor(descriptors * CONNECTIONS_FRACTION),
    writeMs: Infinity,
  };
}
