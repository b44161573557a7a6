import type {
  ActiveRecord,
  Configuration,
  Directory,
  EntryVmIo,
  EntryVmSettings,
  Membership,
  ShardTable,
} from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { ConfigurationDelta } from '@jujubelanding/peer-protocol';
import type { Subscription } from '@jujubelanding/timer';
import type { RecordKind } from '@jujubelanding/types';
import { decideActivation } from './activation.js';
import { ActiveRecords, type InvalidRecord } from './active-records.js';
import { PeerSync } from './peer-sync.js';
import { ApplyStatus, Replica } from './replica.js';
import { SnapshotFile } from './snapshot-file.js';
import type { QuorumSettings } from './startup-quorum.js';
import { RecordWatcher } from './record-watcher.js';

const TICK_MS = 250;
/** Time for the key-value service to answer at startup before the other VMs are queried. */
const QUORUM_READ_DELAY_MS = 1000;
const QUORUM_READ_INTERVAL_MS = 1000;
const SAVE_RETRY_DELAY_MS = 5000;

export interface ConfigurationOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'store' | 'network' | 'disk' | 'createLog' | 'metrics'>;
  settings: Pick<EntryVmSettings, 'entryVmId'>;
  membership: Membership;
  directory: Pick<Directory, 'entryVms'>;
  /** Decides whether this VM watches the key-value service, which only shard owners do. */
  shards: Pick<ShardTable, 'owned'>;
}

/** Replica of the operator records; the active revision never decreases. */
export class ConfigurationController implements Configuration {
  private readonly log: Log;

  private readonly replica = new Replica();

  private readonly activeRecords = new ActiveRecords();

  private readonly recordWatcher: RecordWatcher;

  private readonly peerSync: PeerSync;

  private readonly snapshot: SnapshotFile | undefined;

  private readonly handlers = new Set<() => void>();

  private readonly subscriptions: Subscription[] = [];

  private activatedRevision = 0;

  /** Revision that must be active before this VM is ready; undefined until it is known. */
  private startRevision: number | undefined;

  private hasSnapshot = false;

  private nextSaveAt = 0;

  private isStopped = false;

  constructor(private readonly options: ConfigurationOptions) {
    const { io, membership } = options;
    this.log = io.createLog('configuration');
    this.snapshot = io.disk === undefined ? undefined : new SnapshotFile(io.disk, this.log);
    this.recordWatcher = new RecordWatcher({
      io,
      log: this.log,
      replica: this.replica,
      ownsShards: () => this.startRevision !== undefined && this.options.shards.owned().length > 0,
      isStartRevisionKnown: () => this.startRevision !== undefined,
      applyDelta: (delta) => this.applyDelta(delta),
      onRead: () => this.updateActivation(),
      onReadAll: () => this.setStartRevision('key-value'),
    });
    this.peerSync = new PeerSync({
      io,
      membership,
      replica: this.replica,
      canAnswer: () => this.startRevision !== undefined || this.hasSnapshot,
      applyDelta: (delta) => this.applyDelta(delta),
    });
  }

  start(): void {
    this.peerSync.start();
    this.subscriptions.push(
      this.options.io.timer.every(TICK_MS, () => this.tick()),
      this.options.membership.onChange(() => this.onMembershipChange()),
    );
    void this.run();
  }

  stop(): void {
    this.isStopped = true;
    this.peerSync.stop();
    this.recordWatcher.stop();
    this.subscriptions.forEach((subscription) => subscription.cancel());
  }

  isReady(): boolean {
    return this.startRevision !== undefined && this.activatedRevision >= this.startRevision;
  }

  /** On a VM with a disk, a revision counts as held once it is saved. */
  heldRevision(): number {
    return this.snapshot?.savedRevision() ?? this.replica.heldRevision();
  }

  activeRevision(): number {
    return this.activatedRevision;
  }

  get<K extends RecordKind>(kind: K, name: string): ActiveRecord<K> | undefined {
    return this.activeRecords.get(kind, name);
  }

  list<K extends RecordKind>(kind: K): ActiveRecord<K>[] {
    return this.activeRecords.list(kind);
  }

  /** Returns the stored records that cannot be activated. */
  invalidRecords(): InvalidRecord[] {
    return this.activeRecords.listInvalid();
  }

