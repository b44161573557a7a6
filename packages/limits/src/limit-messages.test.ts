import test from 'ava';
import { splitUsages } from './index.js';

// Guards against a team with a long name whose entry makes a datagram too large, or is omitted because
// it fits into no datagram.
test('usage entries are split in order, and none is left out', (t) => {
  const usages = Array.from({ length: 50 }, (_, index) => ({
    team: `team-${index}-${'x'.repeat(index % 10 === 0 ? 1500 : 40)}`,
  }));
  const batches = splitUsages(usages, 'entry-vm-0001', 'aaaaaaaaaaaaaaa1');
  t.deepEqual(batches.flat(), usages);
  for (const batch of batches) {
    const bytes = batch.reduce((sum, { team }) => sum + Buffer.byteLength(team) + 39, 0);
    t.true(batch.length === 1 || bytes <= 1000, `${bytes}`);
  }
  t.true(batches.length < 15);
});
