/**
 * Sends changed evidence of crashes to the other entries. Changes that come soon after a message
 * are collected, so that the traffic is bounded however many servers crash with many requests.
 */
import type { CrashEvidenceMessage } from '@masticbend/protocol/gateway-message';
import type { CrashEvidence } from '@masticbend/scheduling/crash-evidence';
import type { SuspectEvidence } from '@masticbend/scheduling/suspect-record';

/** Shortest interval between messages to the other entries, and its increase with each of them. */
const MESSAGE_INTERVAL_MS = 20;
const PEER_INTERVAL_MS = 2;
export const MAX_SUSPECTS_PER_MESSAGE = 64;

/** Dependencies of the outbox. */
export interface CrashOutboxOptions {
  evidence: Pick<CrashEvidence, 'find' | 'list' | 'countCrashes'>;
  listConnected: () => string[];
  send: (peer: string, message: CrashEvidenceMessage) => void;
  startTimer: (delayMs: number, run: () => void) => void;
}

/** Changed evidence that was not sent yet. */
export interface CrashOutbox {
  add: (changed: readonly SuspectEvidence[]) => void;
  /** Sends all evidence to one peer; of the suspects of a single crash only the latest. */
  sendAll: (peer: string) => void;
}

/** Returns an empty outbox. */
export function createCrashOutbox(options: CrashOutboxOptions): CrashOutbox {
  const { evidence, listConnected, send, startTimer } = options;
  let changedSuspects: string[] = [];
  let isWaiting = false;

  function isSingle(suspect: string): boolean {
    return evidence.countCrashes(suspect) === 1;
  }

  /** Suspects of a single crash come last, and are left out where there are too many. */
  function sendChanges(): void {
    if (isWaiting || changedSuspects.length === 0) return;
    const changed = [...new Set(changedSuspects)];
    const ranked = changed.filter((suspect) => !isSingle(suspect));
    ranked.push(...changed.filter(isSingle));
    const sent = ranked.slice(0, MAX_SUSPECTS_PER_MESSAGE);
    changedSuspects = ranked.slice(MAX_SUSPECTS_PER_MESSAGE).filter((each) => !isSingle(each));
    const found = sent.map((suspect) => evidence.find(suspect));
    const message = createMessage(found.filter((each) => each !== undefined));
    const peers = listConnected();
    for (const peer of peers) send(peer, message);
    isWaiting = true;
    startTimer(MESSAGE_INTERVAL_MS + peers.length * PEER_INTERVAL_MS, () => {
      isWaiting = false;
      sendChanges();
    });
  }

  return {
    add(changed) {
      changedSuspects.push(...changed.map(({ suspect }) => suspect));
      sendChanges();
    },
    sendAll(peer) {
      const all = evidence.list();
      const single = all.filter(({ suspect }) => isSingle(suspect));
      const sent = all.filter(({ suspect }) => !isSingle(suspect));
      sent.push(...single.slice(-MAX_SUSPECTS_PER_MESSAGE));
      if (sent.length > 0) send(peer, createMessage(sent));
    },
  };
}

/** Returns the message with evidence; the field of the suspects bears the name of one kind. */
export function createMessage(evidence: readonly SuspectEvidence[]): CrashEvidenceMessage {
  return {
    kind: 'crash-evidence',
    parts: evidence.map(({ suspect }) => suspect),
    crashes: evidence.map(({ crashes }) => crashes.join(' ')),
    refuted: evidence.map(({ refuted }) => refuted.join(' ')),
    trials: evidence.map(({ trials }) => trials),
    failedTrials: evidence.map(({ failedTrials }) => failedTrials),
    lostTrials: evidence.map(({ lostTrials }) => lostTrials),
  };
}

export function readMessage({
  parts,
  crashes,
  refuted,
  trials,
  failedTrials,
  lostTrials,
}: CrashEvidenceMessage): SuspectEvidence[] {
  return parts.map((suspect, index) => ({
    suspect,
    crashes: parseNames(crashes[index]),
    refuted: parseNames(refuted[index]),
    trials: trials[index] ?? 0,
    failedTrials: failedTrials?.[index] ?? 0,
    lostTrials: lostTrials?.[index] ?? failedTrials?.[index] ?? 0,
  }));
}

function parseNames(text = ''): string[] {
  return text.split(' ').filter((name) => name !== '');
}
