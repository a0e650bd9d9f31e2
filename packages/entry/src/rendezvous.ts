/**
 * Rendezvous hashing of names: every process that knows the same names ranks them alike for a key,
 * and a name that comes or goes moves only its own share of the keys.
 */
import { computeAttraction, hashText } from '@masticbend/scheduling/affinity';

/** Returns the names ranked for a key, the first choice first. */
export function rankNames(key: string, names: readonly string[]): string[] {
  const keyHash = hashText(key);
  return names
    .map((name) => ({ name, weight: computeAttraction(keyHash, hashText(name)) }))
    .sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
    .map(({ name }) => name);
}
