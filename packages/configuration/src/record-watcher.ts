/** Watches the records in the key-value service and confirms held revisions against it. */
import type { EntryVmIo } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { ConfigurationDelta } from '@jujubelanding/peer-protocol';
import { CONFIRMED_ACTIVATION_DELAY_MS } from './activation.js';
import type { Replica } from './replica.js';
import { StoreReader, WatchStatus } from './store-reader.js';

const WATCH_WAIT_MS = 15_000;
const OWNERSHIP_CHECK_INTERVAL_MS = 500;
const INITIAL_RETRY_DELAY_MS = 250;
const MAX_RETRY_DELAY_MS = 4000;
/** Random delay that spreads the confirmations of different VMs over time. */
const CONFIRM_JITTER_MS = 1000;

export interface RecordWatcherOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'store'>;
  log: Log;
  replica: Replica;
  /** True while this VM owns shards and therefore has to watch. */
  ownsShards: () => boolean;
  /** True once the start revision is known from the key-value service or from other VMs. */
  isStartRevisionKnown: () => boolean;
  applyDelta: (delta: ConfigurationDelta) => unknown;
  /** Called after each successful read. */
  onRead: () => void;
  /** Called after all records have been read. */
  onReadAll: () => void;
}

export class RecordWatcher {
  private readonly reader: StoreReader;

  private readonly confirmDelayMs: number;

  /** Store revision up to which this VM has seen all changes. */
  private cursor = 0;

  private confirmed = 0;

  private isConfirming = false;

  private failures = 0;

  private isStopped = false;

  constructor(private readonly options: RecordWatcherOptions) {
    this.reader = new StoreReader(options.io.store);
    this.confirmDelayMs =
      CONFIRMED_ACTIVATION_DELAY_MS + options.io.random.nextInt(CONFIRM_JITTER_MS);
  }

  /** Returns the revision up to which the key-value service has confirmed the held records. */
  confirmedRevision(): number {
    return this.confirmed;
  }

  /** Reads all records once, then watches while this VM owns shards. */
  async run(): Promise<void> {
    const { isStartRevisionKnown, ownsShards, io } = this.options;
    while (!this.isStopped) {
      if (!isStartRevisionKnown()) await this.readAll();
      else if (ownsShards()) await this.watch();
      else await io.timer.sleep(OWNERSHIP_CHECK_INTERVAL_MS);
    }
  }

  stop(): void {
    this.isStopped = true;
  }

  /** Confirms a revision that was not activated in time by a majority or by gossip. */
  async confirmIfOverdue(): Promise<void> {
    const { timer, random } = this.options.io;
    const batch = this.options.replica
      .pendingBatches()
      .findLast(({ heldAt }) => timer.now() - heldAt >= this.confirmDelayMs);
    const record = batch?.records.find(({ revision }) => revision === batch.revision);
    if (batch === undefined || record === undefined || this.isConfirming) return;
    if (batch.revision <= this.confirmed) return;
    this.isConfirming = true;
    const confirmed = await this.reader.confirm(record);
    if (confirmed.isOk() && confirmed.value) this.recordConfirmed(batch.revision);
    else await timer.sleep(MAX_RETRY_DELAY_MS * (0.5 + random.next()));
    this.isConfirming = false;
  }

  private async readAll(): Promise<void> {
    const read = await this.reader.readAll();
    if (this.isStopped) return;
    if (read.isErr()) {
      await this.backOff(read.error.message);
      return;
    }
    this.failures = 0;
    this.options.applyDelta(read.value.delta);
    this.cursor = Math.max(this.cursor, read.value.storeRevision);
    this.recordConfirmed(read.value.storeRevision);
    this.options.onReadAll();
  }

  private async watch(): Promise<void> {
    const held = this.options.replica.heldRevision();
    // All record changes up to the cursor and up to the held revision are held.
    const after = Math.max(this.cursor, held);
    const read = await this.reader.watch(after, WATCH_WAIT_MS);
    if (this.isStopped) return;
    if (read.isErr()) {
      await this.backOff(read.error.message);
      return;
    }
    this.failures = 0;
    if (read.value.status === WatchStatus.Compacted) {
      await this.readAll();
      return;
    }
    const { delta, storeRevision } = read.value;
    if (delta.records.length > 0) this.options.applyDelta({ ...delta, afterRevision: held });
    this.cursor = Math.max(this.cursor, storeRevision);
    this.recordConfirmed(storeRevision);
  }

  private recordConfirmed(revision: number): void {
    const held = this.options.replica.heldRevision();
    this.confirmed = Math.max(this.confirmed, Math.min(revision, held));
    this.options.onRead();
  }

  private async backOff(message: string): Promise<void> {
    const { timer, random } = this.options.io;
    if (this.failures === 0) this.options.log.write('records-not-read', { message });
    const delay = Math.min(INITIAL_RETRY_DELAY_MS * 2 ** this.failures, MAX_RETRY_DELAY_MS);
    this.failures += 1;
    await timer.sleep(delay * (0.5 + random.next()));
  }
}
