/** Bounds on the connections of a process whose settings do not tell what it may use. */
import type { Clock } from '@masticbend/kernel/clock';
import {
  createConnectionBounds,
  type BoundedConnection,
  type ConnectionBounds,
} from '@masticbend/kernel/connection-bounds';
import type { Logger } from '@masticbend/kernel/log';
import { computeHeldBounds, DEFAULT_LIMITS } from './held-bounds.js';
import { createHeldBytes } from './held-bytes.js';

/** Memory of an instance of the product's own entry or agent, in MiB. */
const MEMORY_MB = 256;

/** Returns the bounds of a process without limits in its settings. */
export function createDefaultBounds(
  clock: Clock,
  log: Logger,
  descriptors = DEFAULT_LIMITS.descriptors,
): ConnectionBounds {
  const held = createHeldBytes<BoundedConnection>(
    computeHeldBounds({ memoryMb: MEMORY_MB, descriptors }),
  );
  return createConnectionBounds({ clock, log, held });
}
