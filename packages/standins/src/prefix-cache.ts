/**
 * Prefix cache of the engine stand-in: blocks of prompts with least-recently-used eviction, and a
 * log of stored and evicted blocks, which is reported with a delay and with gaps.
 */
import { createHash } from 'node:crypto';

/** Size of one block. Blocks are identified by chained hashes, computed as entries compute them. */
const BLOCK_CHARACTERS = 1_024;
export const BLOCK_TOKENS = 256;
const HASH_CHARACTERS = 16;
/** Events kept for readers that poll again. */
const MAX_EVENTS = 10_000;

/** One change of the cache. */
export interface CacheEvent {
  sequence: number;
  kind: 'stored' | 'evicted';
  block: string;
}

/** Prefix cache of one engine. */
export interface PrefixCache {
  /** Returns the tokens of the leading blocks that are cached, and marks those as used. */
  matchPrefix: (blocks: readonly string[]) => number;
  /** Caches these blocks and evicts the least recently used ones beyond the capacity. */
  store: (now: number, blocks: readonly string[]) => void;
  /** Returns the events after a sequence number that are old enough to be reported. */
  listEvents: (now: number, after: number) => CacheEvent[];
  countTokens: () => number;
}

/** Returns an empty cache; omits every `omittedEventInterval`-th event, or none if 0. */
export function createPrefixCache(
  capacityTokens: number,
  eventLagMs: number,
  omittedEventInterval: number,
): PrefixCache {
  const cachedBlocks = new Set<string>();
  const events: (CacheEvent & { at: number })[] = [];
  let sequence = 0;

  function recordEvent(at: number, kind: CacheEvent['kind'], block: string): void {
    sequence += 1;
    if (omittedEventInterval > 0 && sequence % omittedEventInterval === 0) return;
    events.push({ at, sequence, kind, block });
    if (events.length > MAX_EVENTS) events.shift();
  }

  function updateLastUse(block: string): boolean {
    if (!cachedBlocks.delete(block)) return false;
    cachedBlocks.add(block);
    return true;
  }

  return {
    matchPrefix(blocks) {
      const firstMissing = blocks.findIndex((block) => !updateLastUse(block));
      return (firstMissing < 0 ? blocks.length : firstMissing) * BLOCK_TOKENS;
    },
    store(now, blocks) {
      for (const block of blocks) {
        if (updateLastUse(block)) continue;
        cachedBlocks.add(block);
        recordEvent(now, 'stored', block);
      }
      for (const block of cachedBlocks) {
        if (cachedBlocks.size * BLOCK_TOKENS <= capacityTokens) break;
        cachedBlocks.delete(block);
        recordEvent(now, 'evicted', block);
      }
    },
    listEvents: (now, after) =>
      events
        .filter((event) => event.sequence > after && event.at + eventLagMs <= now)
        .map(({ at, ...event }) => event),
    countTokens: () => cachedBlocks.size * BLOCK_TOKENS,
  };
}

/** Returns the chained hashes of a prompt's complete blocks. */
export function hashBlocks(prompt: string): string[] {
  const hashes: string[] = [];
  let previous = '';
  for (let end = BLOCK_CHARACTERS; end <= prompt.length; end += BLOCK_CHARACTERS) {
    const text = prompt.slice(end - BLOCK_CHARACTERS, end);
    const digest = createHash('sha256').update(previous).update(text).digest('hex');
    previous = digest.slice(0, HASH_CHARACTERS);
    hashes.push(previous);
  }
  return hashes;
}
