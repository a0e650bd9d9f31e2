/**
 * Counters, gauges and durations of one process, rendered as Prometheus text. Durations keep
 * quantiles of the last one to two minutes, so that a change shows within a minute.
 */
import { build, type Histogram } from 'hdr-histogram-js';
import type { Clock } from './clock.js';
import { renderGauge } from './gauge.js';

/** Names of the metrics a process may show. */
export const Metric = {
  /** Requests answered, by tier, account and outcome. */
  RequestsTotal: 'masticbend_requests_total',
  /** Time from acceptance to the whole answer, by tier. */
  RequestDuration: 'masticbend_request_duration_ms',
  /** Time from the arrival at an entry, or the call of an agent, to the first byte, by tier. */
  FirstByteDuration: 'masticbend_first_byte_duration_ms',
  /** Tokens read and generated at backend servers, by tier and kind. */
  TokensTotal: 'masticbend_tokens_total',
  /** Granted calls of an agent that ended, by outcome, and their time to the last byte. */
  BackendCallsTotal: 'masticbend_backend_calls_total',
  BackendCallDuration: 'masticbend_backend_call_duration_ms',
  /** Whether an agent's backend server answers: 1 or 0. */
  BackendReady: 'masticbend_backend_ready',
  /** Changes of call records that wait for the table service. */
  PendingRecords: 'masticbend_pending_records',
  /** Time from arrival to the sending of the first attempt, by tier. */
  WaitDuration: 'masticbend_wait_duration_ms',
  /** Attempts at backend servers, by server and result. */
  AttemptsTotal: 'masticbend_attempts_total',
  /** Calls to the store by call and result, and their time, waits for changes included. */
  StoreCallsTotal: 'masticbend_store_calls_total',
  StoreCallDuration: 'masticbend_store_call_duration_ms',
  /** Time since the sending of the last answered read of each table; -1 before the first. */
  ConfigurationAge: 'masticbend_configuration_age_ms',
  ServersAge: 'masticbend_servers_age_ms',
  /** Part of the accounts' limits that this entry may use, from 0 to 1. */
  LimitShare: 'masticbend_limit_share',
  /** Other entries with a lease. */
  OtherEntries: 'masticbend_other_entries',
  /** Backend servers that are registered, and those that may be used now. */
  ListedServers: 'masticbend_listed_servers',
  UsableServers: 'masticbend_usable_servers',
  OpenRequests: 'masticbend_open_requests',
  ConnectedAgents: 'masticbend_connected_agents',
  ConnectedEntries: 'masticbend_connected_entries',
  ConfigurationRevision: 'masticbend_configuration_revision',
} as const;
export type Metric = (typeof Metric)[keyof typeof Metric];

/** Values that tell the series of one metric apart. */
export type MetricLabels = Readonly<Record<string, string | number>>;

/** Metrics of one process. */
export interface Metrics {
  addCount: (name: Metric, labels: MetricLabels, amount: number) => void;
  recordDuration: (name: Metric, labels: MetricLabels, durationMs: number) => void;
  /** Shows the value that `read` returns at each scrape. */
  registerGauge: (name: Metric, read: () => number) => void;
  render: () => string;
}

/** Most series of one process; further ones are not kept. */
const SERIES_LIMIT = 1_000;
/** Age at which the current quantiles become the previous ones, in milliseconds. */
const WINDOW_MS = 60_000;
const LONGEST_DURATION_MS = 3_600_000;
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
  startedAt: number;
  current: Histogram;
  previous: Histogram;
}

/** Returns metrics without a series. */
export function createMetrics(clock: Clock): Metrics {
  const counters = new Map<string, CounterSeries>();
  const durations = new Map<string, DurationSeries>();
  const gauges = new Map<Metric, () => number>();

  function findDuration(name: Metric, labels: string): DurationSeries | undefined {
    const key = `${name}{${labels}}`;
    let series = durations.get(key);
    if (!series && durations.size < SERIES_LIMIT) {
      const histograms = { current: createHistogram(), previous: createHistogram() };
      series = { name, labels, count: 0, sumMs: 0, startedAt: clock.now(), ...histograms };
      durations.set(key, series);
    }
    if (series) refreshWindow(series, clock.now());
    return series;
  }

  return {
    addCount(name, labels, amount) {
      const text = formatLabels(labels);
      const key = `${name}{${text}}`;
      const series = counters.get(key);
      if (series) {
        series.value += amount;
      } else if (counters.size < SERIES_LIMIT) {
        counters.set(key, { name, labels: text, value: amount });
      }
    },
    recordDuration(name, labels, durationMs) {
      const series = findDuration(name, formatLabels(labels));
      if (!series) return;
      const value = Math.min(LONGEST_DURATION_MS, Math.max(0, durationMs));
      series.count += 1;
      series.sumMs += value;
      series.current.recordValue(Math.round(value));
    },
    registerGauge: (name, read) => gauges.set(name, read),
    render() {
      const now = clock.now();
      for (const series of durations.values()) refreshWindow(series, now);
      const blocks = [
        ...renderGroups([...counters.values()], 'counter', renderCounter),
        ...renderGroups([...durations.values()], 'summary', renderDuration),
        ...[...gauges].map(([name, read]) => renderGauge(name, read())),
      ];
      return blocks.join('');
    },
  };
}

function createHistogram(): Histogram {
  return build({
    highestTrackableValue: LONGEST_DURATION_MS,
    numberOfSignificantValueDigits: 2,
    bitBucketSize: 32,
  });
}

function refreshWindow(series: DurationSeries, now: number): void {
  const age = now - series.startedAt;
  if (age < WINDOW_MS) return;
  const { previous, current } = series;
  previous.reset();
  if (age >= 2 * WINDOW_MS) current.reset();
  series.previous = current;
  series.current = previous;
  series.startedAt = now;
}

function renderGroups<Series extends { name: Metric }>(
  series: Series[],
  type: string,
  render: (one: Series) => string,
): string[] {
  const names = [...new Set(series.map(({ name }) => name))];
  return names.map((name) => {
    const lines = series.filter((one) => one.name === name).map(render);
    return `# TYPE ${name} ${type}\n${lines.join('')}`;
  });
}

function renderCounter({ name, labels, value }: CounterSeries): string {
  return `${name}{${labels}} ${value}\n`;
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
