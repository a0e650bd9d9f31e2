/** Checks the files of a process before it starts, and reports all their faults together. */
import { existsSync, readFileSync } from 'node:fs';
import { parseConfiguration } from './configuration.js';
import { checkAgentSettings, checkEntrySettings } from './process-settings.js';
import { formatFault, type ConfigurationFault } from './schema-fault.js';

/** Returns a line for each fault in an entry's settings, secret file and initial configuration. */
export function checkEntryFiles(path: string): string[] {
  const settings = checkEntrySettings(readFileSync(path, 'utf8'));
  if (!settings.ok) return describeFaults(path, settings.faults);
  const { meshSecretFile, initialConfigurationFile } = settings.value;
  return [
    ...findMissing(path, 'meshSecretFile', meshSecretFile),
    ...(initialConfigurationFile ? checkConfigurationFile(path, initialConfigurationFile) : []),
  ];
}

/** Returns a line for each fault in an agent's settings and secret file. */
export function checkAgentFiles(path: string): string[] {
  const settings = checkAgentSettings(readFileSync(path, 'utf8'));
  if (!settings.ok) return describeFaults(path, settings.faults);
  return findMissing(path, 'meshSecretFile', settings.value.meshSecretFile);
}

function checkConfigurationFile(path: string, file: string): string[] {
  if (!existsSync(file)) return findMissing(path, 'initialConfigurationFile', file);
  const result = parseConfiguration(readFileSync(file, 'utf8'));
  return result.ok ? [] : describeFaults(file, result.faults);
}

function findMissing(path: string, key: string, file: string): string[] {
  return existsSync(file) ? [] : [`${path}: ${key}: there is no file "${file}"`];
}

function describeFaults(path: string, faults: ConfigurationFault[]): string[] {
  return faults.map((fault) => `${path}: ${formatFault(fault)}`);
}
