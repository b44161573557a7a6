/** One worker crashes and another becomes slow during a run. */
import { CapacityPolicyName } from '@jujubelanding/batch-capacity';
import type { Log } from '@jujubelanding/log';
import type { BenchFleet } from '../bench-fleet.js';
import type { Deployment } from '../deployments.js';
import { createSteadyShape } from '../online-load.js';
import { mergeFigures, type Figures } from '../report.js';
import { computeSpread, Samples } from '../statistics.js';
import type { MeasurementWindow } from '../measurement-window.js';
import type { BenchCase } from './bench-case.js';
import { computeOnlineFigures } from './online-figures.js';
import { runOnline } from './online-run.js';

/** Low enough for the other workers to take over the load of two. */
const UTILIZATION = 0.45;

const CRASHED_WORKER = 0;
const SLOW_WORKER = 1;

/** Share of the measured time after which each fault begins. */
const CRASH_AT_SHARE = 0.3;
const SLOWDOWN_AT_SHARE = 0.5;

/** Factor by which the decode steps and the prefill of the slow worker take longer. */
const SLOWDOWN_FACTOR = 5;

enum Variant {
  Healthy = 'healthy',
  Faulty = 'faulty',
}

/** Records from the log events when entry VMs eject workers. */
class EjectionMeter {
  private readonly ejections: { entryVmId: string; worker: string; at: number }[] = [];

  /** Reads the virtual time; set as soon as the fleet exists. */
  now: () => number = () => 0;

  createLog(entryVmId: string): (part: string) => Log {
    return () => ({
      write: (event, fields) => {
        if (event !== 'eject') return;
        this.ejections.push({ entryVmId, worker: String(fields?.worker), at: this.now() });
      },
    });
  }

  /** Times from the fault to the first ejection of the worker by each entry VM that ejects it. */
  measureDelays(worker: number, faultAt: number): Samples {
    const samples = new Samples();
    const counted = new Set<string>();
    for (const { entryVmId, worker: workerId, at } of this.ejections) {
      if (workerId !== `worker-${worker}` || at < faultAt || counted.has(entryVmId)) continue;
      counted.add(entryVmId);
      samples.add(at - faultAt);
    }
    return samples;
  }
}

const computeTimeAt = ({ from, to }: MeasurementWindow, share: number): number =>
  from + share * (to - from);

const slowDownWorker = (fleet: BenchFleet): void => {
  const { settings } = fleet.engines[SLOW_WORKER]!;
  settings.stepBaseMs *= SLOWDOWN_FACTOR;
  settings.stepPerStreamMs *= SLOWDOWN_FACTOR;
  settings.prefillMsPerToken *= SLOWDOWN_FACTOR;
};

const scheduleFaults = (fleet: BenchFleet, window: MeasurementWindow): void => {
  fleet.timer.after(computeTimeAt(window, CRASH_AT_SHARE), () =>
    fleet.engines[CRASHED_WORKER]!.crash(),
  );
  fleet.timer.after(computeTimeAt(window, SLOWDOWN_AT_SHARE), () => slowDownWorker(fleet));
};

/**
 * Returns a function that counts the online attempts at the slow worker since the time of the
 * slowdown.
 */
const createSlowRequestCounter = (fleet: BenchFleet, window: MeasurementWindow): (() => number) => {
  const engine = fleet.engines[SLOW_WORKER]!;
  let before = 0;
  fleet.timer.after(computeTimeAt(window, SLOWDOWN_AT_SHARE), () => {
    before = engine.onlineAttempts;
  });
  return () => engine.onlineAttempts - before;
};

const computeEjectionFigures = (meter: EjectionMeter, window: MeasurementWindow): Figures => {
  const crashed = meter.measureDelays(CRASHED_WORKER, computeTimeAt(window, CRASH_AT_SHARE));
  const slow = meter.measureDelays(SLOW_WORKER, computeTimeAt(window, SLOWDOWN_AT_SHARE));
  return {
    deadEjectedBy: crashed.count,
    deadEjectedP50Ms: crashed.percentile(50),
    deadEjectedMaxMs: crashed.percentile(100),
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
    const { fleet, driver, window } = await runOnline({
      deployment,
      seed,
      seconds,
      shape: createSteadyShape(UTILIZATION),
      batchPolicy: CapacityPolicyName.Adaptive,
      createLog: (entryVmId) => meter.createLog(entryVmId),
      prepare: (preparedFleet, preparedWindow) => {
        meter.now = () => preparedFleet.timer.now();
        readSlowRequests = createSlowRequestCounter(preparedFleet, preparedWindow);
        if ((variant as Variant) === Variant.Faulty) scheduleFaults(preparedFleet, preparedWindow);
      },
    });
    const resumed = fleet.engines.reduce((sum, engine) => sum + engine.resumedOnline, 0);
    const faults = { ...computeEjectionFigures(meter, window), slowRequests: readSlowRequests() };
    return { figures: { ...computeOnlineFigures(driver.measurements), resumed, ...faults } };
  },
  summarize: (results) => {
    const common = { deployment: deployment.name, workers: deployment.workers };
    const healthy = results.get(Variant.Healthy)!;
    const faulty = results.get(Variant.Faulty)!;
    const computeRatio = (key: string) =>
      computeSpread(faulty.map((run, index) => run[key]! / healthy[index]![key]!));
    const lines = [...results].map(([variant, runs]) => ({
      case: 'fault',
      fields: { ...common, variant, ...mergeFigures(runs) },
    }));
    const ratios = {
      firstTokenP99Ratio: computeRatio('firstTokenP99Ms'),
      interTokenP99Ratio: computeRatio('interTokenP99Ms'),
    };
    return [...lines, { case: 'fault-ratios', fields: { ...common, ...ratios } }];
  },
});
