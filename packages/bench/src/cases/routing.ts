/** Compares the load-aware chooser with baselines under load with shared prompt prefixes. */
import {
  createLeastReportedChooser,
  createLoadAwareChooser,
  createRandomChooser,
  type Chooser,
} from '@jujubelanding/routing';
import type { BenchFleet } from '../bench-fleet.js';
import type { Deployment } from '../deployments.js';
import { SHARED_PREFIX_SHAPE } from '../online-load.js';
import { mergeFigures } from '../report.js';
import { isInWindow, type MeasurementWindow } from '../measurement-window.js';
import type { BenchCase } from './bench-case.js';
import { computeOnlineFigures } from './online-figures.js';
import { runOnline } from './online-run.js';

const SAMPLE_INTERVAL_MS = 50;

const CHOOSERS: Record<string, () => Chooser> = {
  jujubelanding: () => createLoadAwareChooser(),
  leastReported: () => createLeastReportedChooser(),
  random: () => createRandomChooser(),
};

/**
 * Samples the maximum load relative to the mean while there is at least one request per worker on
 * average.
 */
class ImbalanceMeter {
  private sum = 0;

  private count = 0;

  start(fleet: BenchFleet, window: MeasurementWindow): void {
    fleet.timer.every(SAMPLE_INTERVAL_MS, () => {
      if (!isInWindow(window, fleet.timer.now())) return;
      const loads = fleet.engines.map((engine) => engine.onlineCount);
      const mean = loads.reduce((total, load) => total + load, 0) / loads.length;
      if (mean < 1) return;
      this.sum += Math.max(...loads) / mean;
      this.count += 1;
    });
  }

  get mean(): number {
    return this.sum / this.count;
  }
}

/** Creates the case for a deployment; `imbalance` is the maximum load divided by the mean load. */
export const createRoutingCase = (deployment: Deployment): BenchCase => ({
  variants: Object.keys(CHOOSERS),
  run: async ({ variant, seed, seconds }) => {
    const imbalance = new ImbalanceMeter();
    const { fleet, driver } = await runOnline({
      deployment,
      seed,
      seconds,
      shape: SHARED_PREFIX_SHAPE,
      createChooser: CHOOSERS[variant]!,
      prepare: (preparedFleet, window) => imbalance.start(preparedFleet, window),
    });
    const sumCounter = (counter: 'promptTokens' | 'cachedTokens'): number =>
      fleet.engines.reduce((total, engine) => total + engine[counter], 0);
    const figures = {
      ...computeOnlineFigures(driver.measurements),
      cacheHitShare: sumCounter('cachedTokens') / sumCounter('promptTokens'),
      imbalance: imbalance.mean,
    };
    return { figures };
  },
  summarize: (results) =>
    [...results].map(([chooser, runs]) => ({
      case: 'routing',
      fields: {
        deployment: deployment.name,
        workers: deployment.workers,
        chooser,
        ...mergeFigures(runs),
      },
    })),
});
