/**
 * Rendezvous hashing: all processes with the same set of names rank them identically for a key, and
 * adding or removing a name moves only that name's share of the keys.
 */
import { computeRendezvousWeight, hashText } from './affinity.js';

/** Returns the names in their order of preference for a key. */
export function rankNames(key: string, names: readonly string[]): string[] {
  const keyHash = hashText(key);
  return names
    .map((name) => ({ name, weight: computeRendezvousWeight(keyHash, hashText(name)) }))
    .sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
    .map(({ name }) => name);
}
