import { createRandom } from '@jujubelanding/random';
import test from 'ava';
import { MAX_DATAGRAM_BYTES } from '../wire-format.js';
import { createGrantRequestLoad, createDesignLoad, measureHolder } from './limits.js';

// Guards against datagrams that are fragmented because they list too many teams, and against sending
// one message per team.
test('limit messages list many teams, within the size of a datagram', async (t) => {
  const usage = await measureHolder(createGrantRequestLoad(300), createRandom(1));
  t.true(usage.largestDatagram > 400);
  t.true(usage.largestDatagram <= MAX_DATAGRAM_BYTES);
  t.is(usage.oversizedCount, 0);
});

// Guards against costs that grow with the number of active teams, because VMs request grants also for
// teams that use little of their limits.
test('teams far below their limits cost nothing, and tight limits stay within a bound', async (t) => {
  const ample = await measureHolder(createDesignLoad(8, 100), createRandom(1));
  t.is(ample.datagrams, 0);
  const tight = await measureHolder(createDesignLoad(8, 2), createRandom(1));
  t.true(tight.bytes < 4500, `${tight.bytes}`);
});
