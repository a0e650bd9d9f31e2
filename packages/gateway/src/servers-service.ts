/** Follows the registrations of backend servers in the store and tells who uses them. */
import type { Kernel, Lifecycle } from '@masticbend/kernel/kernel';
import { LogEvent } from '@masticbend/kernel/log';
import { decodeBackendServer, SERVERS_TABLE } from '@masticbend/platform/backend-servers';
import type { StoreRow } from '@masticbend/platform/store';
import { createServerList, type ServerChange } from '@masticbend/scheduling/server-list';
import type { GatewayServices } from './services.js';
import type { GatewaySettings } from './settings.js';
import { createTableFeed, READ_INTERVAL_PART, type TableFeed } from './table-feed.js';

/** Only engines have an agent beside them; the configuration tells which servers are engines. */
export function updateAgents(kernel: Kernel<GatewayServices>): void {
  const services = kernel.find('view').getView()?.configuration.services;
  const servers = kernel
    .find('board')
    .listServers()
    .map(({ server }) => server);
  const engines = servers.filter(({ service }) => services?.get(service)?.engine !== undefined);
  kernel.find('permits').setServers(engines);
}

/** Returns the service; it begins to read when started. */
export function createServersService(
  kernel: Kernel<GatewayServices>,
  { bounds }: GatewaySettings,
  getElapsed: () => number,
): TableFeed & Lifecycle {
  const log = kernel.find('log');
  const clock = kernel.find('clock');
  const board = kernel.find('board');
  const client = kernel.find('client');
  const list = createServerList();
  let stopExpiry = () => {};
  let getRevision = () => 0;

  function applyChanges(changes: ServerChange[]): void {
    for (const { server, change } of changes) {
      log.info(LogEvent.ServerChanged, {
        server: server.id,
        service: server.service,
        address: server.address,
        born: server.bornAt,
        state: server.state,
        change,
        revision: getRevision(),
      });
    }
    const servers = list.list();
    board.setServers(servers);
    client.retain(servers);
    updateAgents(kernel);
    scheduleExpiry();
    kernel.find('requests').pump();
  }

  function scheduleExpiry(): void {
    stopExpiry();
    const expiresAt = list.findNextExpiry();
    if (expiresAt === undefined) return;
    stopExpiry = clock.startTimer(Math.max(1, expiresAt - getElapsed()), () =>
      applyChanges(list.expire(getElapsed())),
    );
  }

  /** A row that names no usable server is as good as none. */
  function applyRow({ key, value, deleted }: StoreRow): ServerChange[] {
    const server = deleted ? undefined : decodeBackendServer(key, value);
    return server ? list.set(server) : list.remove(getElapsed(), key);
  }

  const feed = createTableFeed({
    intervalMs: bounds.leavingMs * READ_INTERVAL_PART,
    store: kernel.find('store'),
    table: SERVERS_TABLE,
    clock,
    getElapsed,
    log,
    events: {
      onTable(rows) {
        const servers = rows.map(({ key, value }) => decodeBackendServer(key, value));
        const usable = servers.filter((server) => server !== undefined);
        applyChanges(list.setAll(getElapsed(), usable));
      },
      onChanges: (rows) => applyChanges(rows.flatMap(applyRow)),
      onRestored: () => list.recordReturn(getElapsed()),
    },
  });
  getRevision = feed.getRevision;
  return { ...feed, dump: () => board.listServers().map(({ server }) => server) };
}
