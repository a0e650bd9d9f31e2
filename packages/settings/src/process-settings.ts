/**
 * Settings of one process: its addresses, its data centre, the platform's addresses and the paths
 * of its secrets. Everything that processes share is in the configuration document instead.
 */
import { readFileSync } from 'node:fs';
import { z } from 'zod';
import { address } from './address-schema.js';
import { checkToml, formatFault, type CheckResult } from './schema-fault.js';

const url = z.url();

const platform = z.strictObject({
  tableUrl: url,
  objectUrl: url,
  instancesUrl: url,
  weightsUrl: url.optional(),
});

const shared = {
  instance: z.string().min(1).max(64),
  dataCentre: z.string().min(1).max(64),
  /** File that holds the mesh secret. */
  meshSecretFile: z.string().min(1),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  platform,
};

const entrySettings = z.strictObject({
  ...shared,
  /** Address of the HTTP server for callers. */
  callerAddress: address,
  /** Time for which a stopping entry still accepts requests, until the balancer has noticed. */
  lameDuckMs: z.int().min(0).max(600_000).default(2_000),
  /** Address of the HTTP server for administration, metrics, health and dump. */
  administrationAddress: address,
  /**
   * File with the document that is committed when there is none yet. The entry also connects to the
   * agents in it, so that it can get the configuration from them while the platform is down.
   */
  initialConfigurationFile: z.string().optional(),
});

const agentSettings = z.strictObject({
  ...shared,
  backendServer: z.string().min(1).max(64),
  backendUrl: url,
  /** Address that entries connect to. */
  meshAddress: address,
  /** Address of the HTTP server for metrics, health and dump. */
  administrationAddress: address,
});

export type EntrySettings = z.output<typeof entrySettings>;
export type AgentSettings = z.output<typeof agentSettings>;

/** Checks the text of an entry's settings. */
export function checkEntrySettings(text: string): CheckResult<EntrySettings> {
  return checkToml(text, entrySettings);
}

/** Checks the text of an agent's settings. */
export function checkAgentSettings(text: string): CheckResult<AgentSettings> {
  return checkToml(text, agentSettings);
}

/** Reads an entry's settings file; throws an error that lists every fault. */
export function readEntrySettings(path: string): EntrySettings {
  return requireSettings(path, checkEntrySettings(readFileSync(path, 'utf8')));
}

/** Reads an agent's settings file; throws an error that lists every fault. */
export function readAgentSettings(path: string): AgentSettings {
  return requireSettings(path, checkAgentSettings(readFileSync(path, 'utf8')));
}

function requireSettings<Settings>(path: string, result: CheckResult<Settings>): Settings {
  if (result.ok) return result.value;
  throw new Error(`${path}: ${result.faults.map(formatFault).join('; ')}`);
}
