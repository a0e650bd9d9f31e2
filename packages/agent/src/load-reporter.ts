/**
 * Load reports to the connected entries, within the control budget of both ends: an entry that
 * keeps many agents hears from each less often, and what has hardly changed is not repeated.
 */
import type { Clock } from '@masticbend/kernel/clock';
import type { LoadReport } from '@masticbend/protocol/message';

/** Shortest time between two reports to an entry, in milliseconds. */
export const MIN_REPORT_INTERVAL_MS = 250;
/** Time between two reports for each agent of an entry, or each entry of an agent. */
export const REPORT_INTERVAL_PER_PEER_MS = 40;
/** Longest time between two reports to an entry, in milliseconds. */
export const MAX_REPORT_INTERVAL_MS = 5_000;
/** Change of a quantity that is worth a report: a share of it, or this many milliseconds. */
const MIN_CHANGE_FRACTION = 0.1;
const MIN_CHANGE_MS = 10;

/** What the reporter needs from the rest of the agent. */
export interface LoadReporterOptions {
  clock: Clock;
  send: (owner: string, load: LoadReport) => void;
  createReport: () => LoadReport;
}

/** Reporter to the connected entries. */
export interface LoadReporter {
  /** Begins reports to an entry that keeps this many agents. */
  addOwner: (owner: string, peers: number) => void;
  removeOwner: (owner: string) => void;
  /** Reports to every entry at once. */
  sendNow: () => void;
  stop: () => void;
}

interface ReportState {
  peers: number;
  sentAt: number;
  load: LoadReport;
}

/** Returns a reporter that knows no entry. */
export function createLoadReporter(options: LoadReporterOptions): LoadReporter {
  const { clock, send, createReport } = options;
  const owners = new Map<string, ReportState>();
  let stopTimer = clock.startTimer(MIN_REPORT_INTERVAL_MS, sendDueReports);

  function sendTo(owner: string, state: ReportState, load: LoadReport): void {
    state.sentAt = clock.now();
    state.load = load;
    send(owner, load);
  }

  function isDue(state: ReportState, load: LoadReport): boolean {
    const elapsedMs = clock.now() - state.sentAt;
    if (elapsedMs >= MAX_REPORT_INTERVAL_MS) return true;
    const intervalMs = REPORT_INTERVAL_PER_PEER_MS * Math.max(state.peers, owners.size);
    return elapsedMs >= intervalMs && hasChanged(state.load, load);
  }

  function sendDueReports(): void {
    const load = createReport();
    for (const [owner, state] of owners) {
      if (isDue(state, load)) sendTo(owner, state, load);
    }
    stopTimer = clock.startTimer(MIN_REPORT_INTERVAL_MS, sendDueReports);
  }

  return {
    addOwner(owner, peers) {
      const load = createReport();
      const state = { peers, sentAt: clock.now(), load };
      owners.set(owner, state);
      sendTo(owner, state, load);
    },
    removeOwner: (owner) => owners.delete(owner),
    sendNow() {
      const load = createReport();
      for (const [owner, state] of owners) sendTo(owner, state, load);
    },
    stop: () => stopTimer(),
  };
}

function hasChanged(before: LoadReport, after: LoadReport): boolean {
  return (
    before.ready !== after.ready ||
    before.leaving !== after.leaving ||
    before.limit !== after.limit ||
    before.serves.join() !== after.serves.join() ||
    before.waiting.join() !== after.waiting.join() ||
    isDifferent(before.running, after.running, 0) ||
    isDifferent(before.startDelayMs, after.startDelayMs, MIN_CHANGE_MS) ||
    isDifferent(before.prefillRate, after.prefillRate, 0) ||
    isDifferent(before.decodeRate, after.decodeRate, 0) ||
    before.backlogMs.some((value, tier) =>
      isDifferent(value, after.backlogMs[tier] ?? 0, MIN_CHANGE_MS),
    )
  );
}

function isDifferent(before: number, after: number, minDifference: number): boolean {
  const difference = Math.abs(after - before);
  return difference > minDifference && difference > MIN_CHANGE_FRACTION * Math.max(before, after);
}
