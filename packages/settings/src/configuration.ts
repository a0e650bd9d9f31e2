/**
 * The shared configuration document: tiers, client accounts, models, services and backend servers.
 * Its top-level tables are the sections, which teams own. The complete document is checked
 * together, since sections refer to each other.
 */
import { z } from 'zod';
import { address } from './address-schema.js';
import type { ConfigurationDocument, Operation } from './document.js';
import {
  checkToml,
  checkValue,
  type CheckResult,
  type ConfigurationFault,
} from './schema-fault.js';
import { Section } from './section.js';

export type { ConfigurationFault } from './schema-fault.js';

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,63}$/);
const hash = z.string().regex(/^[0-9a-f]{64}$/);

/** Maximum number of tiers. */
export const MAX_TIERS = 8;
/** Maximum number of concurrent calls to one backend server. */
export const MAX_CONCURRENCY = 4_096;

const tier = z.strictObject({
  /** 0 is the highest. */
  rank: z
    .int()
    .min(0)
    .max(MAX_TIERS - 1),
  /** Time to the complete answer, unless the class of work or the request sets another. */
  deadlineMs: z.int().min(50).max(3_600_000),
});

const account = z.strictObject({
  /** SHA-256 of each API key. */
  keyHashes: z.array(hash).min(1).max(8),
  /** Highest tier that the account may use, and its default tier. */
  tier: name,
  /** Weight of the account within its tier. */
  weight: z.number().positive().max(1_000).default(1),
  requestsPerSecond: z.number().positive().default(1_000),
  tokensPerSecond: z.number().positive().default(1_000_000),
  concurrency: z.int().positive().default(1_000),
});

const work = z.strictObject({
  /** Name of a model or service. */
  target: name,
  tier: name.optional(),
  deadlineMs: z.int().min(50).max(3_600_000).optional(),
  /** Output tokens assumed until output lengths have been observed. */
  outputTokens: z.int().min(1).default(128),
});

const model = z.strictObject({
  contextTokens: z.int().min(128).default(131_072),
  adapters: z.array(name).default([]),
  version: z.string().max(64).default('1'),
});

const operation = z.strictObject({
  method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
  /** Path below the service; a final `*` makes it a prefix. */
  path: z.string().startsWith('/'),
  idempotent: z.boolean(),
  work: name.optional(),
});

const service = z.strictObject({ operations: z.array(operation).min(1).max(256) });

const backendServer = z.strictObject({
  /** Address of the backend server's agent. */
  agent: address,
  dataCentre: name,
  kind: z.enum(['model', 'service']),
  /** Models or services that it serves. */
  serves: z.array(name).min(1).max(64),
  /** Maximum number of concurrent calls. */
  concurrency: z.int().min(1).max(MAX_CONCURRENCY).default(16),
  /** Whether it rejects orders with an outdated fencing number. */
  checksFencing: z.boolean().default(false),
  /** Set by an operator so that the backend server gets no new work. */
  draining: z.boolean().default(false),
});

const limits = z.strictObject({
  bodyBytes: z
    .int()
    .positive()
    .default(8 * 1024 * 1024),
  headerBytes: z
    .int()
    .positive()
    .default(16 * 1024),
  streamBytes: z
    .int()
    .positive()
    .default(64 * 1024 * 1024),
  queueLimit: z.int().positive().default(512),
});

const team = z.strictObject({
  /** SHA-256 of the team's operator token. */
  tokenHashes: z.array(hash).min(1).max(8),
  /** Sections that the team may edit. */
  sections: z.array(z.enum(Section)),
});

const document = z.strictObject({
  teams: z.record(name, team).default({}),
  tiers: z.record(name, tier),
  accounts: z.record(name, account),
  work: z.record(name, work).default({}),
  models: z.record(name, model).default({}),
  services: z.record(name, service).default({}),
  backendServers: z.record(name, backendServer),
  limits: limits.prefault({}),
});

export type Configuration = z.output<typeof document>;
export type AccountConfiguration = z.output<typeof account>;
export type BackendServerConfiguration = z.output<typeof backendServer>;
export type ServiceOperation = z.output<typeof operation>;

/** A valid configuration, or all faults of the document. */
export type ConfigurationResult =
  { ok: true; configuration: Configuration } | { ok: false; faults: ConfigurationFault[] };

/** Parses and checks a complete document. */
export function parseConfiguration(text: string): ConfigurationResult {
  return checkReferences(checkToml(text, document));
}

/** Checks a complete document that is already parsed. */
export function checkConfiguration(value: ConfigurationDocument): ConfigurationResult {
  return checkReferences(checkValue(value, document));
}

/**
 * Returns the configuration after operations that were already checked as part of the complete
 * document `changedDocument`. Only the changed keys are parsed again.
 */
export function applyCheckedOperations(
  configuration: Configuration,
  changedDocument: ConfigurationDocument,
  operations: readonly Operation[],
): Configuration {
  return operations.reduce((current, { section, key }) => {
    const schema = document.shape[section];
    const isRecord = schema instanceof z.ZodDefault || schema instanceof z.ZodRecord;
    if (key === undefined || !isRecord) {
      return { ...current, [section]: schema.parse(changedDocument[section]) };
    }
    const values = Object.assign(Object.create(null), current[section]) as Record<string, unknown>;
    const value = changedDocument[section]?.[key];
    if (value === undefined) delete values[key];
    else Object.assign(values, schema.parse({ [key]: value }));
    return { ...current, [section]: values };
  }, configuration);
}

function checkReferences(result: CheckResult<Configuration>): ConfigurationResult {
  if (!result.ok) return result;
  const faults = findBrokenReferences(result.value);
  return faults.length > 0 ? { ok: false, faults } : { ok: true, configuration: result.value };
}

function findBrokenReferences(configuration: Configuration): ConfigurationFault[] {
  const faults: ConfigurationFault[] = [];
  const targets = new Set([
    ...Object.keys(configuration.models),
    ...Object.keys(configuration.services),
  ]);
  const requireTier = (key: string, value: string | undefined) => {
    if (value === undefined || configuration.tiers[value]) return;
    faults.push({ key, message: `there is no tier "${value}"` });
  };
  const requireTarget = (key: string, value: string) => {
    if (targets.has(value)) return;
    faults.push({ key, message: `there is no model or service "${value}"` });
  };
  for (const [key, value] of Object.entries(configuration.accounts)) {
    requireTier(`accounts.${key}.tier`, value.tier);
  }
  for (const [key, value] of Object.entries(configuration.work)) {
    requireTier(`work.${key}.tier`, value.tier);
    requireTarget(`work.${key}.target`, value.target);
  }
  for (const [key, value] of Object.entries(configuration.backendServers)) {
    for (const served of value.serves) requireTarget(`backendServers.${key}.serves`, served);
  }
  return faults;
}
