/** Bounds on what the connections of an entry or an agent make it hold. */
import type { Clock } from '@masticbend/kernel/clock';
import {
  createConnectionBounds,
  type ConnectionBounds,
} from '@masticbend/kernel/connection-bounds';
import { readDescriptorLimit } from '@masticbend/kernel/descriptor-limit';
import type { Logger } from '@masticbend/kernel/log';
import { computeHeldBounds, DEFAULT_LIMITS } from '@masticbend/scheduling/held-bounds';
import { createHeldBytes, type HeldBounds } from '@masticbend/scheduling/held-bytes';
import type { AgentSettings, GatewaySettings, LimitSettings } from './settings.js';

/**
 * One late caller may have 6.4 MiB of answers held, and 60 have 512 KiB each. Without it, answers
 * of 900 kB kept all slots of a server until their caller read, and later requests were refused.
 */
const SPARE_FRACTION = 0.25;
/**
 * A connection exceeds the bound above by what arrives together: up to 64 KiB of requests, with one
 * read of each of their answers.
 */
const MAX_CONNECTION_BYTES = 16 * 1024 * 1024;
/** Backend servers break off an answer that is not read for some seconds. */
const WRITE_MS = 5_000;
/** The heap of an agent is small, and entries send it little. */
const AGENT_BYTES = 12 * 1024 * 1024;

/** Returns the bounds of an entry, which drops slow callers where its features say so. */
export function createEntryBounds(
  clock: Clock,
  log: Logger,
  { features, limits }: Pick<GatewaySettings, 'features' | 'limits'>,
): ConnectionBounds {
  const bounds: HeldBounds = {
    ...computeHeldBounds(resolveLimits(limits)),
    spareFraction: SPARE_FRACTION,
    ...(features.boundedReaders && {
      maxConnectionBytes: MAX_CONNECTION_BYTES,
      writeMs: WRITE_MS,
    }),
  };
  return createConnectionBounds({ clock, log, held: createHeldBytes(bounds) });
}

/** Returns the bounds of an agent. */
export function createAgentBounds(
  clock: Clock,
  log: Logger,
  { limits }: Pick<AgentSettings, 'limits'>,
): ConnectionBounds {
  const bounds = { ...computeHeldBounds(resolveLimits(limits)), processBytes: AGENT_BYTES };
  return createConnectionBounds({ clock, log, held: createHeldBytes(bounds) });
}

function resolveLimits({ memoryMb, descriptors }: Partial<LimitSettings> = {}): LimitSettings {
  return {
    memoryMb: memoryMb ?? DEFAULT_LIMITS.memoryMb,
    descriptors: descriptors ?? readDescriptorLimit() ?? DEFAULT_LIMITS.descriptors,
  };
}
