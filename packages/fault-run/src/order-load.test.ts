import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Program } from '@jujubelanding/quickstart';
import test from 'ava';
import { EntryPointList } from './entry-point-list.js';
import { OrderLoad } from './index.js';

const createLoad = (entryVms: readonly Program[] = []): OrderLoad =>
  new OrderLoad(new EntryPointList(() => entryVms), 'key');

test('orders that ran twice, ran although refused, or were answered without a run are each reported', (t) => {
  const load = createLoad();
  load.refused.add('b').add('c');
  load.answered.add('a').add('d');
  const executions = new Map([
    ['a', 2],
    ['b', 1],
  ]);
  t.deepEqual(load.check(executions), [
    'a ran 2 times',
    'b ran although every attempt was refused as not-run',
    'd was answered but did not run',
  ]);
});

test('an order that got the answer of another one is reported', async (t) => {
  const server = createServer((_, response) => response.end('order-0'));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => server.closeAllConnections());
  t.teardown(() => server.close());
  const callerAddress = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const entryVm = { name: 'e', isListening: true, listening: { callerAddress } };
  const load = createLoad([entryVm as unknown as Program]);
  const stop = load.start();
  await stop();
  t.true(load.problems.includes('order-1 got the answer order-0'));
});
