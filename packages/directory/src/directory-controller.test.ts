import { FaultCode, Outcome } from '@jujubelanding/errors';
import { silentLog } from '@jujubelanding/log';
import { silentMetrics } from '@jujubelanding/metrics';
import type { VmList } from '@jujubelanding/platform';
import { type Vm, VmRole, VmState } from '@jujubelanding/types';
import test from 'ava';
import { err, ok } from 'neverthrow';
import { SkippingTimer } from './fixtures/skipping-timer.js';
import { DirectoryController } from './index.js';

class FakeVmList implements VmList {
  vms: Vm[] = [];

  version = 1;

  isDown = false;

  requestedTags: (string | undefined)[] = [];

  read: VmList['read'] = (knownTag) => {
    this.requestedTags.push(knownTag);
    const tag = `v${this.version}`;
    if (this.isDown) {
      const fault = { code: FaultCode.Unavailable, outcome: Outcome.NotRun, step: 'read' };
      return Promise.resolve(err({ ...fault, message: 'the VM list is down' }));
    }
    return Promise.resolve(ok(tag === knownTag ? { tag } : { tag, vms: this.vms }));
  };
}

const createWorker = (id: string, state = VmState.Live): Vm => ({
  id,
  role: VmRole.BackendServer,
  state,
  availabilityZone: 'zone-a',
  address: `${id}:9000`,
  service: 'glass-advisor',
});

const setUp = (vms: Vm[]) => {
  const timer = new SkippingTimer();
  const vmList = new FakeVmList();
  vmList.vms = vms;
  const io = { timer, vmList, createLog: () => silentLog, metrics: silentMetrics };
  const directory = new DirectoryController({ io });
  directory.start();
  return { timer, vmList, directory };
};

test('a leaving worker gets no new work within 500 ms but is still found', async (t) => {
  const { timer, vmList, directory } = setUp([createWorker('w1'), createWorker('w2')]);
  await timer.advance(1);
  t.is(directory.workersOf('glass-advisor').length, 2);
  vmList.vms = [createWorker('w1'), createWorker('w2', VmState.Leaving)];
  vmList.version += 1;
  await timer.advance(500);
  t.deepEqual(
    directory.workersOf('glass-advisor').map(({ id }) => id),
    ['w1'],
  );
  t.is(directory.find('w2')?.state, VmState.Leaving);
});

test('during an outage of the VM list the last content stays in use', async (t) => {
  const { timer, vmList, directory } = setUp([createWorker('w1')]);
  await timer.advance(1);
  vmList.isDown = true;
  vmList.vms = [];
  vmList.version += 1;
  await timer.advance(60_000);
  t.is(directory.all().length, 1);
  vmList.isDown = false;
  await timer.advance(500);
  t.is(directory.all().length, 0);
});

test('an unchanged tag causes no change notification', async (t) => {
  const { timer, vmList, directory } = setUp([createWorker('w1')]);
  let changes = 0;
  directory.onChange(() => {
    changes += 1;
  });
  await timer.advance(5000);
  t.is(changes, 1);
  t.is(vmList.requestedTags.filter((tag) => tag === undefined).length, 1);
  directory.stop();
  const readsAtStop = vmList.requestedTags.length;
  await timer.advance(5000);
  t.is(vmList.requestedTags.length, readsAtStop);
});

test('a process that was paused offers no workers before it has read the list again', async (t) => {
  const { timer, vmList, directory } = setUp([createWorker('w1')]);
  await timer.advance(600);
  vmList.vms = [createWorker('w1', VmState.Leaving)];
  vmList.version += 1;
  timer.skip(6000);
  t.deepEqual(directory.workersOf('glass-advisor'), []);
  t.is(directory.find('w1')?.state, VmState.Leaving);
  vmList.vms = [createWorker('w1')];
  vmList.version += 1;
  await timer.advance(500);
  t.is(directory.workersOf('glass-advisor').length, 1);
});

test('after a pause during an outage of the VM list, the last content is used again', async (t) => {
  const { timer, vmList, directory } = setUp([createWorker('w1')]);
  await timer.advance(600);
  vmList.isDown = true;
  timer.skip(6000);
  t.deepEqual(directory.workersOf('glass-advisor'), []);
  await timer.advance(1);
  t.is(directory.workersOf('glass-advisor').length, 1);
});
