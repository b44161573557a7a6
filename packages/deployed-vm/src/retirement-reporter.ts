import type { Log } from '@jujubelanding/log';
import type { TransactionalStore } from '@jujubelanding/platform';
import { rankNodes } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';

/**
 * Delay per rank before a VM reports, so that normally only the first one does; also the delay before a
 * failed report is repeated.
 */
const RANK_DELAY_MS = 700;

export interface RetirementReporterOptions {
  store: Pick<TransactionalStore, 'commit'>;
  timer: Timer;
  log: Log;
  self: string;
  listServing: () => readonly string[];
  /** Key under which the operator reads the retirement status of a VM. */
  statusKey: (vmId: string) => string;
  /** Value from which the operator learns that the VM may be removed. */
  completedValue: string;
}

/**
 * Reports VMs with disks as ready for removal. All persistent data is in the store, so such a VM can be
 * removed as soon as the operator requests it.
 */
export class RetirementReporter {
  constructor(private readonly options: RetirementReporterOptions) {}

  request(vmId: string): void {
    const { timer, self, listServing } = this.options;
    const rank = rankNodes(vmId, [self, ...listServing()]).indexOf(self);
    timer.after(rank * RANK_DELAY_MS, () => {
      void this.report(vmId);
    });
  }

  private async report(vmId: string): Promise<void> {
    const { store, log, statusKey, completedValue, timer } = this.options;
    const key = statusKey(vmId);
    const reply = await store.commit({
      conditions: [{ key, revision: 0 }],
      writes: [{ key, value: completedValue }],
      removals: [],
    });
    const status = reply.isOk() ? reply.value.status : reply.error.code;
    log.write('retirement-reported', { vm: vmId, status });
    if (reply.isErr()) {
      timer.after(RANK_DELAY_MS, () => {
        void this.report(vmId);
      });
    }
  }
}
