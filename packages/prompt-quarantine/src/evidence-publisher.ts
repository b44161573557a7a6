import type { Log } from '@jujubelanding/log';
import { CommitStatus, type TransactionalStore } from '@jujubelanding/platform';
import type { Subscription, Timer } from '@jujubelanding/timer';
import { evidenceSchema, type VmEvidence } from './crash-evidence.js';

/** Changes within this time are written together; a crash ends several requests at once. */
const WRITE_DELAY_MS = 100;

/** Delay before a failed write is repeated. */
const RETRY_DELAY_MS = 300;

/** The lease of this VM, under which its report is stored. */
export interface VmLease {
  current: string | undefined;
  /** Obtains a new lease after the store reported that this one has ended. */
  replace(endedLeaseId: string): void;
}

export interface EvidencePublisherOptions {
  timer: Timer;
  log: Log;
  store: Pick<TransactionalStore, 'commit'>;
  lease: () => VmLease;
  key: string;
  readReport: () => VmEvidence;
}

/** Returns undefined for a value that is not a report. */
export const decodeEvidence = (value: string): VmEvidence | undefined => {
  try {
    return evidenceSchema.safeParse(JSON.parse(value)).data;
  } catch {
    return undefined;
  }
};

/** Writes the report of this VM to the store after it has changed. */
export class EvidencePublisher {
  private pending: Subscription | undefined;

  private isWriting = false;

  private isStopped = false;

  /** Lease of the last report that was stored. */
  private storedLeaseId: string | undefined;

  constructor(private readonly options: EvidencePublisherOptions) {}

  /** Writes the report soon, with further changes until then. */
  schedule(delayMs = WRITE_DELAY_MS): void {
    if (this.isStopped || this.pending !== undefined) return;
    this.pending = this.options.timer.after(delayMs, () => {
      this.pending = undefined;
      void this.write();
    });
  }

  /** Writes the report again if it was removed with its lease. */
  restore(): void {
    const { current } = this.options.lease();
    const isRemoved = this.storedLeaseId !== undefined && this.storedLeaseId !== current;
    if (isRemoved && current !== undefined) this.schedule();
  }

  stop(): void {
    this.isStopped = true;
    this.pending?.cancel();
  }

  private async write(): Promise<void> {
    const { store, lease, key, readReport, log } = this.options;
    const leaseId = lease().current;
    if (leaseId === undefined || this.isWriting) {
      this.schedule(RETRY_DELAY_MS);
      return;
    }
    this.isWriting = true;
    const value = JSON.stringify(readReport());
    const committed = await store.commit({
      conditions: [],
      writes: [{ key, value, leaseId }],
      removals: [],
    });
    this.isWriting = false;
    if (committed.isOk() && committed.value.status === CommitStatus.Committed) {
      this.storedLeaseId = leaseId;
      return;
    }
    if (committed.isOk()) lease().replace(leaseId);
    const code = committed.isErr() ? committed.error.code : committed.value.status;
    log.write('evidence-not-stored', { code });
    this.schedule(RETRY_DELAY_MS);
  }
}
