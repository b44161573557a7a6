import { computeShard } from '@jujubelanding/random';
import { Reachability } from '@jujubelanding/stand-ins';
import test from 'ava';
import { cancelJob, submitLongJob } from './actions/batch.js';
import { StepKind } from './step.js';
import { SoakHarness } from './soak-harness.js';

/** Guards against items that start long after a cancel, because the owner can't learn of it. */
test('a cancel holds within 2 s although the owner is cut off from everyone who knows', async (t) => {
  const world = new SoakHarness({ seed: 1 });
  await world.start();
  submitLongJob(world, { kind: StepKind.SubmitJob, target: 0, amount: 0, waitMs: 0 });
  await world.fleet.advance(2000);
  const [job] = world.jobs.listAccepted();
  const canceller = world.listListeningNodes()[0]!;
  const owner = canceller.entryVm.components.shards.ownerOf(computeShard(job!.id!))!.entryVmId;
  t.not(owner, canceller.host.id);
  world.fleet.node(owner).store.faults.reachability = Reachability.Cut;
  world.fleet.links.cutBoth(owner, canceller.host.id);
  const cutAt = world.fleet.timer.now();
  cancelJob(world, { kind: StepKind.CancelJob, target: 0, amount: 0, waitMs: 0 });
  await world.fleet.advance(15_000);
  const acknowledgedAt = world.observer.cancelledAtByJob.get(job!.key);
  t.truthy(acknowledgedAt);
  t.true(acknowledgedAt! - cutAt <= 6000, `acknowledged after ${acknowledgedAt! - cutAt} ms`);
  t.deepEqual(world.violations.list, []);
});
