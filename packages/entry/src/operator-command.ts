/**
 * The operators' commands. Each calls the administration API and formats its answer as readable
 * text or, on request, as JSON.
 */
import { randomUUID } from 'node:crypto';
import { userInfo } from 'node:os';
import { callAdministration, type OperatorAnswer, type OperatorTarget } from './operator-call.js';

/** Command line flags of the commands. */
export interface OperatorFlags {
  section?: string;
  set?: string[];
  remove?: string[];
  against?: number;
  editId?: string;
  author?: string;
  limit?: number;
  undo: boolean;
}

/** A command: the call it makes and the format of its answer. */
interface OperatorCommand {
  call: (target: OperatorTarget, args: string[], flags: OperatorFlags) => Promise<OperatorAnswer>;
  format: (body: Record<string, unknown>) => string;
}

/** Invalid use of the command line, such as a missing argument or flag. */
export class UsageError extends Error {}

const COMMANDS: Readonly<Record<string, OperatorCommand>> = {
  show: {
    call: (target, [section]) =>
      callAdministration(
        target,
        section ? `/configuration/sections/${encodeURIComponent(section)}` : '/configuration',
      ),
    format: (body) =>
      typeof body.text === 'string' ? body.text : JSON.stringify(body.values, null, 2),
  },
  validate: {
    call: (target, args, flags) =>
      callAdministration(target, '/configuration/validate', buildProposal(flags)),
    format: (body) => (body.valid ? 'valid' : formatRows(body.faults)),
  },
  edit: { call: sendEdit, format: formatEditResult },
  history: {
    call: (target, args, { limit }) =>
      callAdministration(target, `/configuration/history?limit=${limit ?? ''}`),
    format: (body) => formatRows((body.edits as EditRow[]).map(describeEdit)),
  },
  leaving: {
    call: (target) => callAdministration(target, '/instances'),
    format: (body) =>
      formatRows((body.instances as { leaving: boolean }[]).filter(({ leaving }) => leaving)),
  },
  drain: {
    call: (target, [name], flags) => {
      if (!name) throw new UsageError('drain needs the name of a backend server');
      const body = { draining: !flags.undo, ...buildEditIdentity(flags) };
      return callAdministration(target, `/backend-servers/${encodeURIComponent(name)}/drain`, body);
    },
    format: formatEditResult,
  },
  dump: {
    call: (target) => callAdministration(target, '/dump'),
    format: (body) => JSON.stringify(body, null, 2),
  },
};

interface EditRow {
  revision: number;
  committedAt: number;
  team: string;
  author: string;
  operations: { section: string; key?: string; value?: unknown }[];
}

/** Returns whether a word is the name of a command. */
export function isCommand(word: string | undefined): word is string {
  return word !== undefined && Object.hasOwn(COMMANDS, word);
}

/** Runs a command; returns the text to print and whether the call succeeded. */
export async function runCommand(
  target: OperatorTarget,
  [name, ...args]: string[],
  flags: OperatorFlags,
  json: boolean,
): Promise<{ ok: boolean; text: string }> {
  const command = COMMANDS[name!]!;
  const { status, body } = await command.call(target, args, flags);
  const ok = status < 300 && body.valid !== false;
  if (json) return { ok, text: JSON.stringify(body, null, 2) };
  return { ok, text: body.error ? formatError(body) : command.format(body) };
}

async function sendEdit(
  target: OperatorTarget,
  args: string[],
  flags: OperatorFlags,
): Promise<OperatorAnswer> {
  const proposal = buildProposal(flags);
  const against = flags.against ?? (await readRevision(target));
  return callAdministration(target, '/configuration/edits', {
    ...proposal,
    ...buildEditIdentity(flags),
    against,
  });
}

async function readRevision(target: OperatorTarget): Promise<number> {
  const { body } = await callAdministration(target, '/configuration');
  return Number(body.revision);
}

function buildProposal({ section, set = [], remove = [] }: OperatorFlags) {
  if (!section) throw new UsageError('--section is missing');
  if (set.length + remove.length === 0) throw new UsageError('--set or --remove is missing');
  const operations = [...set.map(parseAssignment), ...remove.map((key) => ({ key, value: null }))];
  return { section, operations };
}

function parseAssignment(text: string) {
  const separator = text.indexOf('=');
  if (separator < 1) throw new UsageError(`--set: found "${text}", expected KEY=JSON`);
  try {
    const value = JSON.parse(text.slice(separator + 1)) as unknown;
    return { key: text.slice(0, separator), value };
  } catch {
    throw new UsageError(`--set: the value of "${text.slice(0, separator)}" is not JSON`);
  }
}

function buildEditIdentity({ editId, author }: OperatorFlags) {
  return { editId: editId ?? randomUUID(), author: author ?? userInfo().username };
}

function formatEditResult({
  accepted,
  revision,
  holders,
  editId,
}: Record<string, unknown>): string {
  const state = accepted ? 'accepted' : 'committed, not yet confirmed by agents';
  return `${state}: revision ${revision}, in force at ${holders} agents, edit ${editId}`;
}

function formatError(body: Record<string, unknown>): string {
  const { kind, message } = body.error as { kind: string; message: string };
  const lines = [`${kind}: ${message}`];
  if (Array.isArray(body.faults) && body.faults.length > 0) lines.push(formatRows(body.faults));
  if (Array.isArray(body.edits) && body.edits.length > 0) {
    lines.push(formatRows((body.edits as EditRow[]).map(describeEdit)));
  }
  return lines.join('\n');
}

function describeEdit({ revision, committedAt, team, author, operations }: EditRow) {
  const changes = operations.map(
    ({ section, key, value }) => `${value === undefined ? '-' : '+'}${section}.${key ?? '*'}`,
  );
  return {
    revision,
    at: new Date(committedAt).toISOString(),
    team,
    author,
    changes: changes.join(' '),
  };
}

function formatRows(value: unknown): string {
  const rows = value as Record<string, unknown>[];
  const [first] = rows;
  if (!first) return 'none';
  const names = Object.keys(first);
  const cells = [names, ...rows.map((row) => names.map((name) => String(row[name] ?? '')))];
  const widths = names.map((_, column) => Math.max(...cells.map((row) => row[column]!.length)));
  const lines = cells.map((row) => row.map((cell, column) => cell.padEnd(widths[column]!)));
  return lines.map((line) => line.join('  ').trimEnd()).join('\n');
}
