/**
 * Replicates the configuration between connected processes. Each process announces the revision it
 * has in force. A process that is behind requests the missing edits from one peer at a time; a peer
 * that no longer keeps them sends the complete document in chunks. Entries and agents run the same
 * code, so a revision spreads from an entry through agents to the other entries without the
 * platform's services.
 */
import type { Clock } from '@masticbend/kernel/clock';
import type {
  ConfigurationEditMessage,
  ConfigurationMessage,
} from '@masticbend/protocol/configuration-message';
import type { Message } from '@masticbend/protocol/message';
import { formatDocument, type Operation } from '@masticbend/settings/document';
import { ApplyOutcome, type ConfigurationReplica } from './configuration-replica.js';

const REQUEST_TIMEOUT_MS = 1_000;
/** Size of one chunk of a document, and the largest number of chunks accepted. */
const CHUNK_CHARACTERS = 64 * 1024;
const MAX_CHUNKS = 256;
/** Sent as the revision of a request for the complete document instead of edits. */
const NO_REVISION = 0;

/** Dependencies of the exchange. */
export interface ConfigurationExchangeOptions {
  replica: ConfigurationReplica;
  clock: Clock;
  /** Sends a message to a peer; false when it was not sent. */
  send: (peer: string, message: Message) => boolean;
}

/** Configuration exchange of one process with its connected peers. */
export interface ConfigurationExchange {
  /** Adds a connected peer with the revision it has in force. */
  addPeer: (peer: string, revision: number) => void;
  removePeer: (peer: string) => void;
  /** Handles a message; returns false when it does not concern the configuration. */
  handleMessage: (peer: string, message: Message) => boolean;
  /**
   * Waits until at least `minPeers` peers have announced the revision or a higher one, or until
   * the timeout; resolves to the number of peers that have.
   */
  waitForConfirmations: (revision: number, minPeers: number, timeoutMs: number) => Promise<number>;
  countPeers: () => number;
  dump: () => unknown;
}

interface Peer {
  /** Highest revision the peer has announced. */
  revision: number;
  /** True after a timeout or an unusable answer; then chosen only if no other peer is ahead. */
  failed: boolean;
}

interface DocumentAssembly {
  peer: string;
  revision: number;
  digest: string;
  chunks: string[];
}

