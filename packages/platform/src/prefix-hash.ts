import { hashText } from '@jujubelanding/random';
import type { Message } from '@jujubelanding/types';

/** Length of a prompt block in characters; model engines cache whole blocks only. */
export const PREFIX_BLOCK_CHARACTERS = 256;

/** Maximum number of blocks that are hashed and cached; bounds the work per request. */
export const MAX_PREFIX_BLOCKS = 32;

/**
 * Returns one hash for each complete leading block of a prompt. Each hash covers all blocks up to and
 * including its own, so two prompts have as many leading hashes in common as leading blocks.
 */
export const computePrefixHashes = (messages: readonly Message[]): string[] => {
  const text = messages.map(({ role, content }) => `${role}\n${content}\n`).join('');
  const blocks = Math.min(Math.floor(text.length / PREFIX_BLOCK_CHARACTERS), MAX_PREFIX_BLOCKS);
  const hashes: string[] = [];
  let previous = '';
  for (let block = 0; block < blocks; block += 1) {
    const start = block * PREFIX_BLOCK_CHARACTERS;
    const content = text.slice(start, start + PREFIX_BLOCK_CHARACTERS);
    // Two differently seeded 32-bit hashes make collisions unlikely in a large fleet.
    const halves = [hashText(`a${previous}${content}`), hashText(`b${content}${previous}`)];
    previous = halves.map((half) => half.toString(16).padStart(8, '0')).join('');
    hashes.push(previous);
  }
  return hashes;
};
