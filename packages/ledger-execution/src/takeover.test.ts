import test from 'ava';
import { mayTakeOver } from './takeover.js';

test('VMs may take an orphaned job one after another; a VM that still executes the job may do so at once', (t) => {
  const vms = ['a', 'b', 'c', 'd'];
  const decide = (orphanedMs: number): string[] =>
    vms.filter((vm) =>
      mayTakeOver(
        { jobId: 'job', isExecutedHere: false, orphanedMs },
        vm,
        vms.filter((id) => id !== vm),
      ),
    );
  t.deepEqual(decide(0), []);
  t.is(decide(300).length, 1);
  t.is(decide(700).length, 2);
  t.is(decide(2000).length, 4);
  t.true(mayTakeOver({ jobId: 'job', isExecutedHere: true, orphanedMs: 0 }, 'a', ['b']));
});
