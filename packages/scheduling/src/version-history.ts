/**
 * Software versions of each service that were listed recently. Where it was one only, it is also
 * that of every stream that is still open, so that a stream of unknown origin can go on there.
 */
import type { BackendServer } from '@masticbend/settings/routing';

/** Time for which a version counts after its last server was listed; longer than any stream. */
const RECENT_MS = 30_000;

/** Software versions by service. */
export type ServiceVersions = Readonly<Record<string, readonly string[]>>;

/** Recently listed versions. Times are elapsed milliseconds. */
export interface VersionHistory {
  /** Replaces the servers that are listed now. */
  setListed: (now: number, servers: readonly BackendServer[]) => void;
  /**
   * Adds the versions that other processes saw before this one started. Until the first call the
   * history is incomplete.
   */
  addEarlier: (now: number, versions: ServiceVersions) => void;
  /** Returns all versions that count. */
  listRecent: (now: number) => ServiceVersions;
  /** Returns the only version that counts; undefined for several or an incomplete history. */
  findOnly: (now: number, service: string) => string | undefined;
}

/** Returns an incomplete history. */
export function createVersionHistory(): VersionHistory {
  /** Times until which versions count, by service and version. */
  const countedUntil = new Map<string, Map<string, number>>();
  let listed: readonly BackendServer[] = [];
  let isComplete = false;

  function add(now: number, service: string, version: string): void {
    const versions = countedUntil.get(service) ?? new Map<string, number>();
    versions.set(version, now + RECENT_MS);
    countedUntil.set(service, versions);
  }

  function refreshListed(now: number): void {
    for (const { service, softwareVersion } of listed) add(now, service, softwareVersion);
    for (const versions of countedUntil.values()) {
      for (const [version, until] of versions) if (until <= now) versions.delete(version);
    }
  }

  return {
    setListed(now, servers) {
      refreshListed(now);
      listed = servers;
      refreshListed(now);
    },
    addEarlier(now, versions) {
      isComplete = true;
      for (const [service, names] of Object.entries(versions)) {
        for (const version of names) add(now, service, version);
      }
    },
    listRecent(now) {
      refreshListed(now);
      return Object.fromEntries(
        [...countedUntil].map(([service, versions]) => [service, [...versions.keys()]]),
      );
    },
    findOnly(now, service) {
      refreshListed(now);
      const versions = [...(countedUntil.get(service)?.keys() ?? [])];
      return isComplete && versions.length === 1 ? versions[0] : undefined;
    },
  };
}
