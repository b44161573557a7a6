/** Slowdown of a worker by its own report: the duration of work relative to the usual one. */

/** A worker's report of how long work takes on it. */
export interface SpeedReport {
  /** Duration of work in percent of the usual. */
  percent: number;
  ageMs: number;
}

/** Duration of work on a worker of usual speed. */
export const USUAL_PERCENT = 100;

/** Time constant with which a report loses its value; slow spells of workers last 0.6 s. */
const DECAY_MS = 600;

/** Returns the slowdown to expect when the report has reached the given age. */
export const computeSlowdown = ({ percent, ageMs }: SpeedReport): number =>
  1 + (percent / USUAL_PERCENT - 1) * Math.exp(-Math.max(0, ageMs) / DECAY_MS);

/** Returns the mean of the slowdown over work that begins now and usually takes `durationMs`. */
export const computeMeanSlowdown = (report: SpeedReport, durationMs: number): number => {
  const current = computeSlowdown(report);
  if (durationMs <= 0) return current;
  const decays = durationMs / DECAY_MS;
  return 1 + ((current - 1) * (1 - Math.exp(-decays))) / decays;
};
