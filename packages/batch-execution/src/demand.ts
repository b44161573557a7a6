/** Computes, as a pure function, for how many slots chunks are requested. */

/** Share of the slot limit for which items are prefetched, before the last pending ones have started. */
const PREFETCH_SHARE = 0.25;

export interface Demand {
  models: string[];
  slots: number;
}

/** Returns how many slots pending items will not fill, and the models and adapters that lack items. */
export const computeDemand = (
  capacity: ReadonlyMap<string, { free: number; limit: number }>,
  pending: ReadonlyMap<string, number>,
): Demand => {
  const models: string[] = [];
  let slots = 0;
  capacity.forEach(({ free, limit }, target) => {
    const missing = free + Math.ceil(limit * PREFETCH_SHARE) - (pending.get(target) ?? 0);
    if (missing <= 0) return;
    models.push(target);
    slots = Math.max(slots, missing);
  });
  return { models, slots };
};
