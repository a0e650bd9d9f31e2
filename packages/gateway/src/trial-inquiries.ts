/**
 * Finds out whether the trial of a part has failed once it was lost with a crashed server: another
 * entry may have lost something else with the same server. Each entry is asked, and answers with
 * what it lost there as soon as its own connections have ended as well. Where an entry does not
 * answer, or contact with one began or ended shortly before, the trial has no result, and the part
 * is tried again.
 */
import type { Clock } from '@masticbend/kernel/clock';
import type { CrashEvidenceMessage } from '@masticbend/protocol/gateway-message';
import type { CrashEvidence } from '@masticbend/scheduling/crash-evidence';
import { SETTLING_MS, type SuspectEvidence } from '@masticbend/scheduling/suspect-record';
import type { BackendServer } from '@masticbend/settings/routing';
import { createMessage, MAX_SUSPECTS_PER_MESSAGE } from './crash-outbox.js';
import { formatCrash, type LostTrial } from './server-losses.js';

/** Time after which an entry without an answer is taken for cut off. */
const ANSWER_TIMEOUT_MS = 1_000;
/**
 * Time for which what was stopped at a server, by an entry or with one, may still crash it: the
 * server need not notice at once that its connection is gone.
 */
const AFTERMATH_MS = 2_000;
/** Servers with stopped requests beyond which old ones are forgotten. */
const MAX_STOPPED_SERVERS = 256;

/** Dependencies of the inquiries. */
export interface TrialInquiriesOptions {
  clock: Clock;
  evidence: Pick<CrashEvidence, 'hasOtherCause' | 'listLost'>;
  startTimer: (delayMs: number, run: () => void) => void;
  /** Names of all other entries, whether they are connected or not. */
  listMembers: () => string[];
  listConnected: () => string[];
  send: (peer: string, message: CrashEvidenceMessage) => void;
  /** Servers of the requests that are at work. */
  listBusy: () => BackendServer[];
  /** Holds what was lost with a server against it, without another probe. */
  settleLoss: (crash: string) => void;
  onResult: (crash: string, part: string, hasFailed: boolean) => void;
}

/** Inquiries of one entry, and its answers to those of others. */
export interface TrialInquiries {
  start: (crash: string, trial: LostTrial) => void;
  /** Handles the inquiry or answer in a message whose evidence has been merged. */
  receive: (peer: string, message: CrashEvidenceMessage) => void;
  /** Contact with a peer has begun or ended. */
  recordContactChange: () => void;
  /** A request that the server may run was stopped, or ended without an answer. */
  recordStopped: (server: BackendServer) => void;
}

interface Inquiry {
  crash: string;
  trial: LostTrial;
  awaited: Set<string>;
  isClear: boolean;
}

/** Returns the inquiries of an entry that was just started: its earlier requests are unknown. */
export function createTrialInquiries(options: TrialInquiriesOptions): TrialInquiries {
  const { clock, evidence, startTimer, listMembers, listConnected, send } = options;
  const inquiries = new Set<Inquiry>();
  /** Times by incarnation, in their order. */
  const stoppedAt = new Map<string, number>();
  let contactChangedAt = clock.now();

  function isRecent(at: number): boolean {
    return clock.now() - at < AFTERMATH_MS;
  }

  /** Returns whether all that this entry had at a server is known to have been lost or answered. */
  function isAccountedFor(crash: string): boolean {
    if (isRecent(stoppedAt.get(crash) ?? -Infinity)) return false;
    return options.listBusy().every((server) => formatCrash(server) !== crash);
  }

  function hasAllMembers(): boolean {
    const connected = new Set(listConnected());
    return listMembers().every((member) => connected.has(member));
  }

  function finish(inquiry: Inquiry): void {
    if (!inquiries.delete(inquiry)) return;
    const { crash, trial, awaited, isClear } = inquiry;
    options.settleLoss(crash);
    const isKnown =
      isClear &&
      awaited.size === 0 &&
      hasAllMembers() &&
      !isRecent(contactChangedAt) &&
      isAccountedFor(crash);
    const { suspect, own } = trial;
    const hasFailed = isKnown && !evidence.hasOtherCause(clock.now(), crash, suspect, own);
    options.onResult(crash, suspect, hasFailed);
  }

  function answer(peer: string, crash: string): void {
    options.settleLoss(crash);
    const lost = evidence.listLost(crash);
    const isComplete = lost.length <= MAX_SUSPECTS_PER_MESSAGE && isAccountedFor(crash);
    send(peer, { ...createLostMessage(lost), answeredCrash: crash, isComplete });
  }

  return {
    start(crash, trial) {
      const awaited = new Set(listConnected());
      const inquiry = { crash, trial, awaited, isClear: true };
      inquiries.add(inquiry);
      const message = { ...createLostMessage(evidence.listLost(crash)), askedCrash: crash };
      for (const peer of awaited) send(peer, message);
      const timeoutMs = awaited.size === 0 ? SETTLING_MS : ANSWER_TIMEOUT_MS;
      startTimer(timeoutMs, () => finish(inquiry));
    },
    receive(peer, { askedCrash, answeredCrash, isComplete = false }) {
      if (askedCrash !== undefined) startTimer(SETTLING_MS, () => answer(peer, askedCrash));
      if (answeredCrash === undefined) return;
      for (const inquiry of [...inquiries]) {
        if (inquiry.crash === answeredCrash && inquiry.awaited.delete(peer)) {
          inquiry.isClear &&= isComplete;
          if (inquiry.awaited.size === 0) finish(inquiry);
        }
      }
    },
    recordContactChange() {
      contactChangedAt = clock.now();
    },
    recordStopped(server) {
      const crash = formatCrash(server);
      stoppedAt.delete(crash);
      stoppedAt.set(crash, clock.now());
      const [oldest] = stoppedAt.keys();
      if (stoppedAt.size > MAX_STOPPED_SERVERS) stoppedAt.delete(oldest!);
    },
  };
}

function createLostMessage(lost: readonly SuspectEvidence[]): CrashEvidenceMessage {
  return createMessage(lost.slice(0, MAX_SUSPECTS_PER_MESSAGE));
}
