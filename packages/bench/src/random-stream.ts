import { createRandom, hashText, type Random } from '@jujubelanding/random';

/**
 * Creates an independent random stream for one purpose within a run. Generators with adjacent seeds
 * start with similar numbers, so the seed is hashed together with the name of the stream.
 */
export const createRandomStream = (seed: number, streamName: string): Random =>
  createRandom(hashText(`${streamName}|${seed}`));
