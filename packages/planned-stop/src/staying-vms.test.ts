import test from 'ava';
import { selectStaying } from './index.js';

const select = (servingVms: number, since: readonly number[]): string[] =>
  selectStaying({
    now: 6000,
    fleetVms: servingVms + since.length,
    servingVms,
    stopping: since.map((at) => ({ entryVmId: `stopped-at-${at}`, since: at, stoppedAt: at })),
    graceMs: 7500,
    minStayMs: 3000,
  });

// Guards against look-ups without an address while all VMs of a site are being stopped.
test('callers get stopping VMs while less than half of the fleet serves', (t) => {
  t.snapshot({
    'all are stopping': select(0, [0, 1000, 2000, 3000]),
    'one has returned': select(1, [1000, 2000, 3000]),
    'enough serve': select(3, [1000, 2000, 3000]),
    'none stays long enough': select(0, [0, 1000]),
    'none stays long enough, and one serves': select(1, [0, 1000]),
  });
});
