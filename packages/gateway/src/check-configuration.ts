/** The command that checks a configuration document before it is written into the store. */
import { isUtf8 } from 'node:buffer';
import { createReadStream } from 'node:fs';
import type { Readable } from 'node:stream';
import meow from 'meow';
import { decodeConfiguration } from '@masticbend/platform/configuration';
import type { ConfigurationFault } from '@masticbend/platform/section';
import { listChanges, type Change } from '@masticbend/scheduling/configuration-changes';
import {
  checkConfiguration,
  hideKey,
  type Finding,
} from '@masticbend/scheduling/configuration-check';
import type { RoutingConfiguration } from '@masticbend/settings/routing';
import { EXIT_FAILED, EXIT_USAGE } from './exit-codes.js';

/** Longer input is not read to its end; 10,000 routes and as many accounts have 1.7 MB. */
const MAX_DOCUMENT_BYTES = 8 * 1024 * 1024;
/** Errors that are listed; the rest is counted, so that memory stays bounded. */
const MAX_LISTED_ERRORS = 10_000;
const MAX_SHOWN_CHARACTERS = 60;
const STANDARD_INPUT = '-';

const HELP = `
  Usage
    $ masticbend-entry check-configuration FILE [options]

  Checks a configuration document before it is written into the store: values that the entries
  would not take, entries that can never match, and limits that contradict each other.

  Options
    --against FILE  list the differences from the version in force; - reads it from standard input
    --json          print the result as JSON
    --strict        exit with code 1 for warnings as well

  Exit codes
    0 clean, 1 errors, 2 a file cannot be read or the command line is wrong
`;

interface Inputs {
  bytes: Buffer;
  inForce?: RoutingConfiguration;
}

interface ErrorLine {
  place: string;
  /** The value as text, shortened; absent where it is missing. */
  value?: string;
  expected: string;
}

interface Report {
  errors: ErrorLine[];
  /** Errors beyond those listed. */
  omittedErrors: number;
  warnings: Finding[];
  /** Present when the document is compared with the version in force. */
  changes?: Change[];
}

/** Checks the document that the command line names, prints the result, returns the exit code. */
export async function printConfigurationCheck(args: readonly string[]): Promise<number> {
  const { input, flags } = parseArguments(args);
  const [path] = input;
  if (path === undefined || input.length > 1 || flags.against === '') {
    process.stderr.write(`${HELP}\n`);
    return EXIT_USAGE;
  }
  const inputs = await readInputs(path, flags.against);
  if (!inputs) return EXIT_USAGE;
  const report = checkDocument(inputs.bytes, inputs.inForce);
  // A reader such as `head` may close the pipe before the end of the output.
  process.stdout.on('error', () => undefined);
  process.stdout.write(flags.json ? `${JSON.stringify(report)}\n` : formatReport(path, report));
  if (report.errors.length > 0) return EXIT_FAILED;
  return flags.strict && report.warnings.length > 0 ? EXIT_FAILED : 0;
}

/** Reads the document and the version in force; prints what cannot be read. */
async function readInputs(path: string, against?: string): Promise<Inputs | undefined> {
  try {
    const bytes = await readDocument(path);
    return against === undefined
      ? { bytes }
      : { bytes, inForce: await readVersionInForce(against) };
  } catch (error) {
    process.stderr.write(`${(error as Error).message}\n`);
    return undefined;
  }
}

function parseArguments(args: readonly string[]) {
  // The parser of meow takes a lone hyphen after a flag for a positional argument.
  const text = args.join('\n').replace(/^--against\n-$/m, '--against=-');
  return meow(HELP, {
    importMeta: import.meta,
    // No package.json belongs to the bundle.
    pkg: {},
    argv: text === '' ? [] : text.split('\n'),
    autoVersion: false,
    allowUnknownFlags: false,
    flags: {
      against: { type: 'string' },
      json: { type: 'boolean', default: false },
      strict: { type: 'boolean', default: false },
    },
  });
}

async function readDocument(path: string): Promise<Buffer> {
  const stream: Readable = path === STANDARD_INPUT ? process.stdin : createReadStream(path);
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of stream) {
      bytes += (chunk as Buffer).length;
      if (bytes > MAX_DOCUMENT_BYTES) throw new Error(`longer than ${MAX_DOCUMENT_BYTES} bytes`);
      chunks.push(chunk as Buffer);
    }
  } catch (error) {
    throw new Error(`${path}: cannot be read: ${(error as Error).message}`);
  }
  return Buffer.concat(chunks);
}

