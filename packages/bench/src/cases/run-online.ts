/** One run of online load, with or without batch work. */
import { BenchFleet, type BenchFleetOptions } from '../bench-fleet.js';
import { countSlots } from '../deployments.js';
import { createOnlineLoad, type LoadShape, type OnlineLoad } from '../online-load.js';
import { OnlinePlayer } from '../online-player.js';
import type { Window } from '../window.js';

/** Time until batch work and steady load fill the fleet. */
export const WARM_UP_MS = 5000;

export interface OnlineRun extends Omit<BenchFleetOptions, 'window'> {
  seconds: number;
  warmUpMs?: number;
  /** Undefined for a run without online load. */
  shape: LoadShape | undefined;
  /** Prepares faults and observers before the run. */
  prepare?: (fleet: BenchFleet, window: Window) => void;
}

export interface FinishedRun {
  fleet: BenchFleet;
  player: OnlinePlayer;
  load: OnlineLoad;
  window: Window;
}

/** Runs the load, then lets the last requests end. */
export const runOnline = async (run: OnlineRun): Promise<FinishedRun> => {
  const { deployment, seed, seconds, shape, warmUpMs = WARM_UP_MS, prepare, ...rest } = run;
  const window = { from: warmUpMs, to: warmUpMs + seconds * 1000 };
  const fleet = new BenchFleet({ ...rest, deployment, seed, window });
  const { entryVms } = deployment;
  const slots = countSlots(deployment);
  const load =
    shape === undefined
      ? { arrivals: [], bursts: [] }
      : createOnlineLoad({ seed, durationMs: window.to, slots, entryVms, shape });
  const player = new OnlinePlayer(fleet, load.arrivals, window);
  prepare?.(fleet, window);
  player.start();
  await fleet.runUntil(window.to);
  await player.drain();
  fleet.finish();
  return { fleet, player, load, window };
};
