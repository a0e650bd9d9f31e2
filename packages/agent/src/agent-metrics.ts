/** Metrics of one agent: its backend calls, pending records and connected entries. */
import { Metric, type Metrics } from '@masticbend/kernel/metrics';
import type { Usage } from '@masticbend/protocol/call-message';

/** How a granted call ended. */
export const CallOutcome = {
  /** The complete answer was relayed. */
  Completed: 'whole',
  Failed: 'failed',
  /** The call was returned to its entry unstarted, or answered from its record. */
  NotRun: 'not-run',
} as const;
export type CallOutcome = (typeof CallOutcome)[keyof typeof CallOutcome];

/** Functions that read the agent's state at each scrape. */
export interface AgentGauges {
  countOpen: () => number;
  countPendingRecords: () => number;
  countEntries: () => number;
  getRevision: () => number;
  isReady: () => boolean;
}

/** Registers the agent's state as gauges. */
export function registerAgentGauges(metrics: Metrics, gauges: AgentGauges): void {
  metrics.registerGauge(Metric.OpenRequests, gauges.countOpen);
  metrics.registerGauge(Metric.PendingRecords, gauges.countPendingRecords);
  metrics.registerGauge(Metric.ConnectedEntries, gauges.countEntries);
  metrics.registerGauge(Metric.ConfigurationRevision, gauges.getRevision);
  metrics.registerGauge(Metric.BackendReady, () => (gauges.isReady() ? 1 : 0));
}

/** Counts a finished call; `usage` is given when its answer is complete. */
export function recordCall(metrics: Metrics, outcome: CallOutcome, usage?: Usage): void {
  metrics.addCount(Metric.BackendCallsTotal, { outcome }, 1);
  if (!usage) return;
  metrics.recordDuration(Metric.BackendCallDuration, {}, usage.totalMs);
  metrics.recordDuration(Metric.FirstByteDuration, {}, usage.firstByteMs);
  metrics.addCount(Metric.TokensTotal, { kind: 'cached' }, usage.cachedTokens);
  metrics.addCount(Metric.TokensTotal, { kind: 'prompt' }, usage.promptTokens);
  metrics.addCount(Metric.TokensTotal, { kind: 'output' }, usage.outputTokens);
}
