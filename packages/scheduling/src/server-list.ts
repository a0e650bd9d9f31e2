/**
 * List of the backend servers registered in the store. After an outage of the store, or its
 * restoration from an older copy, servers whose registration has disappeared are kept for a grace
 * period in which they can register again. A restored store may also list servers that are gone, as
 * well as earlier incarnations and states; none of these replaces what is known.
 */
import { ServerState, type BackendServer } from '@masticbend/settings/routing';

/** Grace period after a store outage in which live servers register again, in milliseconds. */
export const REGISTRATION_GRACE_MS = 2_000;
/** Time for which removed servers are remembered; longer than the age of any copy of the store. */
const REMOVED_MEMORY_MS = 60_000;

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
  /** The store was restored from an older copy: its next full list may be out of date. */
  startRestoration: (now: number) => void;
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
  /** Incarnations that were removed, by id, with the time of the removal. */
  const removed = new Map<string, { bornAt: number; removedAt: number }>();
  let graceEndsAt = 0;
  let restorationEndsAt = 0;

  function set(listed: BackendServer): ServerChange[] {
    const known = servers.get(listed.id);
    // A server that leaves does not return to service in the same incarnation.
    const isLeaving = known?.state === ServerState.Leaving && isSameIncarnation(known, listed);
    const server = isLeaving ? { ...listed, state: ServerState.Leaving } : listed;
    servers.set(server.id, server);
    unregistered.delete(server.id);
    if (!known) return [{ server, change: 'seen' }];
    if (!isSameIncarnation(known, server)) {
      return [{ server, change: 'restarted' }];
    }
    if (known.state !== server.state && server.state === ServerState.Leaving) {
      return [{ server, change: 'leaving' }];
    }
    return known.state === server.state ? [] : [{ server, change: 'seen' }];
  }

  function remove(now: number, id: string): ServerChange[] {
    if (now >= graceEndsAt || !servers.has(id)) return drop(now, id);
    if (!unregistered.has(id)) unregistered.set(id, graceEndsAt);
    return [];
  }

  function drop(now: number, id: string): ServerChange[] {
    const server = servers.get(id);
    if (server) removed.set(id, { bornAt: server.bornAt, removedAt: now });
    servers.delete(id);
    unregistered.delete(id);
    return server ? [{ server, change: 'gone' }] : [];
  }

  /** Returns whether a restored store lists a state that is older than the known one. */
  function isOutdated(now: number, { id, bornAt }: BackendServer): boolean {
    if (now >= restorationEndsAt) return false;
    return removed.get(id)?.bornAt === bornAt || (servers.get(id)?.bornAt ?? 0) > bornAt;
  }

  function dropRemoved(now: number): void {
    for (const [id, { removedAt }] of removed) {
      if (now - removedAt > REMOVED_MEMORY_MS) removed.delete(id);
    }
  }

  return {
    setAll(now, listed) {
      const ids = new Set(listed.map(({ id }) => id));
      const missingIds = [...servers.keys()].filter((id) => !ids.has(id));
      dropRemoved(now);
      const current = listed.filter((server) => !isOutdated(now, server));
      return [...current.flatMap(set), ...missingIds.flatMap((id) => remove(now, id))];
    },
    set,
    remove,
    startGracePeriod(now) {
      graceEndsAt = now + REGISTRATION_GRACE_MS;
    },
    startRestoration(now) {
      graceEndsAt = now + REGISTRATION_GRACE_MS;
      restorationEndsAt = graceEndsAt;
    },
    expire(now) {
      const due = [...unregistered].filter(([, expiresAt]) => expiresAt <= now).map(([id]) => id);
      return due.flatMap((id) => drop(now, id));
    },
    findNextExpiry: () => (unregistered.size > 0 ? Math.min(...unregistered.values()) : undefined),
    list: () => selectNewest([...servers.values()]),
  };
}

function isSameIncarnation(left: BackendServer, right: BackendServer): boolean {
  return left.bornAt === right.bornAt && left.address === right.address;
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
