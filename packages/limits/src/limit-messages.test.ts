import test from 'ava';
import { splitUsages } from './index.js';

// Guards against a team with a long name that would make a datagram too large, or be left out.
test('uses are divided in order, and none is left out', (t) => {
  const uses = Array.from({ length: 50 }, (_, index) => ({
    team: `team-${index}-${'x'.repeat(index % 10 === 0 ? 1500 : 40)}`,
  }));
  const parts = splitUsages(uses, 'entry-vm-0001', 'aaaaaaaaaaaaaaa1');
  t.deepEqual(parts.flat(), uses);
  for (const part of parts) {
    const bytes = part.reduce((sum, { team }) => sum + Buffer.byteLength(team) + 39, 0);
    t.true(part.length === 1 || bytes <= 1000, `${bytes}`);
  }
  t.true(parts.length < 15);
});
