/**
 * Follows the configuration in the store and reports how recently it was confirmed. A version never
 * replaces a later one. Where a peer knows a later version than the store returns, the store was
 * restored from an older copy, and keys that the later version revoked may still be in it.
 */
import type { Kernel, Lifecycle } from '@masticbend/kernel/kernel';
import { LogEvent } from '@masticbend/kernel/log';
import {
  CONFIGURATION_KEY,
  CONFIGURATION_TABLE,
  decodeConfiguration,
} from '@masticbend/platform/configuration';
import type { ConfigurationFault } from '@masticbend/platform/section';
import type { StoreRow } from '@masticbend/platform/store';
import type { AccountLimit, RoutingConfiguration } from '@masticbend/settings/routing';
import { createConfigurationView, type ConfigurationView } from './configuration-view.js';
import { updateAgents } from './servers-service.js';
import type { GatewayServices, ViewService } from './services.js';
import type { GatewaySettings } from './settings.js';
import { createTableFeed, READ_INTERVAL_FRACTION, type RowSource } from './table-feed.js';

/** Fraction of the allowed key age that is used; the rest covers the latency of a request. */
const KEY_FRESHNESS_FRACTION = 0.97;
/** Age of the last read from which an entry is not ready, as a fraction of the allowed key age. */
const READINESS_FRACTION = 0.6;

/** Faults of one version that are logged one by one. */
const MAX_LOGGED_FAULTS = 10;

/** Returns the service; it reads nothing before it is started. */
export function createViewService(
  kernel: Kernel<GatewayServices>,
  settings: GatewaySettings,
  getElapsed: () => number,
): ViewService & Lifecycle {
  const log = kernel.find('log');
  const { keyFreshnessMs, configurationMs } = settings.bounds;
  let view: ConfigurationView | undefined;
  let wereFresh = false;
  let endRewrite = () => {};
  /** Revision of the configuration row that was applied last. */
  let rowRevision: number | undefined;
  /** That revision at the restoration of the store, while the row may be an old copy. */
  let copiedRevision: number | undefined;
  /** Latest version that a peer reported, and when it was first reported. */
  let peerVersion = { version: 0, reportedAt: 0 };

  /** A row with another revision and no older version was written after the restoration. */
  function checkRewrite(row: StoreRow, version: number): void {
    if (copiedRevision === undefined || row.revision === copiedRevision) return;
    if (view && version < view.configuration.version) return;
    copiedRevision = undefined;
    endRewrite();
  }

  function applyRows(rows: readonly StoreRow[], { peer, ageMs }: RowSource): void {
    const row = rows.filter(({ key, deleted }) => key === CONFIGURATION_KEY && !deleted).at(-1);
    if (!row) return;
    const faults: ConfigurationFault[] = [];
    const configuration = decodeConfiguration(row.value, (fault) => faults.push(fault));
    if (!configuration) {
      log.error(LogEvent.ConfigurationRejected, {
        revision: row.revision,
        bytes: row.value.length,
        place: faults[0]?.place,
        expected: faults[0]?.expected,
      });
      return;
    }
    checkRewrite(row, configuration.version);
    if (view && configuration.version < view.configuration.version) return;
    rowRevision = row.revision;
    if (configuration.version === view?.configuration.version) return;
    view = createConfigurationView(configuration);
    log.info(LogEvent.ConfigurationApplied, {
      version: configuration.version,
      revision: row.revision,
      routes: configuration.routes.length,
      accounts: configuration.accounts?.length ?? 'none',
      keys: view.accounts?.size,
      peer,
      ageMs: Math.round(ageMs),
    });
    writeFaults(configuration.version, faults);
    kernel.find('limits').setLimits(kernel.find('clock').now(), listLimits(configuration));
    updateAgents(kernel);
    kernel.find('versions').setRoutes(configuration);
    kernel.find('ingress').applyLimits();
  }

  /** Values are left out of the log, since they may be keys. */
  function writeFaults(version: number, faults: readonly ConfigurationFault[]): void {
    for (const { place, expected } of faults.slice(0, MAX_LOGGED_FAULTS)) {
      log.warn(LogEvent.ConfigurationFault, { version, place, expected, faults: faults.length });
    }
  }

  const feed = createTableFeed({
    intervalMs: configurationMs * READ_INTERVAL_FRACTION,
    store: kernel.find('store'),
    table: CONFIGURATION_TABLE,
    clock: kernel.find('clock'),
    getElapsed,
    log,
    getReadRole: () => kernel.find('relay').getReadRole(),
    events: {
      onRead: () => kernel.find('relay').answerWaiting(CONFIGURATION_TABLE),
      // Orders come first, so that no request is placed by a configuration without them.
      onTable(rows, source) {
        kernel.find('rollouts').applyRows(rows, true);
        applyRows(rows, source);
      },
      onChanges(rows, source) {
        kernel.find('rollouts').applyRows(rows, false);
        applyRows(rows, source);
      },
      onRestored() {
        copiedRevision = rowRevision;
      },
    },
  });

  endRewrite = feed.endRewrite;
  kernel.find('relay').addTable(CONFIGURATION_TABLE, feed);

  function getAgeMs(): number {
    return feed.getAgeMs() ?? Infinity;
  }

  /** Returns whether a read sent after a peer reported a later version did not return it. */
  function isBehindPeers(): boolean {
    if ((view?.configuration.version ?? 0) >= peerVersion.version) return false;
    return getAgeMs() < getElapsed() - peerVersion.reportedAt;
  }

  function checkKeyFreshness(): boolean {
    const isFresh =
      getAgeMs() < keyFreshnessMs * KEY_FRESHNESS_FRACTION &&
      !isBehindPeers() &&
      kernel.find('members').isLeaseHeld();
    if (isFresh !== wereFresh) {
      wereFresh = isFresh;
      const ageMs = Math.round(Math.min(getAgeMs(), Number.MAX_SAFE_INTEGER));
      log.info(isFresh ? LogEvent.KeysFresh : LogEvent.KeysStale, { ageMs });
    }
    return isFresh;
  }

  return {
    start: feed.start,
    stop: feed.stop,
    refresh: feed.refresh,
    getView: () => view,
    recordPeerVersion(version) {
      if (version > peerVersion.version) peerVersion = { version, reportedAt: getElapsed() };
    },
    areKeysFresh: checkKeyFreshness,
    getAgeMs: feed.getAgeMs,
    isConfigurationRecent: () => getAgeMs() < keyFreshnessMs * READINESS_FRACTION,
    dump: () => ({
      version: view?.configuration.version,
      revision: feed.getRevision(),
      accounts: view?.configuration.accounts?.length ?? 'none',
    }),
  };
}

function listLimits({ accounts }: RoutingConfiguration): Map<string, AccountLimit> {
  const limited = accounts?.flatMap(({ name, limit }) => (limit ? [[name, limit] as const] : []));
  return new Map(limited);
}
