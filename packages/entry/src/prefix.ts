/**
 * Chained hashes of a prompt's blocks: two prompts share a prefix of n blocks exactly when their
 * first n hashes agree.
 */
import { createHash } from 'node:crypto';

const BLOCK_CHARACTERS = 1_024;
/** Maximum number of blocks that are hashed. */
const MAX_BLOCKS = 32;
const HASH_CHARACTERS = 16;

/** Returns the hashes of the complete blocks of a prompt, in the order of the blocks. */
export function hashPrefix(prompt: string): string[] {
  const hashes: string[] = [];
  let previous = '';
  for (let block = 0; block < MAX_BLOCKS; block += 1) {
    const start = block * BLOCK_CHARACTERS;
    const text = prompt.slice(start, start + BLOCK_CHARACTERS);
    if (text.length < BLOCK_CHARACTERS) break;
    const digest = createHash('sha256').update(previous).update(text).digest('hex');
    previous = digest.slice(0, HASH_CHARACTERS);
    hashes.push(previous);
  }
  return hashes;
}
