/** Settings of one gateway process: addresses, data centre, store and bounds. */
import { readFileSync } from 'node:fs';
import { readFeatures, type Features } from '@masticbend/platform/features';
import { isAddress } from '@masticbend/settings/address';
import { parse, TomlError } from 'smol-toml';

/** Bounds that operators guarantee to their users. */
export interface GatewayBounds {
  /** Time between SIGTERM and SIGKILL, in seconds. */
  graceS: number;
  /**
   * Age of the last successful read from which requests with a key are refused, in milliseconds.
   */
  keyFreshnessMs: number;
  /**
   * Time in which a new configuration takes effect, and in which a draining server stops receiving
   * new requests, in milliseconds.
   */
  configurationMs: number;
  leavingMs: number;
  /**
   * Repeat budget over all instances: repeats for each request, a fixed number of repeats in
   * addition, and the time window in seconds.
   */
  repeatRatio: number;
  repeatSlack: number;
  repeatWindowS: number;
  /** Window over which the limits of client accounts hold, in seconds. */
  limitWindowS: number;
}

/** Bounds on a new software version while it is not known to be good. */
export interface RolloutBounds {
  /** Fraction of all requests of the service that it may get, and a number in addition. */
  exposureShare: number;
  exposureSlack: number;
  /** Time after its 50th bad answer from which it gets no request, in milliseconds. */
  rollbackMs: number;
}

/** What a process may use of its machine. */
export interface LimitSettings {
  /** Memory in MiB. */
  memoryMb: number;
  descriptors: number;
}

/** Settings of one process. Addresses are `IP:port`. */
export interface GatewaySettings {
  instance: string;
  dataCentre: string;
  callerAddress: string;
  readinessAddress: string;
  meshAddress: string;
  metricsAddress: string;
  storeAddress: string;
  /** The whole system starts for the first time: nothing of an earlier life is left. */
  isFirstStart?: boolean;
  features: Features;
  logLevel: string;
  bounds: GatewayBounds;
  /** Present where the deployment has roll-outs. */
  rollout?: RolloutBounds;
  limits?: Partial<LimitSettings>;
}

/** Settings of an agent. Addresses are `IP:port`. */
export interface AgentSettings {
  instance: string;
  meshAddress: string;
  metricsAddress: string;
  features: Features;
  logLevel: string;
  limits?: Partial<LimitSettings>;
}

/** Settings, or one message for each fault. */
export type SettingsResult<Settings> =
  { ok: true; settings: Settings } | { ok: false; faults: string[] };

/** Parses and checks the text of a settings file; reports every fault. */
export type ParseSettings<Settings> = (text: string) => SettingsResult<Settings>;

type Check = (value: unknown) => string | undefined;

const LOG_LEVELS = ['debug', 'info', 'warn', 'error'];
const DEFAULT_LOG_LEVEL = 'info';

const checkText: Check = (value) =>
  typeof value === 'string' && value !== '' ? undefined : 'expected a text';
const checkAddress: Check = (value) =>
  typeof value === 'string' && isAddress(value) ? undefined : 'expected "IP:port"';
const checkNonNegativeNumber: Check = (value) =>
  typeof value === 'number' && value >= 0 ? undefined : 'expected a number from 0 up';
const checkPositiveNumber: Check = (value) =>
  typeof value === 'number' && value > 0 ? undefined : 'expected a number above 0';
const checkOptionalPositiveNumber: Check = (value) =>
  value === undefined ? undefined : checkPositiveNumber(value);
const checkOptionalBoolean: Check = (value) =>
  value === undefined || typeof value === 'boolean' ? undefined : 'expected true or false';
const checkOptionalText: Check = (value) =>
  value === undefined || typeof value === 'string' ? undefined : 'expected a text';
const checkFraction: Check = (value) =>
  typeof value === 'number' && value >= 0 && value <= 1 ? undefined : 'expected 0 to 1';
const checkLevel: Check = (value) =>
  value === undefined || LOG_LEVELS.includes(value as string)
    ? undefined
    : `expected one of ${LOG_LEVELS.join(', ')}`;

