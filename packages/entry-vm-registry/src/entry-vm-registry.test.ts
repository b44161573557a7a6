import test from 'ava';
import { silentLog } from '@jujubelanding/log';
import { createRandom } from '@jujubelanding/random';
import { ChangeKind } from '@jujubelanding/platform';
import { KeyValueService } from '@jujubelanding/stand-ins';
import { VirtualTimer } from '@jujubelanding/timer';
import { decodeRegistration, EntryVmRegistry, LeaseKeeper } from './index.js';

const PREFIX = 'jj/vm/';

const setUp = () => {
  const timer = new VirtualTimer();
  const service = new KeyValueService({ timer, random: createRandom(1), timeoutMs: 700 });
  const store = service.createClient('vm-1');
  const created: { registry?: EntryVmRegistry } = {};
  const lease = new LeaseKeeper({
    store,
    timer,
    log: silentLog,
    onLease: () => {
      void created.registry?.register();
    },
  });
  const registry = new EntryVmRegistry({
    store,
    timer,
    log: silentLog,
    lease: () => lease,
    liveness: () => ({ listServing: () => [], hasLeft: () => false }),
    prefix: PREFIX,
    self: {
      entryVmId: 'vm-1',
      bootId: 'boot-1',
      availabilityZone: 'z',
      capacity: 1,
      callerAddress: '10.0.0.1:1',
      peerAddress: '10.0.0.1:2',
    },
  });
  created.registry = registry;
  const isRegistered = (): boolean => service.state.get(`${PREFIX}vm-1`) !== undefined;
  return { timer, service, store, lease, registry, isRegistered };
};

// The registration under the ended lease was still being written, so that under the new one was skipped.
test('a lease that is replaced during a registration does not leave the VM unregistered', async (t) => {
  const { timer, service, store, lease, isRegistered } = setUp();
  const { commit } = store;
  let commits = 0;
  store.commit = async (transaction) => {
    commits += 1;
    const reply = commit(transaction);
    if (commits === 1) await timer.sleep(500);
    return reply;
  };
  lease.start();
  await timer.advance(100);
  const first = lease.current!;
  service.state.endLease(first);
  lease.replace(first);
  await timer.advance(1000);
  t.not(lease.current, first);
  t.true(isRegistered());
});

test('a VM whose key has disappeared registers again', async (t) => {
  const { timer, service, lease, registry, isRegistered } = setUp();
  lease.start();
  registry.start();
  await timer.advance(50);
  t.true(isRegistered());
  service.state.commit({ conditions: [], writes: [], removals: [`${PREFIX}vm-1`] });
  t.false(isRegistered());
  await timer.advance(3000);
  t.true(isRegistered(), 'although no watch reported the deletion');
});

test('a VM that was replaced is forgotten after a minute, and one that is alive is not', async (t) => {
  const { timer, registry } = setUp();
  const listPeers = (): string[] => registry.peers().map(({ entryVmId }) => entryVmId);
  const entryOf = (entryVmId: string, value: string, modRevision: number) => ({
    key: `${PREFIX}${entryVmId}`,
    value,
    modRevision,
  });
  const addresses = { callerAddress: '10.0.0.2:1', peerAddress: '10.0.0.2:2' };
  for (const entryVmId of ['vm-2', 'vm-3']) {
    const value = JSON.stringify({ entryVmId, bootId: 'b', availabilityZone: 'z', ...addresses });
    registry.apply({ kind: ChangeKind.Put, entry: entryOf(entryVmId, value, 1) });
  }
  registry.start();
  registry.apply({ kind: ChangeKind.Delete, entry: entryOf('vm-2', '', 2) });
  await timer.advance(59_000);
  t.deepEqual(listPeers(), ['vm-2', 'vm-3']);
  await timer.advance(10_000);
  t.deepEqual(listPeers(), ['vm-3']);
  registry.stop();
});

// Guards against VMs that start while others are being stopped: without a registration they could not
// exchange messages with these, so that callers were not sent to the VMs that had just started.
test('a VM that is being stopped stays registered, but is not listed for callers', async (t) => {
  const { timer, service, lease, registry } = setUp();
  lease.start();
  await timer.advance(50);
  registry.leave();
  await Promise.all([lease.release(), timer.advance(50)]);
  const { value } = service.state.get(`${PREFIX}vm-1`)!;
  t.like(decodeRegistration(value), { entryVmId: 'vm-1', isLeaving: true });
  t.is(lease.owning, undefined);
  t.deepEqual(registry.listServing(), []);

  const entry = { key: `${PREFIX}vm-9`, value: value.replaceAll('vm-1', 'vm-9'), modRevision: 1 };
  registry.apply({ kind: ChangeKind.Put, entry });
  t.deepEqual(registry.listServing(), []);
  t.is(registry.find('vm-9')?.peerAddress, '10.0.0.1:2');
});
