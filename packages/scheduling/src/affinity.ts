/**
 * Prefix affinity by rendezvous hashing: all entries select the same few agents for a prefix
 * without a shared table, and an agent that joins or leaves moves only its own share of the
 * prefixes.
 */

/** Number of leading prompt blocks that determine the affinity. */
const KEY_BLOCKS = 4;
/** Constants of the multiplicative hash (32 bits). */
const HASH_OFFSET = 0x811c9dc5;
const HASH_MULTIPLIER = 0x01000193;
const MIXING_MULTIPLIER = 0x85ebca6b;
const HALF_WORD = 0x10000;

/** Returns the hash of the leading blocks, or undefined for an empty prefix. */
export function computePrefixKey(prefix: readonly string[]): number | undefined {
  const block = prefix[Math.min(prefix.length, KEY_BLOCKS) - 1];
  return block === undefined ? undefined : hashText(block);
}

/** Returns a 32-bit hash of a text. */
export function hashText(text: string): number {
  let hash = HASH_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash + text.charCodeAt(index), HASH_MULTIPLIER);
  }
  return hashInteger(hash);
}

/** Returns the rendezvous weight of an agent for a prefix from their hashes; the highest wins. */
export function computeRendezvousWeight(prefixKey: number, agentHash: number): number {
  return hashInteger(Math.imul(prefixKey + agentHash, HASH_MULTIPLIER));
}

/** Mixes the high bits of a product into its low bits. */
function hashInteger(value: number): number {
  return Math.imul(value + Math.floor(value / HALF_WORD), MIXING_MULTIPLIER);
}
