/**
 * Logging: one line of key=value pairs for each event, on standard output. The event name comes
 * from the closed list in `LogEvent`. Lines are dropped and counted rather than delaying work.
 */
import pino from 'pino';
import { createLineSink, type LineSink } from './line-sink.js';

/** Names of the events a process may log. */
export const LogEvent = {
  ProcessStarted: 'process-started',
  ProcessStopping: 'process-stopping',
  ProcessStopped: 'process-stopped',
  ProcessFailed: 'process-failed',
  ClockStepped: 'clock-stepped',
  RequestAccepted: 'request-accepted',
  RequestRefused: 'request-refused',
  RequestFinished: 'request-finished',
  RequestFailed: 'request-failed',
  RequestPlaced: 'request-placed',
  RequestWaiting: 'request-waiting',
  RequestRepeated: 'request-repeated',
  RequestAbandoned: 'request-abandoned',
  AnswerCut: 'answer-cut',
  ConnectionCut: 'connection-cut',
  AttemptFailed: 'attempt-failed',
  AttemptSilent: 'attempt-silent',
  AttemptResumed: 'attempt-resumed',
  RegistrationRejected: 'registration-rejected',
  ServerChanged: 'server-changed',
  ServerEjected: 'server-ejected',
  ServerCrashed: 'server-crashed',
  ServerLimited: 'server-limited',
  ServerPaused: 'server-paused',
  PaceChanged: 'pace-changed',
  SuspectBlocked: 'suspect-blocked',
  SuspectUnblocked: 'suspect-unblocked',
  SuspectTried: 'suspect-tried',
  TrialLost: 'trial-lost',
  KeysStale: 'keys-stale',
  KeysFresh: 'keys-fresh',
  PeerOpened: 'peer-opened',
  PeerClosed: 'peer-closed',
  LimitShareChanged: 'limit-share-changed',
  HistoryLost: 'history-lost',
  StoreRestored: 'store-restored',
  RelayFailed: 'relay-failed',
  VersionsRecorded: 'versions-recorded',
  MemberChanged: 'member-changed',
  AgentChanged: 'agent-changed',
  PermitAnswered: 'permit-answered',
  SettingsReloaded: 'settings-reloaded',
  ReadinessChanged: 'readiness-changed',
  EntryBehind: 'entry-behind',
  EntryCaughtUp: 'entry-caught-up',
  CallerRefused: 'caller-refused',
  BackendCallStarted: 'backend-call-started',
  BackendCallFinished: 'backend-call-finished',
  BackendCallFailed: 'backend-call-failed',
  BackendStateChanged: 'backend-state-changed',
  ClaimLapsed: 'claim-lapsed',
  ConnectionOpened: 'connection-opened',
  ConnectionClosed: 'connection-closed',
  ConnectionSilent: 'connection-silent',
  ConnectionResumed: 'connection-resumed',
  ConnectionRefused: 'connection-refused',
  ConfigurationApplied: 'configuration-applied',
  ConfigurationRejected: 'configuration-rejected',
  ConfigurationFault: 'configuration-fault',
  PlatformUnavailable: 'platform-unavailable',
  PlatformRestored: 'platform-restored',
  RecordDropped: 'record-dropped',
  LeavingChanged: 'leaving-changed',
  OrderStarted: 'order-started',
  OrderFinished: 'order-finished',
  OrderRefused: 'order-refused',
  RolloutChanged: 'rollout-changed',
  RolloutRefused: 'rollout-refused',
  AdministrationCall: 'administration-call',
} as const;
export type LogEvent = (typeof LogEvent)[keyof typeof LogEvent];

/** Values a log line may carry. */
export type LogFields = Record<string, string | number | boolean | undefined>;

export interface Logger {
  debug: (event: LogEvent, fields?: LogFields) => void;
  info: (event: LogEvent, fields?: LogFields) => void;
  warn: (event: LogEvent, fields?: LogFields) => void;
  error: (event: LogEvent, fields?: LogFields) => void;
  /** Waits until all queued lines are written, at most `timeoutMs`. */
  flush: (timeoutMs: number) => Promise<void>;
}

/** Returns a logger that adds the fields of `base` to every line. */
export function createLogger(
  base: LogFields,
  level = 'info',
  sink: LineSink = createLineSink(),
): Logger {
  const stream = { write: (json: string) => sink.writeLine(formatLine(json)) };
  const writer = pino({ level, base, timestamp: pino.stdTimeFunctions.isoTime }, stream);
  return {
    debug: (event, fields = {}) => writer.debug({ event, ...fields }),
    info: (event, fields = {}) => writer.info({ event, ...fields }),
    warn: (event, fields = {}) => writer.warn({ event, ...fields }),
    error: (event, fields = {}) => writer.error({ event, ...fields }),
    flush: sink.flush,
  };
}

/** Returns a logger that writes nothing. */
export function createSilentLogger(): Logger {
  const ignore = () => undefined;
  return {
    debug: ignore,
    info: ignore,
    warn: ignore,
    error: ignore,
    flush: () => Promise.resolve(),
  };
}

/** Converts one JSON record of pino into key=value pairs. */
function formatLine(json: string): string {
  const { level, ...fields } = JSON.parse(json) as Record<string, unknown> & { level: number };
  const pairs = Object.entries({ level: pino.levels.labels[level], ...fields });
  return pairs.map(([key, value]) => `${key}=${formatValue(value)}`).join(' ');
}

function formatValue(value: unknown): string {
  const text = typeof value === 'string' ? value : JSON.stringify(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}
