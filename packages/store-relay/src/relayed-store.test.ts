import test from 'ava';
import { silentLog } from '@jujubelanding/log';
import { CommitStatus } from '@jujubelanding/platform';
import { createRandom } from '@jujubelanding/random';
import { KeyValueService, Reachability } from '@jujubelanding/stand-ins';
import { VirtualTimer } from '@jujubelanding/timer';
import { RelayedStore } from './index.js';

const setUp = () => {
  const timer = new VirtualTimer();
  const service = new KeyValueService({ timer, random: createRandom(1), timeoutMs: 700 });
  const direct = service.createClient('own');
  const peer = service.createClient('peer');
  const store = new RelayedStore({
    direct,
    relay: () => peer,
    listPeers: () => ['peer'],
    timer,
    random: createRandom(1),
    log: silentLog,
  });
  const run = async <T>(call: Promise<T>, durationMs = 800): Promise<T> => {
    await timer.advance(durationMs);
    return call;
  };
  return { timer, service, direct, peer, store, run };
};

const transaction = { conditions: [], writes: [{ key: 'a', value: '1' }], removals: [] };

test('a VM without a connection to the store uses a peer', async (t) => {
  const { direct, store, run } = setUp();
  direct.faults.reachability = Reachability.Cut;
  t.true((await run(store.get('a'))).isErr());
  await run(store.get('a'));
  t.false(store.isDirect);
  const committed = await run(store.commit(transaction), 50);
  t.is(committed.isOk() ? committed.value.status : committed.error.code, CommitStatus.Committed);
});

test('an unhealthy direct path is tried again, and used as soon as it works', async (t) => {
  const { direct, store, run, timer } = setUp();
  direct.faults.reachability = Reachability.Refusing;
  await run(store.get('a'), 10);
  await run(store.get('a'), 10);
  t.false(store.isDirect);
  direct.faults.reachability = Reachability.Up;
  await timer.advance(1000);
  t.true((await run(store.get('a'), 10)).isOk());
  t.true(store.isDirect);
});

test('a commit that may have taken effect is not sent again through a peer', async (t) => {
  const { service, direct, store, run } = setUp();
  direct.faults.lostReplyChance = 1;
  await run(store.get('a'));
  await run(store.commit(transaction));
  t.is(service.readCounters().commit, 1);
});

// With a flapping direct path, each failed retry of the path was reported as a loss of the store.
test('a read that fails on an unhealthy direct path is sent through a peer in the same call', async (t) => {
  const { direct, store, run, timer } = setUp();
  direct.faults.lostReplyChance = 1;
  await run(store.get('a'));
  t.true((await run(store.get('a'))).isOk());
  await timer.advance(1000);
  t.true((await run(store.list('a'), 1500)).isOk());
  t.false(store.isDirect);
});
