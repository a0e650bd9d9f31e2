/**
 * Synchronises the configuration of an entry: polls the committed head at a jittered interval,
 * commits the initial document if none was ever committed, and submits edits. An edit counts as
 * accepted once it is committed and in force at agents, because agents outlive this entry.
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

/** Mean interval between polls of the head, with jitter of half of it either way. */
const POLL_INTERVAL_MS = 2_000;
/** Maximum mean interval of the exponential back-off while the platform is unavailable. */
const MAX_POLL_INTERVAL_MS = 8_000;
/** Agents at which an edit must be in force to count as accepted, or all agents if fewer exist. */
const CONFIRMING_AGENT_COUNT = 2;
/** Time to wait for the confirmation by these agents. */
const CONFIRMATION_TIMEOUT_MS = 2_000;

/** Result of an edit; `holders` is the number of agents at which a committed edit is in force. */
export type AcceptedResult =
  | (Extract<EditResult, { kind: 'committed' }> & { holders: number; accepted: boolean })
  | Exclude<EditResult, { kind: 'committed' }>;

/** Dependencies of the configuration synchronisation. */
export interface ConfigurationSyncOptions {
  replica: ConfigurationReplica;
  exchange: ConfigurationExchange;
  store: ConfigurationStore;
  clock: Clock;
  log: Logger;
  drawRandom: () => number;
  /** File of the document to commit if none was ever committed. */
  initialFile?: string;
}

/** Keeps an entry's replica synchronised with the committed head. */
export interface ConfigurationSync {
  start: () => void;
  stop: () => void;
  submitEdit: (edit: ProposedEdit) => Promise<AcceptedResult>;
  store: ConfigurationStore;
  dump: () => unknown;
}

/** Returns the synchronisation, which does not poll before `start`. */
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
    await store.commitInitialDocument(formatDocument(document), computeDocumentDigest(document));
  }

  function recordAvailable(isAvailable: boolean, error?: Error): void {
    if (available !== isAvailable) {
      if (isAvailable) log.info(LogEvent.PlatformRestored);
      else log.warn(LogEvent.PlatformUnavailable, { error: error?.message });
    }
    available = isAvailable;
    intervalMs = isAvailable ? POLL_INTERVAL_MS : Math.min(MAX_POLL_INTERVAL_MS, intervalMs * 2);
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
      const requiredAgents = Math.min(CONFIRMING_AGENT_COUNT, agents);
      const confirmations = await exchange.waitForConfirmations(
        revision,
        requiredAgents,
        CONFIRMATION_TIMEOUT_MS,
      );
      return { ...result, holders: confirmations, accepted: confirmations >= requiredAgents };
    },
    store,
    dump: () => ({ platformAvailable: available, pollIntervalMs: intervalMs }),
  };
}

/**
 * Reads the initial document, which names the agents to connect to while no configuration is in
 * force. The document itself is not put in force.
 */
export function readBootstrapConfiguration(
  initialFile: string | undefined,
): Configuration | undefined {
  if (!initialFile) return undefined;
  const result = parseConfiguration(readFileSync(initialFile, 'utf8'));
  return result.ok ? result.configuration : undefined;
}
