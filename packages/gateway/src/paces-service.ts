/** Paces of the servers as one entry sees them, with their log lines. */
import type { Kernel } from '@masticbend/kernel/kernel';
import { LogEvent } from '@masticbend/kernel/log';
import { createPacedServers, type PacedServers } from '@masticbend/scheduling/paced-servers';
import type { ServerEntry } from '@masticbend/scheduling/server-entry';
import type { GatewayServices } from './services.js';

/** Returns the paces; the services that they depend on are looked up when they are used. */
export function createPacesService(kernel: Kernel<GatewayServices>): PacedServers {
  const clock = kernel.find('clock');
  const log = kernel.find('log');
  return createPacedServers({
    findPart: (service) => kernel.find('demand').findPart(clock.now(), service),
    listServers: () => kernel.find('board').listServers(),
    onChange: ({ id }, limit, reason) =>
      log.info(LogEvent.PaceChanged, { server: id, limit, reason }),
  });
}

/** Returns the concurrent requests that the paces of the servers allow together. */
export function sumPaces(servers: readonly ServerEntry[]): number {
  return servers.reduce((sum, { pace }) => sum + (pace?.getLimit() ?? 0), 0);
}

/** Returns whether the demand for a server's service decides which part of its pace is used. */
export function isBelowFullPace({ pace }: ServerEntry): boolean {
  return pace !== undefined && !pace.isFull();
}
