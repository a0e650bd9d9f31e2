/**
 * Follows the registrations of backend servers in the store and updates the components that
 * depend on them.
 */
import type { Kernel, Lifecycle } from '@masticbend/kernel/kernel';
import { LogEvent } from '@masticbend/kernel/log';
import { decodeBackendServer, SERVERS_TABLE } from '@masticbend/platform/backend-servers';
import type { ConfigurationFault } from '@masticbend/platform/section';
import type { StoreRow } from '@masticbend/platform/store';
import { createServerList, type ServerChange } from '@masticbend/scheduling/server-list';
import type { BackendServer } from '@masticbend/settings/routing';
import type { GatewayServices } from './services.js';
import type { GatewaySettings } from './settings.js';
import { createTableFeed, READ_INTERVAL_FRACTION, type TableFeed } from './table-feed.js';

/**
 * Connects to the agents of all engines. Other servers have no agent; the configuration defines
 * which services are engines.
 */
export function updateAgents(kernel: Kernel<GatewayServices>): void {
  const services = kernel.find('view').getView()?.configuration.services;
  const servers = kernel
    .find('board')
    .listServers()
    .map(({ server }) => server);
  const engines = servers.filter(({ service }) => services?.get(service)?.engine !== undefined);
  kernel.find('permits').setServers(engines);
}

/** Returns the service; it reads nothing before it is started. */
export function createServersService(
  kernel: Kernel<GatewayServices>,
  { bounds }: GatewaySettings,
  getElapsed: () => number,
): TableFeed & Lifecycle {
  const log = kernel.find('log');
  const clock = kernel.find('clock');
  const serverPool = kernel.find('board');
  const client = kernel.find('client');
  const versions = kernel.find('versions');
  const rollouts = kernel.find('rollouts');
  const serverList = createServerList();
  /** Revisions of the rows that name no server, by key. */
  const rejected = new Map<string, number>();
  let stopExpiryTimer = () => {};
  let getRevision = () => 0;

  function applyChanges(changes: ServerChange[]): void {
    for (const { server, change } of changes) {
      log.info(LogEvent.ServerChanged, {
        server: server.id,
        service: server.service,
        address: server.address,
        born: server.bornAt,
        software: server.softwareVersion,
        state: server.state,
        change,
        revision: getRevision(),
      });
    }
    const servers = serverList.list();
    serverPool.setServers(servers);
    versions.setListed(servers);
    rollouts.setListed(servers);
    client.retainServers(servers);
    updateAgents(kernel);
    scheduleExpiry();
    kernel.find('requests').sendWaiting();
  }

  function scheduleExpiry(): void {
    stopExpiryTimer();
    const expiresAt = serverList.findNextExpiry();
    if (expiresAt === undefined) return;
    stopExpiryTimer = clock.startTimer(Math.max(1, expiresAt - getElapsed()), () =>
      applyChanges(serverList.expire(getElapsed())),
    );
  }

  /** Decodes a row; one that names no server is logged when it is first read. */
  function decodeRow({ key, value, revision }: StoreRow): BackendServer | undefined {
    const faults: ConfigurationFault[] = [];
    const server = decodeBackendServer(key, value, (fault) => faults.push(fault));
    if (!server && rejected.get(key) !== revision) {
      const [{ place, expected }] = faults as [ConfigurationFault];
      log.warn(LogEvent.RegistrationRejected, { server: key, revision, place, expected });
    }
    if (server) rejected.delete(key);
    else rejected.set(key, revision);
    return server;
  }

  /** Handles a row that cannot be decoded like a deleted one. */
  function applyRow(row: StoreRow): ServerChange[] {
    if (row.deleted) rejected.delete(row.key);
    const server = row.deleted ? undefined : decodeRow(row);
    return server ? serverList.set(server) : serverList.remove(getElapsed(), row.key);
  }

  const feed = createTableFeed({
    intervalMs: bounds.leavingMs * READ_INTERVAL_FRACTION,
    store: kernel.find('store'),
    table: SERVERS_TABLE,
    clock,
    getElapsed,
    log,
    getReadRole: () => kernel.find('relay').getReadRole(),
    events: {
      onRead: () => kernel.find('relay').answerWaiting(SERVERS_TABLE),
      onTable(rows) {
        const keys = new Set(rows.map(({ key }) => key));
        for (const key of rejected.keys()) if (!keys.has(key)) rejected.delete(key);
        const usable = rows.map(decodeRow).filter((server) => server !== undefined);
        applyChanges(serverList.setAll(getElapsed(), usable));
      },
      onChanges: (rows) => applyChanges(rows.flatMap(applyRow)),
      onReconnected: () => serverList.startGracePeriod(getElapsed()),
      onRestored: () => serverList.startRestoration(getElapsed()),
    },
  });
  getRevision = feed.getRevision;
  kernel.find('relay').addTable(SERVERS_TABLE, feed);
  return { ...feed, dump: () => serverPool.listServers().map(({ server }) => server) };
}
