/**
 * Tells the story of one request from log lines of several processes: its own lines, and what the
 * processes came to believe shortly before of the servers it met, of the store and of the keys.
 */
import { readFileSync } from 'node:fs';
import { LogEvent } from '@masticbend/kernel/log';

/** Time before a request's first line in which beliefs are shown, in milliseconds. */
const BEFORE_MS = 10_000;
/** Events about what a whole process depends on. */
const PROCESS_EVENTS: ReadonlySet<string> = new Set([
  LogEvent.PlatformUnavailable,
  LogEvent.PlatformRestored,
  LogEvent.KeysStale,
  LogEvent.KeysFresh,
  LogEvent.ConfigurationApplied,
  LogEvent.LimitShareChanged,
  LogEvent.ProcessStarted,
  LogEvent.ProcessStopping,
]);

interface LogLine {
  text: string;
  timeMs: number;
  fields: Record<string, string>;
}

/** Returns the lines that explain a request, oldest first; none when the id is not known. */
export function describeRequest(id: string, texts: readonly string[]): string[] {
  const lines = texts.flatMap((text) => text.split('\n').map(parseLine)).filter(isTimed);
  const own = lines.filter(({ fields }) => fields.request === id);
  if (own.length === 0) return [];
  const servers = new Set(own.map(({ fields }) => fields.server ?? ''));
  const processes = new Set(own.map(({ fields }) => fields.process));
  const times = own.map(({ timeMs }) => timeMs);
  const firstMs = Math.min(...times) - BEFORE_MS;
  const lastMs = Math.max(...times);
  const beliefs = lines.filter(({ fields, timeMs }) => {
    if (fields.request !== undefined || timeMs < firstMs || timeMs > lastMs) return false;
    if (!processes.has(fields.process)) return false;
    return PROCESS_EVENTS.has(fields.event ?? '') || servers.has(fields.server ?? '-');
  });
  return [...own, ...beliefs]
    .sort((left, right) => left.timeMs - right.timeMs)
    .map(({ text }) => text);
}

/** Prints the story of a request from log files; returns the exit code. */
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

function isTimed({ timeMs }: LogLine): boolean {
  return Number.isFinite(timeMs);
}
