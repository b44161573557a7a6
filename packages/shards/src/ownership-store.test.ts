import type { KeyValueStore } from '@jujubelanding/platform';
import { createRandom } from '@jujubelanding/random';
import { KeyValueService } from '@jujubelanding/stand-ins';
import { VirtualTimer } from '@jujubelanding/timer';
import test from 'ava';
import type { Result } from 'neverthrow';
import { OwnershipStore } from './ownership-store.js';

const expectValue = <T>(result: Result<T, unknown>): T => {
  if (result.isErr()) throw new Error(JSON.stringify(result.error));
  return result.value;
};

const setUp = () => {
  const timer = new VirtualTimer();
  const service = new KeyValueService({ timer, random: createRandom(1) });
  const random = createRandom(2);
  let advancing: Promise<void> | undefined;
  /** Advances time; concurrent calls share one advance. */
  const advance = (): Promise<void> => {
    advancing ??= timer.advance(10).finally(() => {
      advancing = undefined;
    });
    return advancing;
  };
  /** Awaits a call while advancing time. */
  const run = async <T>(call: Promise<Result<T, unknown>>): Promise<T> => {
    let isDone = false;
    void call.finally(() => {
      isDone = true;
    });
    while (!isDone) await advance();
    return expectValue(await call);
  };
  const createStore = (store: KeyValueStore) => new OwnershipStore(store, () => random.createId());
  return { timer, service, run, createStore };
};

const createCandidate = (entryVmId: string, leaseId: string) => ({
  entryVmId,
  bootId: `${entryVmId}-1`,
  leaseId,
});

test('a candidate paused before it creates the key gives up if another VM owned the shard meanwhile', async (t) => {
  const { timer, service, run, createStore } = setUp();
  const client = service.createClient('a');
  let beforeCreate: () => Promise<void> = () => Promise.resolve();
  const paused: KeyValueStore = {
    ...client,
    write: async (write) => {
      if (write.key === 'shards/7') await beforeCreate();
      return client.write(write);
    },
  };
  const leaseA = await run(client.grantLease(60_000));
  const leaseB = await run(client.grantLease(60_000));
  const other = createStore(service.createClient('b'));
  let otherFence = 0;
  beforeCreate = async () => {
    const acquired = expectValue(await other.acquire(7, createCandidate('b', leaseB.leaseId)));
    otherFence = acquired!.fence;
    await client.revokeLease(leaseB.leaseId);
  };
  const store = createStore(paused);
  t.is(await run(store.acquire(7, createCandidate('a', leaseA.leaseId))), undefined);
  await timer.advance(10);
  t.false((await run(store.listOwners())).has(7));
  beforeCreate = () => Promise.resolve();
  const again = await run(store.acquire(7, createCandidate('a', leaseA.leaseId)));
  t.true(again!.fence > otherFence);
});

test('of two candidates that race for a shard at most one acquires it', async (t) => {
  const { service, run, createStore } = setUp();
  service.faults.latency = { floorMs: 1, meanExtraMs: 5 };
  const client = service.createClient('a');
  for (let shard = 0; shard < 40; shard += 1) {
    const leases = [await run(client.grantLease(60_000)), await run(client.grantLease(60_000))];
    const stores = leases.map((_, index) => createStore(service.createClient(`vm-${index}`)));
    const acquired = await Promise.all(
      stores.map((store, index) =>
        run(store.acquire(shard, createCandidate(`vm-${index}`, leases[index]!.leaseId))),
      ),
    );
    t.true(acquired.filter((ownership) => ownership !== undefined).length <= 1);
  }
});
