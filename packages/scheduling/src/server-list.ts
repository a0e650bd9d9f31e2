/**
 * List of the backend servers registered in the store. After an outage of the store, servers whose
 * registration has disappeared are kept for a grace period in which they can register again.
 */
import { ServerState, type BackendServer } from '@masticbend/settings/routing';

/** Grace period after a store outage in which live servers register again, in milliseconds. */
export const REGISTRATION_GRACE_MS = 2_000;

/** A change to one server in the list. */
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
  /** The store responds again after an outage: starts the grace period. */
  startGracePeriod: (now: number) => void;
  /** Drops servers that have not registered again by the end of the grace period. */
  expire: (now: number) => ServerChange[];
  /** Time at which `expire` must be called next; undefined if no server can expire. */
  findNextExpiry: () => number | undefined;
  /** Registered servers and those in the grace period, the newest for each address. */
  list: () => BackendServer[];
}

/** Returns an empty list. */
export function createServerList(): ServerList {
  const servers = new Map<string, BackendServer>();
  /** Ids of listed servers without a registration, with the time at which they are dropped. */
  const unregistered = new Map<string, number>();
  let graceEndsAt = 0;

  function set(server: BackendServer): ServerChange[] {
    const known = servers.get(server.id);
    servers.set(server.id, server);
    unregistered.delete(server.id);
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
    if (!unregistered.has(id)) unregistered.set(id, graceEndsAt);
    return [];
  }

  function drop(id: string): ServerChange[] {
    const server = servers.get(id);
    servers.delete(id);
    unregistered.delete(id);
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
    startGracePeriod(now) {
      graceEndsAt = now + REGISTRATION_GRACE_MS;
    },
    expire(now) {
      const due = [...unregistered].filter(([, expiresAt]) => expiresAt <= now).map(([id]) => id);
      return due.flatMap(drop);
    },
    findNextExpiry: () => (unregistered.size > 0 ? Math.min(...unregistered.values()) : undefined),
    list: () => selectNewest([...servers.values()]),
  };
}

/** Only one server runs at an address: one that started later replaces earlier ones. */
function selectNewest(servers: readonly BackendServer[]): BackendServer[] {
  const newest = new Map<string, BackendServer>();
  for (const server of servers) {
    const known = newest.get(server.address);
    if (!known || server.bornAt >= known.bornAt) newest.set(server.address, server);
  }
  return [...newest.values()];
}
