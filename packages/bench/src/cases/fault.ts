/** One worker dies and another becomes slow in the middle of a run. */
import { CapacityPolicyName } from '@jujubelanding/batch-capacity';
import type { Log } from '@jujubelanding/log';
import type { BenchFleet } from '../bench-fleet.js';
import type { Deployment } from '../deployments.js';
import { createSteadyShape } from '../online-load.js';
import { mergeFigures, type Figures } from '../report.js';
import { computeSpread, Samples } from '../statistics.js';
import type { Window } from '../window.js';
import type { BenchCase } from './bench-case.js';
import { describeOnline } from './online-figures.js';
import { runOnline } from './run-online.js';

/** Leaves room for the load of two workers on the others. */
const UTILIZATION = 0.45;

const DEAD_WORKER = 0;
const SLOW_WORKER = 1;

/** Share of the run after which each fault begins. */
const DEATH_AT = 0.3;
const SLOWNESS_AT = 0.5;

/** Factor by which the slow worker's steps and prefill take longer. */
const SLOWNESS = 5;

enum Variant {
  Healthy = 'healthy',
  Faulty = 'faulty',
}

/** First ejection of a worker by each entry VM. */
class EjectionMeter {
  private readonly ejections: { entryVmId: string; worker: string; at: number }[] = [];

  now: () => number = () => 0;

  createLog(entryVmId: string): (part: string) => Log {
    return () => ({
      write: (event, fields) => {
        if (event !== 'eject') return;
        this.ejections.push({ entryVmId, worker: String(fields?.worker), at: this.now() });
      },
    });
  }

  /** Times from the fault until each entry VM that ejects the worker has done so. */
  measure(worker: number, faultAt: number): Samples {
    const samples = new Samples();
    const seen = new Set<string>();
    for (const { entryVmId, worker: workerId, at } of this.ejections) {
      if (workerId !== `worker-${worker}` || at < faultAt || seen.has(entryVmId)) continue;
      seen.add(entryVmId);
      samples.add(at - faultAt);
    }
    return samples;
  }
}

const findTime = ({ from, to }: Window, share: number): number => from + share * (to - from);

const slowDown = (fleet: BenchFleet): void => {
  const { settings } = fleet.engines[SLOW_WORKER]!;
  settings.stepBaseMs *= SLOWNESS;
  settings.stepPerStreamMs *= SLOWNESS;
  settings.prefillMsPerToken *= SLOWNESS;
};

const scheduleFaults = (fleet: BenchFleet, window: Window): void => {
  fleet.timer.after(findTime(window, DEATH_AT), () => fleet.engines[DEAD_WORKER]!.crash());
  fleet.timer.after(findTime(window, SLOWNESS_AT), () => slowDown(fleet));
};

/** Counts online requests that the slow worker takes from its fault on. */
const countSlowRequests = (fleet: BenchFleet, window: Window): (() => number) => {
  const engine = fleet.engines[SLOW_WORKER]!;
  let before = 0;
  fleet.timer.after(findTime(window, SLOWNESS_AT), () => {
    before = engine.onlineAttempts;
  });
  return () => engine.onlineAttempts - before;
};

const describeEjections = (meter: EjectionMeter, window: Window): Figures => {
  const dead = meter.measure(DEAD_WORKER, findTime(window, DEATH_AT));
  const slow = meter.measure(SLOW_WORKER, findTime(window, SLOWNESS_AT));
  return {
    deadEjectedBy: dead.count,
    deadEjectedP50Ms: dead.percentile(50),
    deadEjectedMaxMs: dead.percentile(100),
    slowEjectedBy: slow.count,
    slowEjectedP50Ms: slow.percentile(50),
    slowEjectedMaxMs: slow.percentile(100),
  };
};

/** Creates the case for a deployment. */
export const createFaultCase = (deployment: Deployment): BenchCase => ({
  variants: Object.values(Variant),
  run: async ({ variant, seed, seconds }) => {
    const meter = new EjectionMeter();
    let readSlowRequests = (): number => 0;
    const { fleet, player, window } = await runOnline({
      deployment,
      seed,
      seconds,
      shape: createSteadyShape(UTILIZATION),
      batchPolicy: CapacityPolicyName.Adaptive,
      createLog: (entryVmId) => meter.createLog(entryVmId),
      prepare: (prepared, preparedWindow) => {
        meter.now = () => prepared.timer.now();
        readSlowRequests = countSlowRequests(prepared, preparedWindow);
        if ((variant as Variant) === Variant.Faulty) scheduleFaults(prepared, preparedWindow);
      },
    });
    const resumed = fleet.engines.reduce((sum, engine) => sum + engine.resumedOnline, 0);
    const faults = { ...describeEjections(meter, window), slowRequests: readSlowRequests() };
    return { figures: { ...describeOnline(player.record), resumed, ...faults } };
  },
  summarize: (results) => {
    const common = { deployment: deployment.name, workers: deployment.workers };
    const healthy = results.get(Variant.Healthy)!;
    const faulty = results.get(Variant.Faulty)!;
    const divide = (key: string) =>
      computeSpread(faulty.map((run, index) => run[key]! / healthy[index]![key]!));
    const lines = [...results].map(([variant, runs]) => ({
      case: 'fault',
      fields: { ...common, variant, ...mergeFigures(runs) },
    }));
    const ratios = {
      firstTokenP99Ratio: divide('firstTokenP99Ms'),
      interTokenP99Ratio: divide('interTokenP99Ms'),
    };
    return [...lines, { case: 'fault-ratios', fields: { ...common, ...ratios } }];
  },
});
