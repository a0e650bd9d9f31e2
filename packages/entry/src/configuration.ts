/**
 * The configuration in an entry: reads the committed head at a jittered interval, commits the
 * first document when there is none, exchanges revisions with the agents, and accepts edits. An
 * edit counts as accepted once it is committed and in force at agents, which outlive this entry.
 */
import { readFileSync } from 'node:fs';
import type { Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import {
  createConfigurationEditor,
  type EditResult,
  type ProposedEdit,
} from '@masticbend/state/configuration-editor';
import type { ConfigurationExchange } from '@masticbend/state/configuration-exchange';
import { refreshReplica } from '@masticbend/state/configuration-refresh';
import type { ConfigurationReplica } from '@masticbend/state/configuration-replica';
import type { ConfigurationStore } from '@masticbend/state/configuration-store';
import { parseConfiguration, type Configuration } from '@masticbend/settings/configuration';
import { formatDocument, parseDocument } from '@masticbend/settings/document';
import { computeDocumentDigest } from '@masticbend/settings/document-digest';

/** Mean interval of readings of the head; each is spread by half of it either way. */
const POLL_INTERVAL_MS = 2_000;
/** Longest mean interval while the platform does not answer, in milliseconds. */
const POLL_BACKOFF_MS = 8_000;
/** Agents that must have an edit in force before it is called accepted, where there are so many. */
const HOLDER_COUNT = 2;
/** Longest wait for them, in milliseconds. */
const HOLDER_TIMEOUT_MS = 2_000;

/** What became of an edit: committed edits say how many agents have them in force. */
export type AcceptedResult =
  | (Extract<EditResult, { kind: 'committed' }> & { holders: number; accepted: boolean })
  | Exclude<EditResult, { kind: 'committed' }>;

/** What the service needs. */
export interface ConfigurationSyncOptions {
  replica: ConfigurationReplica;
  exchange: ConfigurationExchange;
  store: ConfigurationStore;
  clock: Clock;
  log: Logger;
  drawRandom: () => number;
  /** The first document, for when none was ever committed. */
  initialFile?: string;
}

/** Keeps an entry's replica in step with the committed head. */
export interface ConfigurationSync {
  start: () => void;
  stop: () => void;
  submitEdit: (edit: ProposedEdit) => Promise<AcceptedResult>;
  store: ConfigurationStore;
  dump: () => unknown;
}

/** Returns the service, not polling yet. */
export function createConfigurationSync(options: ConfigurationSyncOptions): ConfigurationSync {
  const { replica, exchange, store, clock, log, drawRandom, initialFile } = options;
  const editor = createConfigurationEditor(store, replica, clock.readWallTime);
  let intervalMs = POLL_INTERVAL_MS;
  let available = true;
  let stopTimer = () => {};
  let stopped = false;

  function schedulePoll(): void {
    if (stopped) return;
    stopTimer = clock.startTimer(intervalMs * (0.5 + drawRandom()), poll);
  }

  function poll(): void {
    refresh().then(
      () => recordAvailable(true),
      (error: Error) => recordAvailable(false, error),
    );
  }

  async function refresh(): Promise<void> {
    const row = await refreshReplica(store, replica);
    if (row || !initialFile || replica.getRevision() > 0) return;
    await commitInitial(initialFile);
    await refreshReplica(store, replica);
  }

  async function commitInitial(path: string): Promise<void> {
    const text = readFileSync(path, 'utf8');
    const result = parseConfiguration(text);
    if (!result.ok) {
      log.error(LogEvent.ConfigurationRejected, { file: path, faults: result.faults.length });
      return;
    }
    const document = parseDocument(text);
    await store.commitFirst(formatDocument(document), computeDocumentDigest(document));
  }

  function recordAvailable(answered: boolean, error?: Error): void {
    if (available !== answered) {
      if (answered) log.info(LogEvent.PlatformRestored);
      else log.warn(LogEvent.PlatformUnavailable, { error: error?.message });
    }
    available = answered;
    intervalMs = answered ? POLL_INTERVAL_MS : Math.min(POLL_BACKOFF_MS, intervalMs * 2);
    schedulePoll();
  }

  return {
    start: poll,
    stop() {
      stopped = true;
      stopTimer();
    },
    async submitEdit(edit) {
      const result = await editor.submitEdit(edit);
      if (result.kind !== 'committed') return result;
      const { revision } = result.record;
      const agents = Object.keys(replica.getConfiguration()?.backendServers ?? {}).length;
      const wanted = Math.min(HOLDER_COUNT, agents);
      const holders = await exchange.waitForHolders(revision, wanted, HOLDER_TIMEOUT_MS);
      return { ...result, holders, accepted: holders >= wanted };
    },
    store,
    dump: () => ({ platformAvailable: available, pollIntervalMs: intervalMs }),
  };
}

/** Reads the document whose agents may be asked while nothing is in force; never put in force. */
export function readSeedConfiguration(initialFile: string | undefined): Configuration | undefined {
  if (!initialFile) return undefined;
  const result = parseConfiguration(readFileSync(initialFile, 'utf8'));
  return result.ok ? result.configuration : undefined;
}
