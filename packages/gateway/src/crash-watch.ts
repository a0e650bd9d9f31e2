/**
 * Relates crashed backend servers to the requests that were lost with them, by the parts of their
 * prompts and by their digests, and shares this evidence with the other entries. A lost connection
 * counts as a crash only once the server refuses a new one, or another incarnation has replaced it.
 */
import type { Clock } from '@masticbend/kernel/clock';
import { LogEvent, type Logger } from '@masticbend/kernel/log';
import type { CrashEvidenceMessage } from '@masticbend/protocol/gateway-message';
import { createCrashEvidence, type CrashEvidence } from '@masticbend/scheduling/crash-evidence';
import { formatRequestSuspect, isRequestSuspect } from '@masticbend/scheduling/request-digest';
import { rankNames } from '@masticbend/scheduling/rendezvous';
import { SETTLING_MS, type SuspectEvidence } from '@masticbend/scheduling/suspect-record';
import type { BackendServer } from '@masticbend/settings/routing';
import { createCrashOutbox, readMessage } from './crash-outbox.js';
import { createEmptyEndCheck, type CheckEmptyEnd } from './empty-ends.js';
import { createOpenEndCheck, type CheckOpenEnd } from './open-ends.js';
import { createServerLosses, formatCrash, type Loss, type Registration } from './server-losses.js';
import { createSoundAnswers, isSound } from './sound-answers.js';
import { createTrialInquiries } from './trial-inquiries.js';

/** Suspects of each kind of one crash that are recorded; beyond it a random choice. */
const MAX_SUSPECTS_PER_CRASH = 64;
/** Blocked suspects of each kind that are kept in the store. */
const MAX_STORED_SUSPECTS = 8;
/**
 * Time after which the next entry may try a suspect, since its requests may not reach the one whose
 * turn it is: longer than a trial takes to become known.
 */
const TRIAL_TURN_MS = 250;
/**
 * Time by which a request is later as the trial of a part if it was lost with a crashed server
 * itself, or has another suspected part: it may crash the next server for that. It is tried where
 * no others come.
 */
const DOUBTFUL_TRIAL_DELAY_MS = 5_000;
/** Time from its start in which an entry may not have seen any answer to the requests in use. */
const LEARNING_MS = 3_000;
/** Crashes of a request, with those that are not certain yet, after which it is not repeated. */
const MAX_CRASHES_BEFORE_REPEAT = 1;

/** A request by which it may be suspected. */
export interface SuspectedRequest {
  /** Shared parts of its prompt. */
  parts: readonly string[];
  /** Returns the digest of the whole request; it is computed at the first call. */
  getDigest: () => string;
}

/** An attempt of a request at a backend server. */
export interface SentRequest extends SuspectedRequest {
  server: BackendServer;
  /** Time of the first output; undefined before it. */
  outputAt?: number;
  /** The suspect that it was sent to try. */
  triedSuspect?: string;
}

/** Evidence of one entry, as the request handling uses it. */
export interface CrashWatch {
  /**
   * Returns the suspect for which a request must not be sent; of several, one that may not be tried
   * yet. A request may be tried only where this holds for all its blocked suspects.
   */
  findBlocked: (request: SuspectedRequest) => string | undefined;
  /** Returns whether a blocked suspect has crashed a server on trial as well. */
  isConfirmed: (suspect: string) => boolean;
  /**
   * Returns whether requests with a suspect that no trial has confirmed were answered of late, or
   * may have been before this entry was started.
   */
  isAnswered: (suspect: string) => boolean;
  /** Returns whether this entry may send a request with a blocked suspect, to try it. */
  isTrialDue: (suspect: string, request: SuspectedRequest) => boolean;
  /** Records that a request with a blocked suspect is sent to try it. */
  recordTrial: (suspect: string) => void;
  /** Returns whether a request that was lost may be sent again without its caller asking for it. */
  isRepeatSafe: (request: SuspectedRequest) => boolean;
  /** The first output of a request has arrived. */
  recordOutput: (request: SentRequest) => void;
  /**
   * A request has got an answer that reports success. It is complete if it was framed; one that
   * ends with its connection may have been cut off by a crash.
   */
  recordAnswer: (request: SentRequest, isFramed: boolean) => void;
  checkEmptyEnd: CheckEmptyEnd;
  checkOpenEnd: CheckOpenEnd;
  /** The connection on which a request was sent has broken. */
  recordLoss: (request: SentRequest) => void;
  /**
   * An attempt has failed or was ended by the entry or the caller, which tells nothing; its server
   * may still run it unless it never began to.
   */
  cancel: (request: SentRequest, mayRun: boolean) => void;
  receive: (peer: string, message: CrashEvidenceMessage) => void;
  /** Sends all evidence to a peer that has connected. */
  sendAll: (peer: string) => void;
  /** Contact with a peer was lost. */
  dropPeer: () => void;
  /** The blocked suspects to be kept in the store, and what was read there. */
  listStored: () => SuspectEvidence[];
  addStored: (evidence: readonly SuspectEvidence[]) => void;
  stop: () => void;
  dump: () => unknown;
}

