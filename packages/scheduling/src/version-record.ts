/**
 * Record of the software versions from which open streams of a service can come. It is kept in the
 * store and outlives the entries that write it, so that entries which start together, with no
 * memory of earlier streams, still know which versions began them.
 *
 * A version is recorded before a stream begins at one of its servers, and marked as left after its
 * last server is gone. Where a record does not show all versions, as after the restoration of the
 * store from an older copy, it says until when a stream of an unrecorded version can be open.
 *
 * It also names the routes to the service and since when they lead there: the open streams of a
 * route that was moved can come from another service.
 */

/** Time for which a version counts after its last server has left; longer than any stream. */
export const MAX_STREAM_MS = 30_000;
/** Routes of one record, which bounds its row; streams of others need a caller that names one. */
const MAX_ROUTES = 1_000;

/** Record of one service. Times are those of the store, in milliseconds. */
export interface VersionRecord {
  /** Era of the store in which it was written. */
  era: number;
  /** Until then, open streams can come from versions that it does not name. */
  incompleteUntil: number;
  versions: readonly RecordedVersion[];
  /** Version of the configuration that the routes are from. */
  configuration: number;
  routes: readonly RecordedRoute[];
}

/** A software version in the record. */
export interface RecordedVersion {
  version: string;
  /** When its last server left; undefined while there is one. */
  leftAt?: number;
}

/** A route to the service, and since when it leads there; 0 for always. */
export interface RecordedRoute {
  route: string;
  since: number;
}

/** Moment of a read or write of the store. */
export interface StoreMoment {
  storeTimeMs: number;
  era: number;
}

/** What a revision of a record is based on. */
export interface ObservedVersions {
  /** Versions of the servers that are listed. */
  listed: ReadonlySet<string>;
  /** Versions that were listed until recently; they are not marked as left yet. */
  retained: ReadonlySet<string>;
  /** Version of the configuration that is in force here, and its routes to the service. */
  configuration: number;
  routes: ReadonlySet<string>;
  /** The whole system starts for the first time: no stream can be open. */
  isFirstStart: boolean;
}

/** Returns the record as it should be; the same object where nothing has to be written. */
export function updateVersionRecord(
  record: VersionRecord | undefined,
  observed: ObservedVersions,
  { storeTimeMs, era }: StoreMoment,
): VersionRecord {
  const { listed, retained, isFirstStart } = observed;
  const isTrusted = record ? record.era === era : isFirstStart;
  const known = record?.versions ?? [];
  const names = new Set(known.map(({ version }) => version));
  const added = [...listed].filter((version) => !names.has(version)).sort();
  const versions: RecordedVersion[] = [
    ...known.map((each) => updateVersion(each, listed, retained, storeTimeMs)),
    ...added.map((version) => ({ version })),
  ];
  const routing = updateRoutes(record, observed, isTrusted && !record ? 0 : storeTimeMs);
  const isSame = isEqual(versions, known) && isEqual(routing.routes, record?.routes ?? []);
  if (record && isTrusted && isSame) return record;
  return {
    era,
    incompleteUntil: isTrusted ? (record?.incompleteUntil ?? 0) : storeTimeMs + MAX_STREAM_MS,
    versions: versions.filter(({ leftAt = Infinity }) => !isOver(leftAt, storeTimeMs)),
    ...routing,
  };
}

/** Returns whether streams may begin at servers of this version. */
export function isVersionRecorded(record: VersionRecord | undefined, version: string): boolean {
  return (
    record?.versions.some((each) => each.version === version && each.leftAt === undefined) ?? false
  );
}

/**
 * Returns the only version from which a stream of a route that is open at this moment can come;
 * undefined where there are several or some may be unknown.
 */
export function findOnlyVersion(
  record: VersionRecord | undefined,
  route: string,
  { storeTimeMs, era }: StoreMoment,
): string | undefined {
  if (!record || record.era !== era || record.incompleteUntil > storeTimeMs) return undefined;
  const known = record.routes.find((each) => each.route === route);
  if (!known || (known.since > 0 && !isOver(known.since, storeTimeMs))) return undefined;
  const open = record.versions.filter(({ leftAt = Infinity }) => !isOver(leftAt, storeTimeMs));
  return open.length === 1 ? open[0]!.version : undefined;
}

function updateVersion(
  recorded: RecordedVersion,
  listed: ReadonlySet<string>,
  retained: ReadonlySet<string>,
  storeTimeMs: number,
): RecordedVersion {
  const { version, leftAt } = recorded;
  if (listed.has(version)) return leftAt === undefined ? recorded : { version };
  if (leftAt !== undefined || retained.has(version)) return recorded;
  return { version, leftAt: storeTimeMs };
}

/** An entry whose configuration is older than that of the record leaves the routes as they are. */
function updateRoutes(
  record: VersionRecord | undefined,
  { configuration, routes }: ObservedVersions,
  since: number,
): Pick<VersionRecord, 'configuration' | 'routes'> {
  if (record && configuration <= record.configuration) {
    return { configuration: record.configuration, routes: record.routes };
  }
  const known = (record?.routes ?? []).filter(({ route }) => routes.has(route));
  const names = new Set(known.map(({ route }) => route));
  const added = [...routes].filter((route) => !names.has(route)).sort();
  return {
    configuration,
    routes: [...known, ...added.map((route) => ({ route, since }))].slice(0, MAX_ROUTES),
  };
}

/** Returns whether no stream that was open at a time can still be. */
function isOver(at: number, storeTimeMs: number): boolean {
  return at + MAX_STREAM_MS <= storeTimeMs;
}

function isEqual<Each>(left: readonly Each[], right: readonly Each[]): boolean {
  return left.length === right.length && left.every((each, index) => each === right[index]);
}
