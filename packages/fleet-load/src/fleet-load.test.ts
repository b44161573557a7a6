import test from 'ava';
import { VirtualTimer } from '@jujubelanding/timer';
import { FleetLoad, type LoadMessage } from './index.js';

const setUp = (names: readonly string[]) => {
  const timer = new VirtualTimer();
  const sent: LoadMessage[] = [];
  const fleet = new Map<string, FleetLoad>();
  for (const entryVmId of names) {
    fleet.set(
      entryVmId,
      new FleetLoad({
        timer,
        entryVmId,
        bootId: `boot-${entryVmId}`,
        send: (message) => {
          sent.push(message);
          timer.after(1, () =>
            fleet.forEach((other, id) => {
              if (id !== entryVmId) other.receive(message);
            }),
          );
        },
        slotsOf: () => 8,
      }),
    );
  }
  return { timer, sent, fleet, get: (name: string): FleetLoad => fleet.get(name)! };
};

test('each VM counts the work of all VMs, so that a burst is spread over workers', async (t) => {
  const { timer, get } = setUp(['a', 'b', 'c']);
  get('a').beginRequest('w');
  get('b').beginRequest('w');
  get('c').beginBatch('w', 1000);
  await timer.advance(200);
  t.like(get('a').get('w'), { online: 2, batch: 1, slots: 8 });
  get('b').endRequest('w');
  await timer.advance(200);
  t.like(get('c').get('w'), { online: 1, batch: 1 });
});

test('changes in quick succession are sent in one message', async (t) => {
  const { timer, get, sent } = setUp(['a', 'b']);
  for (let index = 0; index < 100; index += 1) {
    get('a').beginRequest('w');
    await timer.advance(5);
  }
  t.true(sent.length <= 7, `${sent.length} messages in 500 ms`);
});

test('an online request on a worker full of batch items is sent at once', async (t) => {
  const { timer, get } = setUp(['a', 'b']);
  for (let index = 0; index < 7; index += 1) get('b').beginBatch('w', 1000);
  await timer.advance(300);
  get('a').beginRequest('w');
  await timer.advance(20);
  t.is(get('b').get('w').online, 1);
});

test('counts of a VM without messages are dropped, and an older message is ignored', async (t) => {
  const { timer, get, sent } = setUp(['a', 'b']);
  get('a').beginRequest('w');
  await timer.advance(200);
  t.is(get('b').get('w').online, 1);
  await timer.advance(2000);
  t.is(get('b').get('w').online, 0);
  get('b').receive(sent[0]!);
  t.is(get('b').get('w').online, 0);
});

test('all VMs know the due times of items in progress and waiting', async (t) => {
  const { timer, get } = setUp(['a', 'b']);
  get('a').beginBatch('w', 3000);
  get('a').beginBatch('w', 1000);
  get('a').endBatch('w', 3000);
  get('a').setWaiting([
    ['s', 2000, 3],
    ['s', 5000, 4],
    ['other', 1000, 9],
  ]);
  await timer.advance(200);
  t.deepEqual(get('b').listBatch('w'), [
    { entryVmId: 'a', due: [1000] },
    { entryVmId: 'b', due: [] },
  ]);
  t.is(get('b').countWaitingBefore('s', 4000), 3);
  t.is(get('b').countWaitingBefore('s', 2000), 0);
  t.is(get('a').countWaitingBefore('s', 4000), 0);
});
