import test from 'ava';
import { WorkerCrashes } from './index.js';

test('losses at one worker within a second are of one crash, later ones of another', (t) => {
  const crashes = new WorkerCrashes();
  t.is(crashes.identify('w', 1000, 1000), 'w@1000');
  t.is(crashes.identify('w', 1900, 1900), 'w@1000');
  t.is(crashes.identify('v', 1900, 1900), 'v@1900');
  t.is(crashes.identify('w', 4000, 4000), 'w@4000');
});

// Clocks of VMs start at different times; without a translation, one crash would count for each VM.
test('crashes in the report of a VM with another clock get the ids of this VM', (t) => {
  const crashes = new WorkerCrashes();
  crashes.identify('w', 1000, 1000);
  const report = JSON.stringify({
    crashes: [['w@500030', [['part', 'request']]]],
    answers: [['part', ['w@500030', 'v@501000']]],
  });
  t.deepEqual(JSON.parse(crashes.translate(report, -499_000, 3000)), {
    crashes: [['w@1000', [['part', 'request']]]],
    answers: [['part', ['w@1000', 'v@2000']]],
  });
  t.is(crashes.translate('not JSON', 0, 3000), 'not JSON');
});
