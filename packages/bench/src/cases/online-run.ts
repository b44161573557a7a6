/** One run of online load, with or without batch work. */
import { BenchFleet, type BenchFleetOptions } from '../bench-fleet.js';
import { countSlots } from '../deployments.js';
import { createOnlineLoad, type LoadShape, type OnlineLoad } from '../online-load.js';
import { OnlineLoadDriver } from '../online-load-driver.js';
import type { MeasurementWindow } from '../measurement-window.js';

/** Time for batch work and a steady load to fill the fleet. */
export const WARM_UP_MS = 5000;

export interface OnlineRunOptions extends Omit<BenchFleetOptions, 'window'> {
  seconds: number;
  warmUpMs?: number;
  /** Undefined for a run without online load. */
  shape: LoadShape | undefined;
  /** Called before the run starts, to schedule faults and to register meters. */
  prepare?: (fleet: BenchFleet, window: MeasurementWindow) => void;
}

export interface OnlineRunResult {
  fleet: BenchFleet;
  driver: OnlineLoadDriver;
  load: OnlineLoad;
  window: MeasurementWindow;
}

/** Runs the load, then waits for the last requests to end. */
export const runOnline = async (run: OnlineRunOptions): Promise<OnlineRunResult> => {
  const { deployment, seed, seconds, shape, warmUpMs = WARM_UP_MS, prepare, ...rest } = run;
  const window = { from: warmUpMs, to: warmUpMs + seconds * 1000 };
  const fleet = new BenchFleet({ ...rest, deployment, seed, window });
  const { entryVms } = deployment;
  const slots = countSlots(deployment);
  const load =
    shape === undefined
      ? { arrivals: [], bursts: [] }
      : createOnlineLoad({ seed, durationMs: window.to, slots, entryVms, shape });
  const driver = new OnlineLoadDriver(fleet, load.arrivals, window);
  prepare?.(fleet, window);
  driver.start();
  await fleet.runUntil(window.to);
  await driver.drain();
  fleet.finish();
  return { fleet, driver, load, window };
};
