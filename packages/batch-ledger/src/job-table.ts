import type { Log } from '@jujubelanding/log';
import { ChangeKind, type KeyValueEntry } from '@jujubelanding/platform';
import type { FollowedChange } from '@jujubelanding/store-follower';
import type { Subscription } from '@jujubelanding/timer';
import {
  decodeJob,
  decodeLedger,
  decodeOwnership,
  isFinished,
  type Job,
  type Ledger,
  type Ownership,
} from './job.js';
import { KeyKind, type KeySpace } from './key-space.js';

/** A job with its ledger and owner, as last seen by this VM. */
export interface JobSnapshot {
  job: Job;
  /** Store revision of the record of the job. */
  jobRevision: number;
  ledger: Ledger;
  /** Store revision of the ledger. */
  ledgerRevision: number;
  owner: Ownership | undefined;
  /** Store revision of the owner entry; 0 without an owner. */
  ownerRevision: number;
}

interface JobRow {
  job?: Job;
  jobRevision: number;
  ledger?: Ledger;
  ledgerRevision: number;
  owner?: Ownership | undefined;
  ownerRevision: number;
  isFinished: boolean;
}

/** Applies a put of each kind of key to a row; returns false if the value cannot be decoded. */
const PUT_HANDLERS: Record<KeyKind, (row: JobRow, entry: KeyValueEntry) => boolean> = {
  [KeyKind.Job]: (row, { value, modRevision }) => {
    const job = decodeJob(value);
    if (job === undefined) return false;
    row.job = job;
    row.jobRevision = modRevision;
    return true;
  },
  [KeyKind.Ledger]: (row, { value, modRevision }) => {
    const ledger = decodeLedger(value);
    if (ledger === undefined) return false;
    row.ledger = ledger;
    row.ledgerRevision = modRevision;
    return true;
  },
  [KeyKind.Owner]: (row, { value, modRevision }) => {
    row.owner = decodeOwnership(value);
    row.ownerRevision = modRevision;
    return row.owner !== undefined;
  },
};

const EMPTY_ROW = { jobRevision: 0, ledgerRevision: 0, ownerRevision: 0, isFinished: false };

/** True if the job still has the owner that stored it, so that no other can have stored progress. */
export const hasFirstOwner = ({ jobRevision, ownerRevision }: JobSnapshot): boolean =>
  ownerRevision === jobRevision;

/** Local copy of the jobs, ledgers and owners in the store, by job id. */
export class JobTable {
  private readonly rows = new Map<string, JobRow>();

  private readonly handlers = new Set<(jobId: string) => void>();

  constructor(
    private readonly keys: KeySpace,
    private readonly log: Log,
  ) {}

  find(jobId: string): JobSnapshot | undefined {
    const row = this.rows.get(jobId);
    if (row?.job === undefined || row.ledger === undefined) return undefined;
    const { job, jobRevision, ledger, ledgerRevision, owner, ownerRevision } = row;
    return { job, jobRevision, ledger, ledgerRevision, owner, ownerRevision };
  }

  /** True if any entry of the job is known, readable or not. */
  has(jobId: string): boolean {
    return this.rows.has(jobId);
  }

  list(): JobSnapshot[] {
    return [...this.rows.keys()]
      .map((jobId) => this.find(jobId))
      .filter((snapshot) => snapshot !== undefined);
  }

  /** Lists the ids of jobs with items that have to run; most jobs of the table are finished. */
  listUnfinishedIds(): string[] {
    return [...this.rows].filter(([, row]) => !row.isFinished).map(([jobId]) => jobId);
  }

  /** Calls the handler with the id of each changed job. */
  onChange(handler: (jobId: string) => void): Subscription {
    this.handlers.add(handler);
    return { cancel: () => this.handlers.delete(handler) };
  }

  apply(changes: readonly FollowedChange[]): void {
    const changed = new Set<string>();
    for (const { kind, entry } of changes) {
      const parsed = this.keys.parse(entry.key);
      if (parsed === undefined) continue;
      changed.add(parsed.jobId);
      if (kind === ChangeKind.Delete) this.remove(parsed.jobId, parsed.kind);
      else this.put(parsed.jobId, parsed.kind, entry);
    }
    for (const jobId of changed) this.handlers.forEach((handler) => handler(jobId));
  }

  private put(jobId: string, kind: KeyKind, entry: KeyValueEntry): void {
    const row = this.rows.get(jobId) ?? { ...EMPTY_ROW };
    this.rows.set(jobId, row);
    const decoded = PUT_HANDLERS[kind](row, entry);
    const { job, ledger } = row;
    row.isFinished = job !== undefined && ledger !== undefined && isFinished(job, ledger);
    if (!decoded) this.log.write('job-entry-skipped', { key: entry.key, reason: 'unreadable' });
  }

  private remove(jobId: string, kind: KeyKind): void {
    const row = this.rows.get(jobId);
    if (row === undefined) return;
    if (kind === KeyKind.Owner) {
      row.owner = undefined;
      row.ownerRevision = 0;
    } else {
      this.rows.delete(jobId);
    }
  }
}
