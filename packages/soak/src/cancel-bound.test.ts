import { computeShard } from '@jujubelanding/random';
import { Reachability } from '@jujubelanding/stand-ins';
import test from 'ava';
import { cancelJob, submitLongJob } from './actions/batch.js';
import { StepKind } from './step.js';
import { SoakHarness } from './soak-harness.js';

/**
 * Guards against batch items that start long after their job's cancel was acknowledged. The owner of
 * the job is cut off from the key-value service and from the entry VM that takes the cancel, so it
 * can't learn of the cancel.
 */
test('a cancel takes effect within 2 s although the owner of the job cannot learn of it', async (t) => {
  const harness = new SoakHarness({ seed: 1 });
  await harness.start();
  submitLongJob(harness, { kind: StepKind.SubmitJob, target: 0, amount: 0, waitMs: 0 });
  await harness.fleet.advance(2000);
  const [job] = harness.jobs.listAccepted();
  const canceller = harness.listListeningNodes()[0]!;
  const owner = canceller.entryVm.components.shards.ownerOf(computeShard(job!.id!))!.entryVmId;
  t.not(owner, canceller.host.id);
  harness.fleet.node(owner).store.faults.reachability = Reachability.Cut;
  harness.fleet.links.cutBoth(owner, canceller.host.id);
  const cutAt = harness.fleet.timer.now();
  cancelJob(harness, { kind: StepKind.CancelJob, target: 0, amount: 0, waitMs: 0 });
  await harness.fleet.advance(15_000);
  const acknowledgedAt = harness.observer.cancelledAtByJob.get(job!.key);
  t.truthy(acknowledgedAt);
  t.true(acknowledgedAt! - cutAt <= 6000, `acknowledged after ${acknowledgedAt! - cutAt} ms`);
  t.deepEqual(harness.violations.list, []);
});
