import { randomInt } from 'node:crypto';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { hashText } from './hashing.js';

/** Random number generator; two generators with the same seed produce the same sequence. */
export interface Random {
  /** Returns a number in [0, 1). */
  next(): number;
  /** Returns an integer in [0, bound). */
  nextInt(bound: number): number;
  /** Returns a random element; the list must not be empty. */
  pick<T>(list: readonly T[]): T;
  /** Returns up to `count` different elements. */
  sample<T>(list: readonly T[], count: number): T[];
  /** Returns a hexadecimal id of 16 digits. */
  createId(): string;
}

const UINT32_RANGE = 2 ** 32;

/** Creates a generator from a seed. */
export const createRandom = (seed: number): Random => {
  // Generators with consecutive seeds start with similar numbers, so the seed is hashed.
  const generator = xoroshiro128plus(hashText(`seed ${seed}`));
  const nextUint32 = (): number => generator.next() >>> 0;
  const next = (): number => nextUint32() / UINT32_RANGE;
  const nextInt = (bound: number): number => Math.floor(next() * bound);
  return {
    next,
    nextInt,
    pick: <T>(list: readonly T[]): T => list[nextInt(list.length)]!,
    sample: <T>(list: readonly T[], count: number): T[] => {
      const remaining = [...list];
      const chosen: T[] = [];
      while (chosen.length < count && remaining.length > 0) {
        chosen.push(...remaining.splice(nextInt(remaining.length), 1));
      }
      return chosen;
    },
    createId: () =>
      [nextUint32(), nextUint32()].map((part) => part.toString(16).padStart(8, '0')).join(''),
  };
};

/** Creates a generator with a random seed. */
export const createSystemRandom = (): Random => createRandom(randomInt(UINT32_RANGE));
