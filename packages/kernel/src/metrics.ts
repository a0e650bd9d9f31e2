/**
 * Counters, gauges and durations of one process, rendered as Prometheus text. The quantiles of
 * durations cover the last one to two minutes, so that a change becomes visible within a minute.
 */
import { build, type Histogram } from 'hdr-histogram-js';
import type { Clock } from './clock.js';
import { renderGauge } from './gauge.js';

/** Names of the metrics that a process may expose. */
export const Metric = {
  /** Finished requests, by tier, outcome and, in the gateway, account. */
  RequestsTotal: 'masticbend_requests_total',
  /** Time from acceptance of a request to its complete answer, by tier. */
  RequestDuration: 'masticbend_request_duration_ms',
  /**
   * Time to the first byte: since arrival in the gateway, elsewhere since the agent's call. By
   * tier, except at agents.
   */
  FirstByteDuration: 'masticbend_first_byte_duration_ms',
  /** Tokens processed at backend servers, by kind and, at entries, by tier. */
  TokensTotal: 'masticbend_tokens_total',
  /** Granted calls of an agent that ended, by outcome, and their time to the last byte. */
  BackendCallsTotal: 'masticbend_backend_calls_total',
  BackendCallDuration: 'masticbend_backend_call_duration_ms',
  /** 1 while an agent's backend server is ready, 0 otherwise. */
  BackendReady: 'masticbend_backend_ready',
  /** Updates of call records that are not yet written to the table service. */
  PendingRecords: 'masticbend_pending_records',
  /** Time from the arrival of a request until its first attempt is sent, by tier. */
  WaitDuration: 'masticbend_wait_duration_ms',
  /** Attempts sent to backend servers, by server and result. */
  AttemptsTotal: 'masticbend_attempts_total',
  /** Calls to the store by call and result, and their duration, including waits for changes. */
  StoreCallsTotal: 'masticbend_store_calls_total',
  StoreCallDuration: 'masticbend_store_call_duration_ms',
  /** Time since the last successful read of each table was sent; -1 before the first. */
  ConfigurationAge: 'masticbend_configuration_age_ms',
  ServersAge: 'masticbend_servers_age_ms',
  /** Fraction of the accounts' limits that this entry may use, from 0 to 1. */
  LimitShare: 'masticbend_limit_share',
  /** Other entries that hold a lease. */
  OtherEntries: 'masticbend_other_entries',
  /** Backend servers that are registered, and those that can currently be used. */
  ListedServers: 'masticbend_listed_servers',
  UsableServers: 'masticbend_usable_servers',
  /** Complete answers with a pause above the objective of their route, by route. */
  LongPausesTotal: 'masticbend_long_pauses_total',
  /** Estimates for an engine: time between events without prefill, and prefill of 1,000 tokens. */
  EventInterval: 'masticbend_event_interval_ms',
  Prefill: 'masticbend_prefill_ms',
  /** Concurrent requests that the paces of the servers allow: of all servers, or of an agent's. */
  ServerPace: 'masticbend_server_pace',
  /** Ranks of an agent's queue whose requests are refused since they get no slots. */
  ClosedRanks: 'masticbend_closed_ranks',
  OpenRequests: 'masticbend_open_requests',
  /** Time that callers' connections wait until an entry accepts them. */
  AcceptWait: 'masticbend_accept_wait_ms',
  /** Bytes that an entry holds for the connections of its callers. */
  HeldBytes: 'masticbend_held_bytes',
  AcceptedConnections: 'masticbend_accepted_connections',
  ConnectedAgents: 'masticbend_connected_agents',
  ConnectedEntries: 'masticbend_connected_entries',
  ConfigurationRevision: 'masticbend_configuration_revision',
  /** Stage of each service's last order: 1 trial, 2 shift, 3 complete, 4 rolled back. */
  RolloutStage: 'masticbend_rollout_stage',
  /** Requests to a service with an order in progress, those at its new version, and bad answers. */
  RolloutRequests: 'masticbend_rollout_requests',
  RolloutExposed: 'masticbend_rollout_exposed',
  RolloutBad: 'masticbend_rollout_bad',
} as const;
export type Metric = (typeof Metric)[keyof typeof Metric];

/** Labels that identify one series of a metric. */
export type MetricLabels = Readonly<Record<string, string | number>>;

/** One series of a gauge with labels. */
export interface GaugeSeries {
  labels: MetricLabels;
  value: number;
}

/** Metrics of one process. */
export interface Metrics {
  addCount: (name: Metric, labels: MetricLabels, amount: number) => void;
  recordDuration: (name: Metric, labels: MetricLabels, durationMs: number) => void;
  /** Registers a gauge; `read` returns its value at each scrape. */
  registerGauge: (name: Metric, read: () => number) => void;
  /** Registers a gauge with labels; `read` returns its series at each scrape. */
  registerGauges: (name: Metric, read: () => readonly GaugeSeries[]) => void;
  render: () => string;
}

