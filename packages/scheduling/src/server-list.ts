/**
 * The list of backend servers as the store tells it. Registrations that vanished while the store
 * was away are kept for as long as their servers need to register again; then missing is gone.
 */
import { ServerState, type BackendServer } from '@masticbend/settings/routing';

/** Time after the store's return in which live servers register again, in milliseconds. */
export const RETURN_LIMIT_MS = 2_000;

/** A change of belief about one server. */
export interface ServerChange {
  server: BackendServer;
  change: 'seen' | 'leaving' | 'gone' | 'restarted';
}

/** List of servers. Times are elapsed milliseconds. */
export interface ServerList {
  /** Replaces the whole list. */
  setAll: (now: number, servers: readonly BackendServer[]) => ServerChange[];
  set: (server: BackendServer) => ServerChange[];
  /** The registration of a server was removed. */
  remove: (now: number, id: string) => ServerChange[];
  /** The store answers again after an outage. */
  recordReturn: (now: number) => void;
  /** Drops servers whose time to register again is over. */
  expire: (now: number) => ServerChange[];
  /** Time at which `expire` has something to do. */
  findNextExpiry: () => number | undefined;
  /** Servers that may be there, one for each address. */
  list: () => BackendServer[];
}

/** Returns an empty list. */
export function createServerList(): ServerList {
  const servers = new Map<string, BackendServer>();
  /** Servers without a registration, with the time at which they count as gone. */
  const missing = new Map<string, number>();
  let graceEndsAt = 0;

  function set(server: BackendServer): ServerChange[] {
    const known = servers.get(server.id);
    servers.set(server.id, server);
    missing.delete(server.id);
    if (!known) return [{ server, change: 'seen' }];
    if (known.bornAt !== server.bornAt || known.address !== server.address) {
      return [{ server, change: 'restarted' }];
    }
    if (known.state !== server.state && server.state === ServerState.Leaving) {
      return [{ server, change: 'leaving' }];
    }
    return known.state === server.state ? [] : [{ server, change: 'seen' }];
  }

  function remove(now: number, id: string): ServerChange[] {
    if (now >= graceEndsAt || !servers.has(id)) return drop(id);
    if (!missing.has(id)) missing.set(id, graceEndsAt);
    return [];
  }

  function drop(id: string): ServerChange[] {
    const server = servers.get(id);
    servers.delete(id);
    missing.delete(id);
    return server ? [{ server, change: 'gone' }] : [];
  }

  return {
    setAll(now, listed) {
      const ids = new Set(listed.map(({ id }) => id));
      const removed = [...servers.keys()].filter((id) => !ids.has(id));
      return [...listed.flatMap(set), ...removed.flatMap((id) => remove(now, id))];
    },
    set,
    remove,
    recordReturn(now) {
      graceEndsAt = now + RETURN_LIMIT_MS;
    },
    expire(now) {
      const due = [...missing].filter(([, goneAt]) => goneAt <= now).map(([id]) => id);
      return due.flatMap(drop);
    },
    findNextExpiry: () => (missing.size > 0 ? Math.min(...missing.values()) : undefined),
    list: () => selectNewest([...servers.values()]),
  };
}

/** An address has one server at a time: a later start there ends those before it. */
function selectNewest(servers: readonly BackendServer[]): BackendServer[] {
  const newest = new Map<string, BackendServer>();
  for (const server of servers) {
    const known = newest.get(server.address);
    if (!known || server.bornAt >= known.bornAt) newest.set(server.address, server);
  }
  return [...newest.values()];
}
