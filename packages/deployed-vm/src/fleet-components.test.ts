import test from 'ava';
import { silentLog } from '@jujubelanding/log';
import { silentMetrics } from '@jujubelanding/metrics';
import type { RequestLoss } from '@jujubelanding/prompt-quarantine';
import { VirtualTimer } from '@jujubelanding/timer';
import { createQuarantine } from './fleet-components.js';

// Guards against a crash that counts twice, or two that count once: the run was looked up at the loss, when
// the worker may be back under its id.
test('requests that were sent to one run of a worker are lost at one crash', async (t) => {
  const timer = new VirtualTimer();
  const announced: RequestLoss[] = [];
  const loads = {
    announceLosses: (lost: RequestLoss[]) => announced.push(...lost),
    onLosses: () => {},
    listServing: () => [],
  };
  const quarantine = createQuarantine(
    {
      timer,
      createLog: () => silentLog,
      metrics: silentMetrics,
      keys: { followedPrefix: 'q/' },
      settings: { entryVmId: 'a' },
    } as never,
    { lease: {}, loads } as never,
  );
  [1, 1, 2].forEach((startedAt, index) =>
    quarantine.recordLoss('w', [], `request-${index}`, startedAt),
  );
  await timer.advance(50);
  t.deepEqual(announced, [
    ['request-0', 'w@1'],
    ['request-1', 'w@1'],
    ['request-2', 'w@2'],
  ]);
});
