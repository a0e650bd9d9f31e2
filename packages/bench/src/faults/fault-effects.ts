/** Effect of each fault on the cluster when its step is reached. */
import type { RunningProcess } from '../deployment.js';
import type { Cluster } from './cluster.js';
import { Fault } from './matrix.js';
import type { RelayAction } from './mesh-relay.js';
import type { TableAction } from './table-relay.js';

/** Time a process or service is frozen: longer than the timeouts of claims and connections. */
export const FREEZE_MS = 5_500;
/** Time for which a killed process, a stopped backend server or the platform is down. */
const DOWNTIME_MS = 1_500;
/** Delays of slow messages, callers and calls, and of messages that others should overtake. */
export const SLOW_DELAY_MS = 1_500;
export const REORDER_MS = 300;
/** Factor by which a straggling engine is slower. */
const STRAGGLER_SLOW_FACTOR = 10;

/** Components that a fault can affect. */
export interface FaultTarget {
  cluster: Cluster;
  entry: RunningProcess;
  /** Name of the backend server whose agent handles the request. */
  backend: string;
}

const FREEZE_FAULTS: readonly Fault[] = [
  Fault.EntryFrozen,
  Fault.AgentFrozen,
  Fault.BackendFrozen,
  Fault.PlatformFrozen,
];

/** Returns how long a fault lasts, in milliseconds. */
export function getFaultDurationMs(fault: Fault): number {
  return FREEZE_FAULTS.includes(fault) ? FREEZE_MS : DOWNTIME_MS;
}

/** Applies a fault of a process, a backend server or the platform; ignores other faults. */
export function applyFault(fault: Fault, { cluster, entry, backend }: FaultTarget): void {
  const { standIn, engine } = cluster.findBackend(backend);
  const agent = cluster.findAgent(backend);
  const platform = [cluster.tableRelay.faults, cluster.objects.faults];
  if (fault === Fault.EntryKilled) entry.child.kill('SIGKILL');
  if (fault === Fault.AgentKilled) agent.child.kill('SIGKILL');
  if (fault === Fault.EntryFrozen) entry.child.kill('SIGSTOP');
  if (fault === Fault.AgentFrozen) agent.child.kill('SIGSTOP');
  for (const faults of platform) {
    if (fault === Fault.PlatformDown) faults.down = true;
    if (fault === Fault.PlatformFrozen) faults.delayMs = FREEZE_MS;
  }
  if (fault === Fault.BackendDown) {
    standIn.faults.down = true;
    engine?.pause();
    standIn.cutConnections();
  }
  if (fault === Fault.BackendFrozen) {
    standIn.faults.delayMs = FREEZE_MS;
    engine?.pause();
  }
}

/** Slows down a backend server, closes its connections or drops its next answer. */
export function applyBackendFault(fault: Fault, { cluster, backend }: FaultTarget): void {
  const { standIn, engine } = cluster.findBackend(backend);
  if (fault === Fault.ConnectionCut) standIn.cutConnections();
  if (fault === Fault.AnswerLost) standIn.faults.loseAnswers += 1;
  if (fault === Fault.Slow && engine) engine.faults.slowFactor = STRAGGLER_SLOW_FACTOR;
}

/** Returns the action for a message between entry and agent. */
export function getRelayAction(fault: Fault): RelayAction {
  if (fault === Fault.ConnectionCut) return { kind: 'cut' };
  if (fault === Fault.AnswerLost) return { kind: 'lose' };
  if (fault === Fault.Duplicated) return { kind: 'duplicate' };
  if (fault === Fault.Slow) return { kind: 'hold', durationMs: SLOW_DELAY_MS, scope: 'direction' };
  if (fault === Fault.Crossed) return { kind: 'hold', durationMs: REORDER_MS, scope: 'request' };
  return { kind: 'pass' };
}

/** Returns the action for a transaction. */
export function getTableAction(fault: Fault): TableAction {
  if (fault === Fault.ConnectionCut || fault === Fault.PlatformDown) return { kind: 'cut' };
  if (fault === Fault.AnswerLost) return { kind: 'lose' };
  if (fault === Fault.Duplicated) return { kind: 'duplicate' };
  if (fault === Fault.Slow) return { kind: 'hold', durationMs: SLOW_DELAY_MS };
  if (fault === Fault.PlatformFrozen) return { kind: 'hold', durationMs: FREEZE_MS };
  if (fault === Fault.Crossed) return { kind: 'hold', durationMs: REORDER_MS };
  return { kind: 'pass' };
}
