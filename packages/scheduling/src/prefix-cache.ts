/**
 * Estimates which prompt prefixes are in a backend server's cache, from the agent's own history of
 * calls. Engines publish cache events late and with gaps, so the assumed cache size is corrected by
 * the cached tokens that finished calls report.
 */

/** Prompt tokens in one block of a prefix. */
export const PREFIX_BLOCK_TOKENS = 256;
/** Bounds of the assumed cache size, in blocks. */
const MAX_BLOCKS = 4_096;
const MIN_BLOCKS = 16;
/** Factors by which the assumed cache size is corrected. */
const SHRINK_FACTOR = 0.9;
const GROWTH_FACTOR = 1.02;

/** Model of an engine's prefix cache, with least recently used eviction. */
export interface PrefixCacheModel {
  /** Estimates how many leading prompt tokens of a prefix are cached. */
  estimateCached: (prefix: readonly string[]) => number;
  /** Records a call with this prefix at the backend server. */
  record: (prefix: readonly string[]) => void;
  /** Corrects the assumed cache size by the cached tokens that a call reported. */
  correct: (expectedTokens: number, cachedTokens: number) => void;
}

/** Returns the model of an empty cache. */
export function createPrefixCacheModel(): PrefixCacheModel {
  const blocks = new Set<string>();
  let limit = MAX_BLOCKS;

  function dropOldest(): void {
    for (const block of blocks) {
      if (blocks.size <= limit) return;
      blocks.delete(block);
    }
  }

  return {
    estimateCached(prefix) {
      const missing = prefix.findIndex((block) => !blocks.has(block));
      return (missing < 0 ? prefix.length : missing) * PREFIX_BLOCK_TOKENS;
    },
    record(prefix) {
      for (const block of prefix) {
        blocks.delete(block);
        blocks.add(block);
      }
      dropOldest();
    },
    correct(expectedTokens, cachedTokens) {
      if (cachedTokens < expectedTokens) {
        limit = Math.max(MIN_BLOCKS, Math.floor(Math.min(limit, blocks.size) * SHRINK_FACTOR));
        dropOldest();
      } else if (expectedTokens > 0) limit = Math.min(MAX_BLOCKS, Math.ceil(limit * GROWTH_FACTOR));
    },
  };
}
