/**
 * Chooses the agents an entry connects to. In a small deployment these are all agents; in a large
 * one, a bounded subset that depends only on the configuration and on the entry's name and data
 * centre: some agents for each model and service, then further agents with those of its own data
 * centre first, and always the quota allocators.
 */
import type { BackendServerConfiguration, Configuration } from '@masticbend/settings/configuration';
import { rankNames } from '@masticbend/scheduling/rendezvous';
import { chooseQuotaAllocators } from './quota-client.js';

/** Number of agents an entry connects to, in addition to the quota allocators. */
export const SUBSET_SIZE = 160;
/** Minimum agents of each model and service in the subset, if that many exist. */
export const MIN_AGENTS_PER_TARGET = 8;

/** Returns the names of the agents one entry connects to. */
export function chooseSubset(
  configuration: Configuration,
  instance: string,
  dataCentre: string,
  size = SUBSET_SIZE,
): string[] {
  const servers = configuration.backendServers;
  const names = Object.keys(servers);
  if (names.length <= size) return names;
  const ranked = rankNames(instance, names);
  const isLocal = (name: string) => servers[name]!.dataCentre === dataCentre;
  const localAgents = ranked.filter(isLocal);
  const localFirst = [...localAgents, ...ranked.filter((name) => !isLocal(name))];
  const chosen = new Set(chooseForTargets(servers, localFirst));
  for (const name of localFirst) {
    if (chosen.size >= size) break;
    chosen.add(name);
  }
  for (const name of chooseQuotaAllocators(names)) chosen.add(name);
  return [...chosen];
}

/** Returns the first `MIN_AGENTS_PER_TARGET` ranked agents of each model and service. */
function chooseForTargets(
  servers: Record<string, BackendServerConfiguration>,
  ranked: string[],
): string[] {
  const counts = new Map<string, number>();
  return ranked.filter((name) => {
    const { serves } = servers[name]!;
    const isNeeded = serves.some((target) => (counts.get(target) ?? 0) < MIN_AGENTS_PER_TARGET);
    if (!isNeeded) return false;
    for (const target of serves) counts.set(target, (counts.get(target) ?? 0) + 1);
    return true;
  });
}
