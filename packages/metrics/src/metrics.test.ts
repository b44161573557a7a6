import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import test from 'ava';
import { createStatsdMetrics } from './index.js';

test('a timing reaches the StatsD server with prefix, value and all tags', async (t) => {
  const server = createSocket('udp4');
  t.teardown(() => server.close());
  server.bind(0, '127.0.0.1');
  await once(server, 'listening');
  const received = once(server, 'message') as Promise<[Buffer]>;
  const metrics = createStatsdMetrics(`127.0.0.1:${server.address().port}`, { entryVm: 'e1' });
  metrics.timing('key_value.call', 1.5, { method: 'get', outcome: 'succeeded' });
  const [message] = await received;
  const [sample, tags] = message.toString().split('|#');
  t.is(sample, 'jujubelanding.key_value.call:1.5|ms');
  t.deepEqual(tags!.trim().split(',').toSorted(), [
    'entryVm:e1',
    'method:get',
    'outcome:succeeded',
  ]);
  await metrics.close();
});
