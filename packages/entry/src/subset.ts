/**
 * Which agents an entry connects to. A small deployment connects to all; a large one to a bounded
 * subset that only the configuration and the entry's name decide: some agents for each model and
 * service, then others of its own data centre, and always the agents that hold quotas.
 */
import type { BackendServerConfiguration, Configuration } from '@masticbend/settings/configuration';
import { chooseQuotaHolders } from './quota-client.js';
import { rankNames } from './rendezvous.js';

/** Agents an entry connects to, quota holders aside. */
export const SUBSET_SIZE = 160;
/** Agents of each model and service it connects to at least, where there are as many. */
export const TARGET_MINIMUM = 8;

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
  const isNear = (name: string) => servers[name]!.dataCentre === dataCentre;
  const near = ranked.filter(isNear);
  const nearFirst = [...near, ...ranked.filter((name) => !isNear(name))];
  const chosen = new Set(chooseForTargets(servers, nearFirst));
  for (const name of nearFirst) {
    if (chosen.size >= size) break;
    chosen.add(name);
  }
  for (const name of chooseQuotaHolders(names)) chosen.add(name);
  return [...chosen];
}

/** Returns the first agents of each model and service. */
function chooseForTargets(
  servers: Record<string, BackendServerConfiguration>,
  ranked: string[],
): string[] {
  const counts = new Map<string, number>();
  return ranked.filter((name) => {
    const { serves } = servers[name]!;
    const isWanted = serves.some((target) => (counts.get(target) ?? 0) < TARGET_MINIMUM);
    if (!isWanted) return false;
    for (const target of serves) counts.set(target, (counts.get(target) ?? 0) + 1);
    return true;
  });
}
