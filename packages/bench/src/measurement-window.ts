/** Period of a run in which figures are collected; includes `from`, excludes `to`. */
export interface MeasurementWindow {
  from: number;
  to: number;
}

export const isInWindow = (window: MeasurementWindow, time: number): boolean =>
  time >= window.from && time < window.to;

/** Returns how much of an interval lies within the window. */
export const measureOverlap = (window: MeasurementWindow, from: number, to: number): number =>
  Math.max(0, Math.min(to, window.to) - Math.max(from, window.from));
