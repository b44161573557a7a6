/** Takes ownership of jobs, runs their items and appends the results to the ledgers. */
import type {
  ItemRequests,
  JobStore,
  JobTable,
  Ownership,
  ProgressStore,
  ResultReader,
} from '@jujubelanding/batch-ledger';
import type { FleetLoad } from '@jujubelanding/fleet-load';
import type { Subscription, Timer } from '@jujubelanding/timer';
import { ItemScheduler, type ItemSchedulerOptions } from './item-scheduler.js';
import { OwnedJobs } from './owned-jobs.js';

/** Interval at which items are started and ownership is checked, besides on changes. */
const TICK_INTERVAL_MS = 100;

export interface JobExecutionOptions extends Omit<ItemSchedulerOptions, 'listOwnedJobs'> {
  timer: Timer;
  table: JobTable;
  jobs: JobStore;
  progress: ProgressStore;
  reader: ResultReader;
  requests: ItemRequests;
  loads: FleetLoad;
  self: Ownership;
  /** Returns the boot id under which another VM is registered. */
  bootIdOf: (entryVmId: string) => string | undefined;
}

export class JobExecution {
  private readonly ownedJobs: OwnedJobs;

  private readonly scheduler: ItemScheduler;

  private readonly subscriptions: Subscription[] = [];

  constructor(private readonly options: JobExecutionOptions) {
    this.ownedJobs = new OwnedJobs({ ...options, onOpened: () => this.scheduler.publishWaiting() });
    this.scheduler = new ItemScheduler({ ...options, listOwnedJobs: () => this.ownedJobs.list() });
  }

  start(): void {
    const { timer, table, loads } = this.options;
    this.subscriptions.push(
      timer.every(TICK_INTERVAL_MS, () => this.tick()),
      table.onChange((jobId) => this.ownedJobs.reconcile(jobId)),
      loads.onPlan((plan) => this.scheduler.carryOut(plan)),
    );
  }

  /** Stops all work without releasing jobs. */
  close(): void {
    this.subscriptions.splice(0).forEach((subscription) => subscription.cancel());
    this.scheduler.close();
    this.ownedJobs.close();
  }

  /** Stops all work and releases all jobs, with the progress of their items. */
  async stop(): Promise<void> {
    this.close();
    await this.ownedJobs.release();
  }

  private tick(): void {
    this.ownedJobs.tick();
    this.scheduler.publishWaiting();
  }
}
