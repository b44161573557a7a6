/** Measures the cost of shard ownership per VM by the number of members. */
import type { EntryVmIo } from '@jujubelanding/interfaces';
import { silentLog } from '@jujubelanding/log';
import { silentMetrics } from '@jujubelanding/metrics';
import { createRandom } from '@jujubelanding/random';
import { ShardsController } from '@jujubelanding/shards';
import { KeyValueService } from '@jujubelanding/stand-ins';
import { VirtualTimer } from '@jujubelanding/timer';
import { createMember, createMembers, createMembership } from '../static-state.js';
import { measureOnceMs } from '../processor-time.js';
import {
  createSeries,
  Kind,
  measureEach,
  pickPoints,
  type MeasurementOptions,
  type Series,
} from '../series.js';

const MEMBER_COUNTS = [8, 32, 128, 410];
const WARM_UP_MS = 10_000;
const MEASURED_MS = 120_000;

/** Measures one running VM; shards that it does not own belong to VMs that do not run. */
const measurePeriodicWork = async (count: number, seed: number): Promise<number> => {
  const timer = new VirtualTimer();
  const random = createRandom(seed);
  const keyValue = new KeyValueService({ timer, random });
  const members = createMembers(count);
  const self = members[0] ?? createMember(0);
  const io = {
    timer,
    random,
    store: keyValue.createClient('vm') as EntryVmIo['store'],
    createLog: () => silentLog,
    metrics: silentMetrics,
  };
  const membership = createMembership(self, members);
  const controller = new ShardsController({ io, settings: self, membership });
  controller.start();
  await timer.advance(WARM_UP_MS);
  const elapsedMs = await measureOnceMs(() => timer.advance(MEASURED_MS));
  void controller.stop();
  return (elapsedMs / MEASURED_MS) * 100;
};

/** Measures the periodic work of the shards controller. */
export const measureShards = async ({ seed }: MeasurementOptions): Promise<Series[]> => {
  const results = await measureEach(MEMBER_COUNTS, (count) => measurePeriodicWork(count, seed));
  return [
    createSeries(
      {
        id: 'shards.processor',
        title: 'Shards: plan and lease',
        kind: Kind.Processor,
        size: 'members',
        unit: '% of a core',
        source: 'shards/src/shards-controller.ts, plan.ts, ranking.ts',
      },
      pickPoints(results, (value) => value),
    ),
  ];
};