/** Maximum number of counter series, and of duration series; further series are not recorded. */
const MAX_SERIES = 1_000;
/** Age at which the current histogram becomes the previous one and a new one begins. */
const WINDOW_MS = 60_000;
const MAX_DURATION_MS = 3_600_000;
const QUANTILES = [0.5, 0.95, 0.99];

interface CounterSeries {
  name: Metric;
  labels: string;
  value: number;
}

interface DurationSeries {
  name: Metric;
  labels: string;
  count: number;
  sumMs: number;
  windowStartedAt: number;
  current: Histogram;
  previous: Histogram;
}

export function createMetrics(clock: Clock): Metrics {
  const counters = new Map<string, CounterSeries>();
  const durations = new Map<string, DurationSeries>();
  const gauges = new Map<Metric, () => number>();
  const labelledGauges = new Map<Metric, () => readonly GaugeSeries[]>();

  function findDurationSeries(name: Metric, labels: string): DurationSeries | undefined {
    const key = `${name}{${labels}}`;
    let series = durations.get(key);
    if (!series && durations.size < MAX_SERIES) {
      const histograms = { current: createHistogram(), previous: createHistogram() };
      series = { name, labels, count: 0, sumMs: 0, windowStartedAt: clock.now(), ...histograms };
      durations.set(key, series);
    }
    if (series) refreshWindow(series, clock.now());
    return series;
  }

  return {
    addCount(name, labels, amount) {
      const labelText = formatLabels(labels);
      const key = `${name}{${labelText}}`;
      const series = counters.get(key);
      if (series) {
        series.value += amount;
      } else if (counters.size < MAX_SERIES) {
        counters.set(key, { name, labels: labelText, value: amount });
      }
    },
    recordDuration(name, labels, durationMs) {
      const series = findDurationSeries(name, formatLabels(labels));
      if (!series) return;
      const value = Math.min(MAX_DURATION_MS, Math.max(0, durationMs));
      series.count += 1;
      series.sumMs += value;
      series.current.recordValue(Math.round(value));
    },
    registerGauge: (name, read) => gauges.set(name, read),
    registerGauges: (name, read) => labelledGauges.set(name, read),
    render() {
      const now = clock.now();
      for (const series of durations.values()) refreshWindow(series, now);
      const blocks = [
        ...renderGroups([...counters.values()], 'counter', renderCounter),
        ...renderGroups([...durations.values()], 'summary', renderDuration),
        ...[...gauges].map(([name, read]) => renderGauge(name, read())),
        ...[...labelledGauges].map(([name, read]) => renderGauges(name, read())),
      ];
      return blocks.join('');
    },
  };
}

function createHistogram(): Histogram {
  return build({
    highestTrackableValue: MAX_DURATION_MS,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
  });
}

function refreshWindow(series: DurationSeries, now: number): void {
  const age = now - series.windowStartedAt;
  if (age < WINDOW_MS) return;
  const { previous, current } = series;
  previous.reset();
  if (age >= 2 * WINDOW_MS) current.reset();
  series.previous = current;
  series.current = previous;
  series.windowStartedAt = now;
}

function renderGroups<Series extends { name: Metric }>(
  series: Series[],
  type: string,
  render: (item: Series) => string,
): string[] {
  const names = [...new Set(series.map(({ name }) => name))];
  return names.map((name) => {
    const lines = series.filter((item) => item.name === name).map(render);
    return `# TYPE ${name} ${type}\n${lines.join('')}`;
  });
}

function renderCounter({ name, labels, value }: CounterSeries): string {
  return `${name}{${labels}} ${value}\n`;
}

function renderGauges(name: Metric, series: readonly GaugeSeries[]): string {
  const lines = series.map(({ labels, value }) => `${name}{${formatLabels(labels)}} ${value}\n`);
  return lines.length > 0 ? `# TYPE ${name} gauge\n${lines.join('')}` : '';
}

function renderDuration(series: DurationSeries): string {
  const { name, labels, current, previous, count, sumMs } = series;
  const merged = createHistogram();
  merged.add(current);
  merged.add(previous);
  const lines = QUANTILES.map((quantile) => {
    const value = merged.getValueAtPercentile(quantile * 100);
    return `${name}{${labels},quantile="${quantile}"} ${value}\n`;
  });
  return `${lines.join('')}${name}_sum{${labels}} ${sumMs}\n${name}_count{${labels}} ${count}\n`;
}

function formatLabels(labels: MetricLabels): string {
  const escape = (value: string | number) => String(value).replace(/["\\\n]/g, '_');
  return Object.entries(labels)
    .map(([name, value]) => `${name}="${escape(value)}"`)
    .join(',');
}
