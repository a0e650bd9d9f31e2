/**
 * Sends load reports to the connected entries within the control traffic budget of both ends. The
 * interval grows with the number of agents of an entry and the number of entries of this agent, and
 * a load that has hardly changed is not reported again before the longest interval.
 */
import type { Clock } from '@masticbend/kernel/clock';
import type { LoadReport } from '@masticbend/protocol/message';

/** Shortest interval between periodic reports to an entry. */
export const MIN_REPORT_INTERVAL_MS = 250;
/** Interval between reports for each agent of an entry, or each entry of an agent. */
export const REPORT_INTERVAL_PER_PEER_MS = 40;
/** Longest interval between reports to an entry. */
export const MAX_REPORT_INTERVAL_MS = 5_000;
/** Smallest change to report: a fraction of the larger value, and for times also this many ms. */
const MIN_CHANGE_FRACTION = 0.1;
const MIN_CHANGE_MS = 10;

/** Dependencies of the reporter. */
export interface LoadReporterOptions {
  clock: Clock;
  send: (owner: string, load: LoadReport) => void;
  createReport: () => LoadReport;
}

/** Reporter to the connected entries; `owner` identifies the connection of one. */
export interface LoadReporter {
  /** Reports at once, and from now on, to an entry that is connected to `peers` agents. */
  addOwner: (owner: string, peers: number) => void;
  removeOwner: (owner: string) => void;
  /** Reports to every entry immediately. */
  sendNow: () => void;
  stop: () => void;
}

interface ReportState {
  peers: number;
  sentAt: number;
  load: LoadReport;
}

/** Creates a reporter without entries and starts its timer. */
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