/** Returns an exchange without peers. */
export function createConfigurationExchange(
  options: ConfigurationExchangeOptions,
): ConfigurationExchange {
  const { replica, clock, send } = options;
  const peers = new Map<string, Peer>();
  const revisionListeners = new Set<() => void>();
  let pendingRequest: { peer: string; stopTimer: () => void } | undefined;
  let assembly: DocumentAssembly | undefined;
  let formatted: { revision: number; text: string } | undefined;

  replica.subscribe((_, revision) => {
    for (const peer of peers.keys()) send(peer, { kind: 'revision', revision });
    fetchMissing();
  });

  function fetchMissing(after = replica.getRevision()): void {
    if (pendingRequest && peers.has(pendingRequest.peer)) return;
    const peer = choosePeer();
    if (peer === undefined) return;
    if (!send(peer, { kind: 'revision-request', revision: after })) return;
    pendingRequest = {
      peer,
      stopTimer: clock.startTimer(REQUEST_TIMEOUT_MS, () => finishRequest(true)),
    };
  }

  function choosePeer(): string | undefined {
    const peersAhead = [...peers].filter(([, { revision }]) => revision > replica.getRevision());
    const best = peersAhead.find(([, { failed }]) => !failed) ?? peersAhead[0];
    return best?.[0];
  }

  function finishRequest(failed: boolean, after?: number): void {
    if (!pendingRequest) return;
    const peer = peers.get(pendingRequest.peer);
    if (peer) peer.failed = failed;
    pendingRequest.stopTimer();
    pendingRequest = undefined;
    assembly = undefined;
    fetchMissing(after);
  }

  function recordRevision(peer: string, revision: number): void {
    const state = peers.get(peer);
    if (!state) return;
    state.revision = Math.max(state.revision, revision);
    for (const listener of revisionListeners) listener();
    fetchMissing();
  }

  function answerRequest(peer: string, after: number): void {
    const current = replica.getCurrent();
    if (!current || current.revision <= after) return;
    const edits = after === NO_REVISION ? undefined : replica.listEditsAfter(after);
    if (!edits) {
      sendDocument(peer);
      return;
    }
    for (const { revision, digest, operations } of edits) {
      const text = JSON.stringify(operations);
      send(peer, { kind: 'configuration-edit', revision, digest, operations: text });
    }
  }

  function sendDocument(peer: string): void {
    const { revision, digest, document } = replica.getCurrent()!;
    if (formatted?.revision !== revision) formatted = { revision, text: formatDocument(document) };
    const { text } = formatted;
    const count = Math.max(1, Math.ceil(text.length / CHUNK_CHARACTERS));
    for (let index = 0; index < count; index += 1) {
      const chunk = text.slice(index * CHUNK_CHARACTERS, (index + 1) * CHUNK_CHARACTERS);
      send(peer, { kind: 'configuration', revision, digest, index, count, text: chunk });
    }
  }

  function handleEdit(peer: string, message: ConfigurationEditMessage): void {
    const operations = parseOperations(message.operations);
    const { revision, digest } = message;
    const outcome = operations
      ? replica.applyEdit({ revision, digest, operations })
      : ApplyOutcome.Rejected;
    handleApplyOutcome(peer, outcome);
  }

  function handleDocumentChunk(peer: string, message: ConfigurationMessage): void {
    if (pendingRequest?.peer !== peer) return;
    const { revision, digest, index, count, text } = message;
    if (index === 0) assembly = { peer, revision, digest, chunks: [] };
    const isNextChunk =
      assembly?.peer === peer &&
      assembly.revision === revision &&
      assembly.chunks.length === index &&
      count <= MAX_CHUNKS;
    if (!assembly || !isNextChunk) {
      finishRequest(true);
      return;
    }
    assembly.chunks.push(text);
    if (assembly.chunks.length < count) return;
    const outcome = replica.applyDocument(revision, assembly.chunks.join(''), digest);
    // After an unusable document the request stays pending until its timeout, which spaces retries.
    if (outcome === ApplyOutcome.Applied) handleApplyOutcome(peer, outcome);
  }

  function handleApplyOutcome(peer: string, outcome: ApplyOutcome): void {
    if (pendingRequest?.peer !== peer || outcome === ApplyOutcome.Stale) return;
    if (outcome === ApplyOutcome.Applied) {
      const isBehind = (peers.get(peer)?.revision ?? 0) > replica.getRevision();
      if (!isBehind) finishRequest(false);
      return;
    }
    finishRequest(true, NO_REVISION);
  }

  function countConfirmingPeers(revision: number): number {
    return [...peers.values()].filter((peer) => peer.revision >= revision).length;
  }

  return {
    addPeer(peer, revision) {
      peers.set(peer, { revision, failed: false });
      const ownRevision = replica.getRevision();
      if (ownRevision > 0) send(peer, { kind: 'revision', revision: ownRevision });
      recordRevision(peer, revision);
    },
    removePeer(peer) {
      peers.delete(peer);
      if (pendingRequest?.peer === peer) finishRequest(true);
    },
    handleMessage(peer, message) {
      if (message.kind === 'revision') recordRevision(peer, message.revision);
      else if (message.kind === 'revision-request') answerRequest(peer, message.revision);
      else if (message.kind === 'configuration-edit') handleEdit(peer, message);
      else if (message.kind === 'configuration') handleDocumentChunk(peer, message);
      else return false;
      return true;
    },
    waitForConfirmations(revision, minPeers, timeoutMs) {
      return new Promise((resolve) => {
        const stopTimer = clock.startTimer(timeoutMs, finish);
        const check = () => {
          if (countConfirmingPeers(revision) >= minPeers) finish();
        };
        function finish(): void {
          stopTimer();
          revisionListeners.delete(check);
          resolve(countConfirmingPeers(revision));
        }
        revisionListeners.add(check);
        check();
      });
    },
    countPeers: () => peers.size,
    dump: () => ({
      asked: pendingRequest?.peer,
      peers: Object.fromEntries([...peers].map(([peer, { revision }]) => [peer, revision])),
    }),
  };
}

function parseOperations(text: string): Operation[] | undefined {
  try {
    const value = JSON.parse(text) as unknown;
    return Array.isArray(value) ? (value as Operation[]) : undefined;
  } catch {
    return undefined;
  }
}