const FIELDS: Readonly<Record<string, Check>> = {
  instance: checkText,
  dataCentre: checkText,
  callerAddress: checkAddress,
  readinessAddress: checkAddress,
  meshAddress: checkAddress,
  metricsAddress: checkAddress,
  storeAddress: checkAddress,
  isFirstStart: checkOptionalBoolean,
  pacedServers: checkOptionalBoolean,
  contracts: checkOptionalText,
  logLevel: checkLevel,
};
const AGENT_FIELDS: Readonly<Record<string, Check>> = {
  instance: checkText,
  meshAddress: checkAddress,
  metricsAddress: checkAddress,
  pacedServers: checkOptionalBoolean,
  contracts: checkOptionalText,
  logLevel: checkLevel,
};
const ROLLOUT_FIELDS: Readonly<Record<keyof RolloutBounds, Check>> = {
  exposureShare: checkFraction,
  exposureSlack: checkNonNegativeNumber,
  rollbackMs: checkNonNegativeNumber,
};
const LIMIT_FIELDS: Readonly<Record<keyof LimitSettings, Check>> = {
  memoryMb: checkOptionalPositiveNumber,
  descriptors: checkOptionalPositiveNumber,
};
const BOUND_FIELDS: Readonly<Record<keyof GatewayBounds, Check>> = {
  graceS: checkNonNegativeNumber,
  keyFreshnessMs: checkNonNegativeNumber,
  configurationMs: checkNonNegativeNumber,
  leavingMs: checkNonNegativeNumber,
  repeatRatio: checkNonNegativeNumber,
  repeatSlack: checkNonNegativeNumber,
  repeatWindowS: checkNonNegativeNumber,
  limitWindowS: checkPositiveNumber,
};

/** Parses the settings of an entry. */
export const parseGatewaySettings: ParseSettings<GatewaySettings> = (text) =>
  parseDocument(text, ({ bounds = {}, rollout, limits = {}, ...top }) => [
    ...listFaults('', top, FIELDS),
    ...listFaults('limits.', limits as Record<string, unknown>, LIMIT_FIELDS),
    ...listFaults('bounds.', bounds as Record<string, unknown>, BOUND_FIELDS),
    ...(rollout === undefined
      ? []
      : listFaults('rollout.', rollout as Record<string, unknown>, ROLLOUT_FIELDS)),
  ]);

/** Parses the settings of an agent. */
export const parseAgentSettings: ParseSettings<AgentSettings> = (text) =>
  parseDocument(text, ({ limits = {}, ...top }) => [
    ...listFaults('', top, AGENT_FIELDS),
    ...listFaults('limits.', limits as Record<string, unknown>, LIMIT_FIELDS),
  ]);

/** Reads a settings file; throws an error that lists every fault. */
export function readSettings<Settings>(
  path: string,
  parseSettings: ParseSettings<Settings>,
): Settings {
  const result = parseSettings(readFileSync(path, 'utf8'));
  if (result.ok) return result.settings;
  throw new Error(`${path}: ${result.faults.join('; ')}`);
}

function parseDocument<Settings>(
  text: string,
  check: (document: Record<string, unknown>) => string[],
): SettingsResult<Settings> {
  let document: Record<string, unknown>;
  try {
    document = parse(text);
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    const [summary] = error.message.split('\n');
    return { ok: false, faults: [`line ${error.line}, column ${error.column}: ${summary}`] };
  }
  const faults = check(document);
  if (faults.length > 0) return { ok: false, faults };
  const { contracts = '', pacedServers = false, ...fields } = document;
  const features = { ...readFeatures(String(contracts)), pacedServers: pacedServers === true };
  return { ok: true, settings: { logLevel: DEFAULT_LOG_LEVEL, features, ...fields } as Settings };
}

function listFaults(
  prefix: string,
  found: Record<string, unknown>,
  checks: Readonly<Record<string, Check>>,
): string[] {
  const unknown = Object.keys(found)
    .filter((name) => !Object.hasOwn(checks, name))
    .map(
      (name) => `${prefix}${name}: unknown key, expected one of ${Object.keys(checks).join(', ')}`,
    );
  const wrong = Object.entries(checks).flatMap(([name, check]) => {
    const fault = check(found[name]);
    return fault === undefined ? [] : [`${prefix}${name}: ${fault}`];
  });
  return [...unknown, ...wrong];
}
