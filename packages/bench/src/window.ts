/** Part of a run in which figures are collected. */
export interface Window {
  from: number;
  to: number;
}

export const isWithin = (window: Window, time: number): boolean =>
  time >= window.from && time < window.to;

/** Length of the part of an interval that lies in the window. */
export const measureOverlap = (window: Window, from: number, to: number): number =>
  Math.max(0, Math.min(to, window.to) - Math.max(from, window.from));
