/**
 * Explains one request from the log lines of several processes: its own lines, and the lines
 * shortly before and during it about its backend servers, the store, the configuration and
 * the keys.
 */
import { readFileSync } from 'node:fs';
import { LogEvent } from '@masticbend/kernel/log';

/** Time before a request's first line from which context lines are shown. */
const CONTEXT_BEFORE_MS = 10_000;
/** Events that affect all requests of a process. */
const PROCESS_EVENTS: ReadonlySet<string> = new Set([
  LogEvent.PlatformUnavailable,
  LogEvent.PlatformRestored,
  LogEvent.StoreRestored,
  LogEvent.ClockStepped,
  LogEvent.KeysStale,
  LogEvent.KeysFresh,
  LogEvent.ConfigurationApplied,
  LogEvent.LimitShareChanged,
  LogEvent.RolloutChanged,
  LogEvent.ProcessStarted,
  LogEvent.ProcessStopping,
]);

interface LogLine {
  text: string;
  timeMs: number;
  fields: Record<string, string>;
}

/** Returns the lines that explain a request, oldest first; none when no line has the id. */
export function describeRequest(id: string, logTexts: readonly string[]): string[] {
  const lines = logTexts.flatMap(readLines);
  const requestLines = lines.filter(({ fields }) => fields.request === id);
  if (requestLines.length === 0) return [];
  const servers = new Set(requestLines.map(({ fields }) => fields.server ?? ''));
  const processes = new Set(requestLines.map(({ fields }) => fields.process));
  const times = requestLines.map(({ timeMs }) => timeMs);
  const firstMs = Math.min(...times) - CONTEXT_BEFORE_MS;
  const lastMs = Math.max(...times);
  const contextLines = lines.filter(({ fields, timeMs }) => {
    if (fields.request !== undefined || timeMs < firstMs || timeMs > lastMs) return false;
    if (!processes.has(fields.process)) return false;
    return PROCESS_EVENTS.has(fields.event ?? '') || servers.has(fields.server ?? '-');
  });
  return [...requestLines, ...contextLines]
    .sort((left, right) => left.timeMs - right.timeMs)
    .map(({ text }) => text);
}

/** Prints the explanation of a request from log files; returns the exit code. */
export function printExplanation(id: string, paths: readonly string[]): number {
  const lines = describeRequest(
    id,
    paths.map((path) => readFileSync(path, 'utf8')),
  );
  for (const line of lines) process.stdout.write(`${line}\n`);
  if (lines.length > 0) return 0;
  process.stderr.write(`no line of request ${id} in ${paths.length} files\n`);
  return 1;
}

function parseLine(text: string): LogLine {
  const fields: Record<string, string> = {};
  for (const [, name, quoted, plain] of text.matchAll(/([\w-]+)=(?:"((?:[^"\\]|\\.)*)"|(\S+))/g)) {
    fields[name!] = quoted ?? plain ?? '';
  }
  return { text, timeMs: Date.parse(fields.time ?? ''), fields };
}

/**
 * Returns the lines of one log with their times. Where the wall clock of a process stepped back,
 * its lines get the latest earlier time, so that they keep their order.
 */
function readLines(text: string): LogLine[] {
  const latestMs = new Map<string, number>();
  const lines = text.split('\n').map(parseLine).filter(hasTime);
  for (const line of lines) {
    const { process: name = '' } = line.fields;
    line.timeMs = Math.max(line.timeMs, latestMs.get(name) ?? 0);
    latestMs.set(name, line.timeMs);
  }
  return lines;
}

function hasTime({ timeMs }: LogLine): boolean {
  return Number.isFinite(timeMs);
}
