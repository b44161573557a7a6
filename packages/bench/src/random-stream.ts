import { createRandom, hashText, type Random } from '@jujubelanding/random';

/**
 * Creates the random numbers of one part of a run. Generators that are seeded with neighbouring
 * numbers start with similar numbers, so that the seed is hashed first.
 */
export const createRandomStream = (seed: number, streamName: string): Random =>
  createRandom(hashText(`${streamName}|${seed}`));
