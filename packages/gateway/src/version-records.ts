/**
 * Keeps the records of software versions in the store, one row for each service, and answers from
 * which version an open stream of unknown origin can come. A version is recorded before streams
 * begin at its servers; whoever asks reads the store again, since another entry may have recorded a
 * version that this one has not heard of.
 *
 * All entries observe the same servers. The one that ranks first for a service writes its row; the
 * others write after a delay unless they have heard of the write by then.
 */
import type { Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import type { VersionRecordMessage } from '@masticbend/protocol/gateway-message';
import type { Message } from '@masticbend/protocol/message';
import type { StoreRows } from '@masticbend/platform/store';
import { rankNames } from '@masticbend/scheduling/rendezvous';
import {
  findOnlyVersion,
  isVersionRecorded,
  updateVersionRecord,
  type StoreMoment,
  type VersionRecord,
} from '@masticbend/scheduling/version-record';
import {
  Repeat,
  type BackendServer,
  type GatewayRoute,
  type RoutingConfiguration,
} from '@masticbend/settings/routing';
import type { EraStore } from './store-era.js';
import {
  decodeVersionRecord,
  encodeVersionRecord,
  type StoredRecord,
} from './version-record-row.js';

/** Table of the records; the key is the service. */
export const VERSIONS_TABLE = 'versions';
/** Delay before the next entry in the ranking writes a row. */
const WRITE_STEP_MS = 150;
const MAX_WRITE_STEPS = 10;
/**
 * Time without a listed server after which a version has left: longer than the age of the list at
 * any entry that still admits requests.
 */
const LEFT_DELAY_MS = 6_000;
/** Delay after a failed read or write. */
const RETRY_DELAY_MS = 300;
/** Least time between the starts of two reads, which bounds the calls of many callers at once. */
const MIN_READ_INTERVAL_MS = 50;

/** Software versions from which open streams can come, by service. */
export interface VersionRecords {
  start: () => void;
  stop: () => void;
  /** Replaces the servers that are listed now. */
  setListed: (servers: readonly BackendServer[]) => void;
  /** Replaces the routes by those of a configuration that is in force now. */
  setRoutes: (configuration: RoutingConfiguration) => void;
  /**
   * Returns whether a stream may begin at a server of this version. Where the record names no
   * version, as while the store cannot be read at first, each one may be used.
   */
  isRecorded: (service: string, version: string) => boolean;
  /**
   * Calls `onFound` with the only version of the service from which an open stream of the route can
   * come, by a read of the store that is sent after this call; with undefined where that is not
   * known, or the stream may come from another service.
   */
  findOnly: (
    route: GatewayRoute,
    service: string,
    onFound: (version: string | undefined) => void,
  ) => void;
  /** Another entry has written a row. */
  receive: (message: VersionRecordMessage) => void;
  dump: () => unknown;
}

/** Dependencies of the records. */
export interface VersionRecordsOptions {
  self: string;
  /** The whole system starts for the first time: no stream can be open. */
  isFirstStart: boolean;
  store: Pick<EraStore, 'readRows' | 'writeRow' | 'onRestored'>;
  clock: Clock;
  log: Logger;
  /** Names of the entries that are connected. */
  listLive: () => string[];
  send: (peer: string, message: Message) => void;
}

type Waiting = (moment: StoreMoment | undefined) => void;

/** Returns records that have not been read yet. */
export function createVersionRecords(options: VersionRecordsOptions): VersionRecords {
  const { self, isFirstStart, store, clock, log, listLive, send } = options;
  const records = new Map<string, StoredRecord>();
  const listed = new Map<string, Set<string>>();
  /** Services of the first configuration; a later one may take over the routes of others. */
  let firstServices: ReadonlySet<string> | undefined;
  /** Version of the configuration, and its routes whose streams can be taken up, by service. */
  let routing = { version: 0, routes: new Map<string, Set<string>>() };
  /** When each version was last listed, or first read of where it was not, by service. */
  const lastListedAt = new Map<string, Map<string, number>>();
  /** Timers by their purpose. */
  const stopTimers = new Map<string, () => void>();
  const writing = new Set<string>();
  let waiting: Waiting[] = [];
  let isReading = false;
  let readStartedAt = -Infinity;
  /** The last answer of the store, and when it arrived; undefined before the first one. */
  let lastMoment: (StoreMoment & { at: number }) | undefined;

  function startTimer(name: string, delayMs: number, callback: () => void): void {
    cancelTimer(name);
    const stopTimer = clock.startTimer(delayMs, () => {
      stopTimers.delete(name);
      callback();
    });
    stopTimers.set(name, stopTimer);
  }

  function cancelTimer(name: string): void {
    stopTimers.get(name)?.();
    stopTimers.delete(name);
  }

  /** Reads all records; requests that wait for a read are answered by one that starts later. */
  function startRead(): void {
    if (isReading || stopTimers.has('read')) return;
    const delayMs = readStartedAt + MIN_READ_INTERVAL_MS - clock.now();
    if (delayMs > 0) startTimer('read', delayMs, () => startCall(readAll()));
    else startCall(readAll());
  }

  function startCall(call: Promise<void>): void {
    call.catch((error: Error) => {
      log.error(LogEvent.ProcessFailed, { service: 'versions', error: error.message });
      throw error;
    });
  }

  async function readAll(): Promise<void> {
    const served = waiting;
    waiting = [];
    isReading = true;
    readStartedAt = clock.now();
    const result = await store.readRows(VERSIONS_TABLE);
    isReading = false;
    const moment = result.kind === 'rows' ? applyRows(result.rows) : undefined;
    for (const onRead of served) onRead(moment);
    if (waiting.length > 0) startRead();
    if (moment) checkAll();
    else if (!lastMoment || listUnwritten().length > 0) {
      startTimer('retry', RETRY_DELAY_MS, startRead);
    }
  }

  function applyRows({ rows, storeTimeMs, era }: StoreRows): StoreMoment {
    lastMoment = { storeTimeMs, era, at: clock.now() };
    records.clear();
    for (const { key, value, revision } of rows) {
      const record = decodeVersionRecord(value);
      records.set(key, { record, revision, era });
      if (record) recordVersions(key, record);
    }
    return { storeTimeMs, era };
  }

  /** Versions that other entries have recorded may be listed here a moment later. */
  function recordVersions(service: string, { versions }: VersionRecord): void {
    const times = lastListedAt.get(service) ?? new Map<string, number>();
    const added = versions.filter(
      ({ version, leftAt }) => leftAt === undefined && !times.has(version),
    );
    if (added.length === 0) return;
    for (const { version } of added) times.set(version, clock.now());
    lastListedAt.set(service, times);
    startTimer('left', LEFT_DELAY_MS, checkAll);
  }

  function estimateMoment(): StoreMoment {
    const { storeTimeMs, era, at } = lastMoment!;
    return { storeTimeMs: storeTimeMs + (clock.now() - at), era };
  }

  /** Returns the services whose rows do not show the listed versions. */
  function listUnwritten(): string[] {
    return listServices().filter(
      (service) => updateRecord(service) !== records.get(service)?.record,
    );
  }

  function listServices(): string[] {
    return [...new Set([...listed.keys(), ...records.keys(), ...routing.routes.keys()])];
  }

  function checkAll(): void {
    // A first record without routes would show them as moved here later.
    if (!lastMoment || routing.version === 0) return;
    const unwritten = new Set(listUnwritten());
    for (const service of listServices()) {
      if (unwritten.has(service)) scheduleWrite(service);
      else cancelTimer(`write ${service}`);
    }
  }

  function scheduleWrite(service: string): void {
    const timer = `write ${service}`;
    if (writing.has(service) || stopTimers.has(timer)) return;
    const names = rankNames(service, [self, ...listLive()]);
    const steps = Math.min(names.indexOf(self), MAX_WRITE_STEPS);
    startTimer(timer, steps * WRITE_STEP_MS, () => startCall(write(service)));
  }

  function updateRecord(service: string) {
    const now = clock.now();
    const recent = [...(lastListedAt.get(service) ?? [])].filter(
      ([, at]) => now - at < LEFT_DELAY_MS,
    );
    const observed = {
      listed: listed.get(service) ?? new Set<string>(),
      retained: new Set(recent.map(([version]) => version)),
      configuration: routing.version,
      routes: routing.routes.get(service) ?? new Set<string>(),
      isFirstStart: isFirstStart && firstServices?.has(service) === true,
    };
    return updateVersionRecord(records.get(service)?.record, observed, estimateMoment());
  }

  async function write(service: string): Promise<void> {
    const stored = records.get(service);
    const record = updateRecord(service);
    if (record === stored?.record) return;
    writing.add(service);
    const value = encodeVersionRecord(record);
    const expectedRevision = stored?.revision ?? 0;
    const result = await store.writeRow(VERSIONS_TABLE, service, value, expectedRevision);
    writing.delete(service);
    if (result.kind === 'committed') {
      const { revision, era } = result;
      records.set(service, { record, revision, era });
      const versions = record.versions.map(({ version }) => version).join(',');
      log.info(LogEvent.VersionsRecorded, { service, versions, revision });
      const message = { service, era, revision, value: value.toString() };
      for (const peer of listLive()) send(peer, { kind: 'version-record', ...message });
      checkAll();
    } else if (result.kind === 'conflict') {
      startRead();
    } else {
      startTimer('retry', RETRY_DELAY_MS, startRead);
    }
  }

  return {
    start() {
      store.onRestored(startRead);
      startRead();
    },
    stop() {
      for (const stopTimer of stopTimers.values()) stopTimer();
      stopTimers.clear();
    },
    setListed(servers) {
      const now = clock.now();
      const previous = new Map(listed);
      listed.clear();
      for (const { service, softwareVersion } of servers) {
        listed.set(service, (listed.get(service) ?? new Set()).add(softwareVersion));
      }
      for (const [service, versions] of [...previous, ...listed]) {
        const times = lastListedAt.get(service) ?? new Map<string, number>();
        for (const version of versions) times.set(version, now);
        lastListedAt.set(service, times);
      }
      checkAll();
      // A version whose last server is gone is checked again once it counts as left.
      startTimer('left', LEFT_DELAY_MS, checkAll);
    },
    setRoutes({ version, routes, services }) {
      firstServices ??= new Set(services.keys());
      routing = { version, routes: new Map() };
      for (const route of routes.filter(({ repeat }) => repeat === Repeat.Resume)) {
        for (const { service } of route.targets) {
          const names = routing.routes.get(service) ?? new Set();
          routing.routes.set(service, names.add(formatRoute(route)));
        }
      }
      checkAll();
    },
    isRecorded(service, version) {
      const record = records.get(service)?.record;
      // Another entry would take a stream for one of the only version that the record names.
      return isVersionRecorded(record, version) || (record?.versions.length ?? 0) === 0;
    },
    findOnly(route, service, onFound) {
      waiting.push((moment) => {
        const record = records.get(service)?.record;
        onFound(moment && findOnlyVersion(record, formatRoute(route), moment));
      });
      startRead();
    },
    receive({ service, era, revision, value }) {
      const known = records.get(service);
      const isOlder =
        known && (era < known.era || (era === known.era && revision <= known.revision));
      const record = decodeVersionRecord(Buffer.from(value));
      if (isOlder || !record) return;
      records.set(service, { record, revision, era });
      recordVersions(service, record);
      checkAll();
    },
    dump: () => Object.fromEntries(records),
  };
}

/** What callers name by host and path; the name of a route is the operator's. */
function formatRoute({ host, prefix }: GatewayRoute): string {
  return `${host}${prefix}`;
}