  onChange(handler: () => void): Subscription {
    this.handlers.add(handler);
    return { cancel: () => this.handlers.delete(handler) };
  }

  private now(): number {
    return this.options.io.timer.now();
  }

  private async run(): Promise<void> {
    const saved = await this.snapshot?.load();
    if (saved !== undefined) {
      this.hasSnapshot = true;
      this.applyDelta(saved);
    }
    void this.readFromPeers();
    await this.recordWatcher.run();
  }

  /**
   * Queries the other VMs until the start revision is known from them or from the key-value service.
   */
  private async readFromPeers(): Promise<void> {
    const { io } = this.options;
    await io.timer.sleep(QUORUM_READ_DELAY_MS);
    while (this.startRevision === undefined && !this.isStopped) {
      const hasQuorum = await this.peerSync.readFromQuorum(this.createQuorumSettings());
      if (hasQuorum) this.setStartRevision('vote');
      else await io.timer.sleep(QUORUM_READ_INTERVAL_MS * (0.5 + io.random.next()));
    }
  }

  private createQuorumSettings(): QuorumSettings {
    return {
      selfId: this.options.settings.entryVmId,
      listed: this.options.directory.entryVms(),
      hasSnapshot: this.hasSnapshot,
    };
  }

  private setStartRevision(source: string): void {
    if (this.startRevision !== undefined || this.isStopped) return;
    this.startRevision = this.replica.heldRevision();
    this.log.write('configuration-known', { source, revision: this.startRevision });
    this.updateActivation();
  }

  private applyDelta(delta: ConfigurationDelta): ApplyStatus {
    const before = this.replica.heldRevision();
    const status = this.replica.apply(delta, this.now());
    if (status !== ApplyStatus.Applied) return status;
    const { records, revision } = this.replica.pendingBatches().at(-1)!;
    this.log.write('records-held', { revision, records: records.length });
    this.peerSync.push({ afterRevision: before, revision, records });
    void this.save();
    this.updateActivation();
    return status;
  }

  private async save(): Promise<void> {
    if (this.snapshot === undefined || this.now() < this.nextSaveAt) return;
    const isSaved = await this.snapshot.save(() => this.replica.deltaAfter(0));
    if (!isSaved) this.nextSaveAt = this.now() + SAVE_RETRY_DELAY_MS;
    this.updateActivation();
  }

  private tick(): void {
    this.updateActivation();
    void this.peerSync.pullIfBehind();
    void this.recordWatcher.confirmIfOverdue();
    if (this.heldRevision() < this.replica.heldRevision()) void this.save();
  }

  private onMembershipChange(): void {
    this.updateActivation();
    void this.peerSync.pullIfBehind();
  }

  /** Activates the highest allowed revision and publishes the held and active revisions. */
  private updateActivation(): void {
    if (this.isStopped) return;
    const { membership, directory, settings } = this.options;
    const activation =
      this.startRevision === undefined
        ? undefined
        : decideActivation({
            pending: this.replica.pendingBatches(),
            selfId: settings.entryVmId,
            heldRevision: this.heldRevision(),
            confirmedRevision: this.recordWatcher.confirmedRevision(),
            members: membership.members(),
            listed: directory.entryVms(),
            now: this.now(),
          });
    if (activation !== undefined) this.activate(activation.revision, activation.cause);
    membership.updateSelf({
      heldRevision: this.heldRevision(),
      activeRevision: this.activatedRevision,
    });
  }

  private activate(revision: number, cause: string): void {
    const records = this.replica.takeUpTo(revision).flatMap((batch) => batch.records);
    for (const record of records) {
      const invalid = this.activeRecords.apply(record);
      if (invalid !== undefined) this.reportInvalid(invalid);
    }
    this.activatedRevision = revision;
    this.log.write('configuration-activated', { revision, cause, records: records.length });
    this.options.io.metrics.gauge('configuration.active', revision);
    this.handlers.forEach((handler) => handler());
  }

  private reportInvalid({ kind, name, revision, faults }: InvalidRecord): void {
    this.options.io.metrics.increment('configuration.invalid_records', { kind });
    this.log.write('record-invalid', {
      kind,
      name,
      revision,
      fields: faults.map(({ field }) => field),
    });
  }
}