/** Dependencies of the watch. */
export interface CrashWatchOptions {
  self: string;
  clock: Clock;
  log: Logger;
  drawRandom: () => number;
  /** Calls `onResult` with whether the server refuses connections. */
  probe: (server: BackendServer, onResult: (isRefused: boolean) => void) => void;
  /** Returns the number of open connections to the server. */
  countConnections: (server: BackendServer) => number;
  /** A server that leaves is expected to end. */
  getRegistration: (server: BackendServer) => Registration;
  listLive: () => string[];
  /** Names of all other entries, whether they are connected or not. */
  listMembers: () => string[];
  listConnected: () => string[];
  send: (peer: string, message: CrashEvidenceMessage) => void;
  /** Attempts that have not ended. */
  listSent: () => SentRequest[];
  /** Called when a suspect is blocked that was not. */
  onBlocked: () => void;
}

/** Returns a watch without evidence. */
export function createCrashWatch(options: CrashWatchOptions): CrashWatch {
  const { self, clock, log, drawRandom, listLive, listSent } = options;
  const evidence: CrashEvidence = createCrashEvidence();
  const stopTimers = new Set<() => void>();
  const startedAt = clock.now();
  let blockedSuspects: ReadonlySet<string> = new Set();

  const outbox = createCrashOutbox({ ...options, evidence, startTimer });
  const losses = createServerLosses({
    ...options,
    startTimer,
    isCrashed,
    onCrash: recordCrash,
  });
  const soundAnswers = createSoundAnswers({
    ...options,
    evidence,
    startTimer,
    getTurn,
    onSound(changed) {
      outbox.add(changed);
      updateBlocked('sound answer');
    },
    onRefuted: outbox.add,
  });
  const inquiries = createTrialInquiries({
    ...options,
    evidence,
    startTimer,
    listBusy: () => listSent().map(({ server }) => server),
    settleLoss: losses.settle,
    onResult: recordTrialResult,
  });

  function startTimer(delayMs: number, run: () => void): void {
    const stopTimer = clock.startTimer(delayMs, () => {
      stopTimers.delete(stopTimer);
      run();
    });
    stopTimers.add(stopTimer);
  }

  function isCrashed(server: BackendServer): boolean {
    return evidence.hasCrash(formatCrash(server));
  }

  /** Lists what a request may be suspected by; whole requests are few, so most need no digest. */
  function listSuspects({ parts, getDigest }: SuspectedRequest): readonly string[] {
    if (!evidence.hasSuspectedRequests(clock.now())) return parts;
    return [...parts, formatRequestSuspect(getDigest())];
  }

  /** Applies new evidence once it counts; it may refute other evidence at once. */
  function applyEvidence(source: string): void {
    startTimer(SETTLING_MS, () => updateBlocked(source));
    soundAnswers.check();
  }

  /** Logs the suspects that are blocked now, or no longer, and reports new ones. */
  function updateBlocked(source: string): void {
    const blocked = evidence.listBlocked(clock.now());
    const previous = blockedSuspects;
    blockedSuspects = new Set(blocked.map(({ suspect }) => suspect));
    const added = blocked.filter(({ suspect }) => !previous.has(suspect));
    for (const { suspect, crashes, refuted } of added) {
      const open = crashes.filter((crash) => !refuted.includes(crash));
      log.warn(LogEvent.SuspectBlocked, { suspect, crashes: open.join(), source });
    }
    for (const suspect of previous) {
      if (!blockedSuspects.has(suspect)) log.info(LogEvent.SuspectUnblocked, { suspect, source });
    }
    if (added.length > 0) options.onBlocked();
  }

  function isSuspected(suspect: string): boolean {
    return evidence.countCrashes(suspect) > 0;
  }

  function getTurn(suspect: string): number {
    return rankNames(suspect, [self, ...listLive()]).indexOf(self);
  }

  function isTrialDue(suspect: string, request: SuspectedRequest): boolean {
    const turnMs = getTurn(suspect) * TRIAL_TURN_MS;
    const now = clock.now();
    const isDoubtful = evidence.isDoubtfulTrial(now, suspect, listSuspects(request));
    const delayMs = turnMs + (isDoubtful ? DOUBTFUL_TRIAL_DELAY_MS : 0);
    return evidence.isTrialDue(now - delayMs, suspect);
  }

  function recordCrash(server: BackendServer, { suspects: lost, tried }: Loss): void {
    const crash = formatCrash(server);
    const parts = [...lost].filter((suspect) => !isRequestSuspect(suspect));
    const requests = [...lost].filter(isRequestSuspect);
    const suspects = [...selectSuspects(parts), ...selectSuspects(requests)];
    const changed = evidence.addCrash(clock.now(), crash, suspects, new Set(tried.keys()));
    if (changed.length === 0) return;
    log.warn(LogEvent.ServerCrashed, { server: crash, suspects: suspects.join(), of: lost.size });
    outbox.add(changed);
    for (const [suspect, own] of tried) {
      if (!isRequestSuspect(suspect)) inquiries.start(crash, { suspect, own });
    }
    applyEvidence(crash);
  }

  function recordTrialResult(crash: string, part: string, hasFailed: boolean): void {
    log.info(LogEvent.TrialLost, { suspect: part, server: crash, failed: hasFailed });
    if (hasFailed) outbox.add(evidence.addFailedTrial(clock.now(), part));
  }

  /** Prefers what is suspected already; the others are chosen at random. */
  function selectSuspects(suspects: readonly string[]): string[] {
    const ranked = suspects.map((suspect) => {
      const rank = isSuspected(suspect) ? -1 : drawRandom();
      return { suspect, rank };
    });
    ranked.sort((left, right) => left.rank - right.rank);
    return ranked.slice(0, MAX_SUSPECTS_PER_CRASH).map(({ suspect }) => suspect);
  }

  return {
    findBlocked(request) {
      const blocking = evidence.listBlocking(clock.now(), listSuspects(request));
      return blocking.find((suspect) => !isTrialDue(suspect, request)) ?? blocking[0];
    },
    isConfirmed: evidence.isConfirmed,
    isAnswered(suspect) {
      const isYoung = clock.now() - startedAt < LEARNING_MS;
      return (
        evidence.isAnswered(clock.now(), suspect) || (isYoung && !evidence.isConfirmed(suspect))
      );
    },
    isTrialDue,
    recordTrial(suspect) {
      log.info(LogEvent.SuspectTried, { suspect });
      outbox.add(evidence.addTrial(clock.now(), suspect));
    },
    isRepeatSafe({ getDigest }) {
      if (!losses.hasAny() && !evidence.hasSuspectedRequests(clock.now())) return true;
      const suspect = formatRequestSuspect(getDigest());
      const crashes = evidence.countCrashes(suspect) + losses.count(suspect);
      return crashes <= MAX_CRASHES_BEFORE_REPEAT;
    },
    recordOutput: soundAnswers.start,
    checkEmptyEnd: createEmptyEndCheck({ ...options, isCrashed, startTimer }),
    checkOpenEnd: createOpenEndCheck({ ...options, isCrashed, startTimer }),
    recordAnswer(request, isFramed) {
      if (isFramed) evidence.addAnswer(clock.now(), request.parts);
      if (!evidence.hasSuspectedRequests(clock.now())) return;
      const suspect = formatRequestSuspect(request.getDigest());
      if (!isSuspected(suspect)) return;
      options.probe(request.server, (isRefused) => {
        if (isRefused) return;
        outbox.add(evidence.addSound(clock.now(), [suspect]));
        updateBlocked('sound answer');
      });
    },
    cancel(request, mayRun) {
      soundAnswers.drop(request);
      if (mayRun) inquiries.recordStopped(request.server);
    },
    recordLoss(sent) {
      const { server, parts, getDigest, triedSuspect } = sent;
      soundAnswers.drop(sent);
      const request = formatRequestSuspect(getDigest());
      const own = [request, ...parts];
      const trial = triedSuspect === undefined ? undefined : { suspect: triedSuspect, own };
      losses.add(server, isSound(clock.now(), sent) ? [request] : own, trial);
    },
    receive(peer, message) {
      const received = readMessage(message);
      const refuted = evidence.merge(clock.now(), received);
      soundAnswers.receive(received, refuted);
      applyEvidence(peer);
      inquiries.receive(peer, message);
    },
    sendAll(peer) {
      inquiries.recordContactChange();
      outbox.sendAll(peer);
    },
    dropPeer: inquiries.recordContactChange,
    listStored() {
      const blocked = evidence.listBlocked(clock.now());
      const requests = blocked.filter(({ suspect }) => isRequestSuspect(suspect));
      const parts = blocked.filter(({ suspect }) => !isRequestSuspect(suspect));
      return [...parts.slice(-MAX_STORED_SUSPECTS), ...requests.slice(-MAX_STORED_SUSPECTS)];
    },
    addStored(stored) {
      if (stored.length === 0) return;
      evidence.merge(clock.now() - SETTLING_MS, stored);
      updateBlocked('store');
    },
    stop() {
      for (const stopTimer of stopTimers) stopTimer();
    },
    dump: () => ({ blocked: evidence.listBlocked(clock.now()), known: evidence.list().length }),
  };
}
