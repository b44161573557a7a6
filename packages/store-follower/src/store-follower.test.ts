import test from 'ava';
import { silentLog } from '@jujubelanding/log';
import { createRandom } from '@jujubelanding/random';
import { ChangeKind } from '@jujubelanding/platform';
import { KeyValueService, Reachability } from '@jujubelanding/stand-ins';
import { VirtualTimer } from '@jujubelanding/timer';
import { ok } from 'neverthrow';
import { StoreFollower, type FollowedChange } from './index.js';

const setUp = () => {
  const timer = new VirtualTimer();
  const service = new KeyValueService({ timer, random: createRandom(1) });
  const store = service.createClient('follower');
  const seen: string[] = [];
  const contacts: boolean[] = [];
  const follower = new StoreFollower({
    store,
    timer,
    log: silentLog,
    prefix: 'p/',
    watchMs: 1000,
    pauseMs: 0,
    onChanges: (changes: FollowedChange[]) => {
      changes.forEach(({ kind, entry }) => seen.push(`${kind} ${entry.key} ${entry.value}`));
    },
    onContact: (isReachable) => contacts.push(isReachable),
  });
  const put = (key: string, value: string): void => {
    service.state.commit({ conditions: [], writes: [{ key, value }], removals: [] });
  };
  const remove = (key: string): void => {
    service.state.commit({ conditions: [], writes: [], removals: [key] });
  };
  return { timer, service, store, follower, seen, contacts, put, remove };
};

test('after the store compacted its history, keys are listed again and missed deletions are reported', async (t) => {
  const { timer, service, store, follower, seen, put, remove } = setUp();
  put('p/a', '1');
  put('p/b', '1');
  follower.start();
  await timer.advance(50);
  store.faults.reachability = Reachability.Cut;
  await timer.advance(100);
  remove('p/a');
  put('p/c', '1');
  service.state.compact();
  await timer.advance(5000);
  store.faults.reachability = Reachability.Up;
  await timer.advance(5000);
  t.deepEqual([...follower.entries.keys()].toSorted(), ['p/b', 'p/c']);
  t.snapshot(seen);
  follower.stop();
});

test('a change of reachability is reported once when the store is lost and once when it is back', async (t) => {
  const { timer, store, follower, contacts } = setUp();
  follower.start();
  await timer.advance(50);
  store.faults.reachability = Reachability.Refusing;
  await timer.advance(4000);
  store.faults.reachability = Reachability.Up;
  await timer.advance(4000);
  t.deepEqual(contacts, [false, true]);
  follower.stop();
});

test('an entry never returns to an older revision, in whatever order changes arrive', async (t) => {
  const { timer, follower, put, seen } = setUp();
  put('p/a', '1');
  follower.start();
  await timer.advance(50);
  const kind = 'put' as FollowedChange['kind'];
  follower.apply([{ kind, entry: { key: 'p/a', value: '9', modRevision: 9 } }]);
  follower.apply([{ kind, entry: { key: 'p/a', value: '5', modRevision: 5 } }]);
  t.is(follower.entries.get('p/a')?.value, '9');
  t.is(seen.length, 2);
  follower.stop();
});

// Entries of workers that expire in an outage are back shortly after it, and until then the workers stay
// in use; a VM that reads a copy must learn that its host had an outage before it learns of deletions.
test('an outage of the VM whose copy is read is reported before the changes that follow it', async (t) => {
  const timer = new VirtualTimer();
  const events: string[] = [];
  const entry = { key: 'p/a', value: '1', modRevision: 1 };
  const deletion = { kind: ChangeKind.Delete, entry: { ...entry, value: '', modRevision: 2 } };
  let watches = 0;
  const follower = new StoreFollower({
    store: {
      list: async () => ok({ entries: [entry], revision: 1, source: { ageMs: 10 } }),
      watch: async () => {
        await timer.sleep(400);
        watches += 1;
        const isAfterOutage = watches > 2;
        return ok({
          changes: isAfterOutage ? [deletion] : [],
          revision: 2,
          compacted: false,
          source: { ageMs: 0, ...(isAfterOutage ? { regainedMs: 50 + 400 * (watches - 3) } : {}) },
        });
      },
    },
    timer,
    log: silentLog,
    prefix: 'p/',
    watchMs: 1000,
    pauseMs: 0,
    onChanges: (changes) => changes.forEach(({ kind }) => events.push(kind)),
    onContact: (isReachable) => events.push(isReachable ? 'reachable' : 'unreachable'),
  });
  follower.start();
  await timer.advance(3000);
  follower.stop();
  t.deepEqual(events, [ChangeKind.Put, 'unreachable', 'reachable', ChangeKind.Delete]);
});

// An exception ended the follower with an unhandled rejection, and with it the process.
test('a change whose handler throws is skipped with a log line, and later ones are followed', async (t) => {
  const timer = new VirtualTimer();
  const service = new KeyValueService({ timer, random: createRandom(1) });
  const lines: string[] = [];
  const seen: string[] = [];
  const follower = new StoreFollower({
    store: service.createClient('follower'),
    timer,
    log: { write: (event, fields) => lines.push(`${event} ${String(fields?.keys)}`) },
    prefix: 'p/',
    watchMs: 1000,
    pauseMs: 0,
    onChanges: (changes) => {
      if (changes.some(({ entry }) => entry.value === 'odd')) throw new Error('unexpected value');
      seen.push(...changes.map(({ entry }) => entry.key));
    },
  });
  const put = (key: string, value: string): void => {
    service.state.commit({ conditions: [], writes: [{ key, value }], removals: [] });
  };
  put('p/a', 'odd');
  follower.start();
  await timer.advance(50);
  put('p/b', 'odd');
  await timer.advance(50);
  put('p/c', 'even');
  await timer.advance(50);
  follower.stop();
  t.deepEqual(seen, ['p/c']);
  t.deepEqual(lines, ['changes-not-handled p/a', 'changes-not-handled p/b']);
});
