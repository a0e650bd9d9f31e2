/**
 * Settings of one process: its addresses, its data centre, the platform's addresses and where its
 * secrets are. Everything shared between processes is in the configuration document instead.
 */
import { readFileSync } from 'node:fs';
import { z } from 'zod';
import { checkToml, formatFault, type CheckResult } from './schema-fault.js';

const address = z.string().regex(/^[0-9.]+:[0-9]{1,5}$/, 'expected an address as "IP:port"');
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
  /** Callers' HTTP address. */
  callerAddress: address,
  /** Time a stopping entry goes on taking requests, until the balancer has noticed. */
  lameDuckMs: z.int().min(0).max(600_000).default(2_000),
  /** Administration, metrics, health and dump. */
  administrationAddress: address,
  /** Document committed when there is none yet; its agents are asked while the platform is down. */
  initialConfigurationFile: z.string().optional(),
});

const agentSettings = z.strictObject({
  ...shared,
  backendServer: z.string().min(1).max(64),
  backendUrl: url,
  /** Address entries dial. */
  meshAddress: address,
  /** Metrics, health and dump. */
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

/** Reads an entry's settings file; throws with every fault named. */
export function readEntrySettings(path: string): EntrySettings {
  return requireSettings(path, checkEntrySettings(readFileSync(path, 'utf8')));
}

/** Reads an agent's settings file; throws with every fault named. */
export function readAgentSettings(path: string): AgentSettings {
  return requireSettings(path, checkAgentSettings(readFileSync(path, 'utf8')));
}

function requireSettings<Settings>(path: string, result: CheckResult<Settings>): Settings {
  if (result.ok) return result.value;
  throw new Error(`${path}: ${result.faults.map(formatFault).join('; ')}`);
}
