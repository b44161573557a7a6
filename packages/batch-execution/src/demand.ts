/** Pure computation of the idle slots for which chunks are requested. */

/** Chunks are requested before the last items have started, by this share of the limit. */
const PREFETCH_SHARE = 0.25;

export interface Demand {
  models: string[];
  slots: number;
}

/** Idle slots that the items in hand will not fill, by what the workers have loaded. */
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
