/** Targets of the design page, and the evaluation of measured spreads against them. */
import type { Spread } from './statistics.js';
import type { FigureValue } from './report.js';

export const FIRST_TOKEN_RATIO_TARGET = 1.05;
export const INTER_TOKEN_RATIO_TARGET = 1.05;
export const IDLE_SHARE_TARGET = 0.9;
export const YIELD_TARGET_MS = 100;
export const FIRST_TOKEN_P95_TARGET_MS = 490;
export const INTER_TOKEN_P95_TARGET_MS = 70;

export enum Bound {
  AtMost = 'atMost',
  AtLeast = 'atLeast',
}

/**
 * Creates the report fields of a figure and its target. The target is met only if every seed meets
 * it.
 */
export const evaluateTarget = (name: string, spread: Spread, bound: Bound, target: number) => {
  const isMet = bound === Bound.AtMost ? spread.greatest <= target : spread.least >= target;
  const fields: Record<string, FigureValue> = {
    [name]: spread,
    [`${name}.target`]: target,
    [`${name}.met`]: isMet,
  };
  return fields;
};
