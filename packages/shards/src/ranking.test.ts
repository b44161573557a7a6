import test from 'ava';
import { SHARD_COUNT } from '@jujubelanding/types';
import { Ranking } from './ranking.js';

// Guards against a VM that ends with an exception because no VM is live when it first ranks them, as while
// all VMs are stopped.
test('without a live member each shard has an empty ranking', (t) => {
  const ranks = new Ranking().rank([]);
  t.deepEqual(
    ranks,
    Array.from({ length: SHARD_COUNT }, () => []),
  );
});