async function readVersionInForce(path: string): Promise<RoutingConfiguration> {
  const bytes = await readDocument(path);
  const configuration = decodeConfiguration(bytes);
  if (configuration) return configuration;
  const reason = describeSyntax(bytes) ?? 'not an object with a numeric version';
  throw new Error(`${path}: no configuration: ${reason}`);
}

function checkDocument(bytes: Buffer, inForce?: RoutingConfiguration): Report {
  const errors: ErrorLine[] = [];
  let omittedErrors = 0;
  function recordFault(fault: ConfigurationFault): void {
    if (errors.length < MAX_LISTED_ERRORS) errors.push(describeFault(fault));
    else omittedErrors += 1;
  }

  const configuration = decodeConfiguration(bytes, recordFault);
  const syntax = configuration && isUtf8(bytes) ? undefined : describeSyntax(bytes);
  if (syntax !== undefined) {
    const error = { place: '', value: syntax, expected: 'a JSON document in UTF-8' };
    return { errors: [error], omittedErrors: 0, warnings: [] };
  }
  if (!configuration) return { errors, omittedErrors, warnings: [] };
  const changes = inForce && listChanges(inForce, configuration);
  const { version } = configuration;
  // The entries ignore an older version, and another document with the same version.
  if (inForce && (version < inForce.version || (version === inForce.version && changes!.length))) {
    const expected = `a number above ${inForce.version}, the version in force`;
    recordFault({ place: 'version', value: version, expected });
  }
  const warnings = checkConfiguration(configuration);
  return { errors, omittedErrors, warnings, ...(changes && { changes }) };
}

/** Describes why bytes are not JSON; undefined when they are. Shows no content, which has keys. */
function describeSyntax(bytes: Buffer): string | undefined {
  if (bytes.length === 0) return 'empty';
  if (!isUtf8(bytes)) return `${bytes.length} bytes that are not UTF-8`;
  try {
    JSON.parse(bytes.toString('utf8'));
    return undefined;
  } catch (error) {
    const { message } = error as Error;
    if (/end of JSON|Unterminated/.test(message)) return `cut after ${bytes.length} bytes`;
    const position = /at position \d+/.exec(message)?.[0];
    return position ? `not JSON ${position}` : 'not JSON';
  }
}

function describeFault({ place, value, expected }: ConfigurationFault): ErrorLine {
  const isKey = /\bapi_keys\b/.test(place);
  return { place, ...(value !== undefined && { value: formatValue(value, isKey) }), expected };
}

function formatValue(value: unknown, isKey: boolean): string {
  if (Array.isArray(value)) return `a list of ${value.length}`;
  if (typeof value === 'object' && value !== null) return 'an object';
  if (typeof value !== 'string') return isKey ? typeof value : String(value);
  const text = isKey ? hideKey(value) : value;
  const isLong = text.length > MAX_SHOWN_CHARACTERS;
  return JSON.stringify(isLong ? `${text.slice(0, MAX_SHOWN_CHARACTERS)}…` : text);
}

function formatReport(path: string, { errors, omittedErrors, warnings, changes }: Report): string {
  const lines = [
    ...errors.map(
      ({ place, value, expected }) =>
        `error ${place || 'document'}: ${value ?? 'missing'}; expected ${expected}`,
    ),
    ...(omittedErrors > 0 ? [`and ${omittedErrors} more errors`] : []),
    ...warnings.map(({ subject, text }) => `warning ${subject}: ${text}`),
    ...(changes ?? []).map(
      ({ subject, kind, text, isNoticed }) =>
        `${isNoticed ? 'noticed by callers' : 'difference'}: ${subject} ${kind}${text && `: ${text}`}`,
    ),
    `${path}: errors ${errors.length + omittedErrors}, warnings ${warnings.length}${
      changes ? `, differences ${changes.length}` : ''
    }`,
  ];
  return lines.map((line) => `${hideControls(line)}\n`).join('');
}

/** Replaces control characters, which names in a document can contain, for the terminal. */
function hideControls(line: string): string {
  return line.replace(/\p{Cc}/gu, '\uFFFD');
}
