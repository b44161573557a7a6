/** Random distributions for generated load. */
import type { Random } from '@jujubelanding/random';

export const drawUniform = (random: Random, least: number, greatest: number): number =>
  least + (greatest - least) * random.next();

export const drawExponential = (random: Random, mean: number): number =>
  -Math.log(1 - random.next()) * mean;

/** Draws from a log-normal distribution (Box-Muller transform), clamped to a range. */
export const drawLogNormal = (
  random: Random,
  { median, sigma, least, greatest }: LogNormalParameters,
): number => {
  const magnitude = Math.sqrt(-2 * Math.log(1 - random.next()));
  const normal = magnitude * Math.cos(2 * Math.PI * random.next());
  return Math.min(greatest, Math.max(least, median * Math.exp(sigma * normal)));
};

export interface LogNormalParameters {
  median: number;
  sigma: number;
  least: number;
  greatest: number;
}

const WORDS = ['kit', 'match', 'team', 'goal', 'field', 'score', 'coach', 'season', 'ticket'];

/** Creates random text with the given number of characters. */
export const createText = (random: Random, characters: number): string => {
  const parts: string[] = [];
  let length = 0;
  while (length < characters) {
    const part = `${random.pick(WORDS)}${random.nextInt(1000)}`;
    parts.push(part);
    length += part.length + 1;
  }
  return parts.join(' ').slice(0, characters);
};
