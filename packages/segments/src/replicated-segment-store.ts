/** Segment store that replicates segments over the disks of several entry VMs. */
import { FaultCode, type Reply } from '@jujubelanding/errors';
import type {
  EntryVmIo,
  EntryVmSettings,
  Membership,
  SegmentStore,
} from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import { PeerMethod, type CopyRequest } from '@jujubelanding/peer-protocol';
import { computeChecksum } from '@jujubelanding/random';
import type { Member, SegmentReference } from '@jujubelanding/types';
import { ok } from 'neverthrow';
import { chooseCopyTarget, listDiskMembers } from './copy-placement.js';
import { createNotRunFault } from './faults.js';
import { LocalSegments } from './local-segments.js';
import { Scrubber, type ListReferences } from './scrubber.js';

/** A single copy would not survive the loss of its VM. */
export const MIN_COPIES = 2;

/** Long enough to copy a segment of 16 MB at a few MB/s. */
const COPY_TIMEOUT_MS = 10_000;

export interface ReplicatedSegmentStoreOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'network' | 'disk' | 'createLog' | 'metrics'>;
  settings: Pick<EntryVmSettings, 'entryVmId' | 'segmentCopies'>;
  membership: Membership;
  /** Lists, page by page, the segments that jobs refer to. Without it no garbage is collected. */
  listReferences?: ListReferences;
}

/** Stores, reads and repairs segments, and serves the local copies to other VMs. */
export class ReplicatedSegmentStore implements SegmentStore {
  private readonly log: Log;

  private readonly local?: LocalSegments;

  private readonly scrubber?: Scrubber;

  constructor(private readonly options: ReplicatedSegmentStoreOptions) {
    const { io } = options;
    this.log = io.createLog('segments');
    if (io.disk === undefined) return;
    this.local = new LocalSegments({
      disk: io.disk,
      timer: io.timer,
      onCorrupt: (segmentId) => this.handleCorrupt(segmentId),
    });
    this.scrubber = new Scrubber({
      io,
      local: this.local,
      log: this.log,
      ...(options.listReferences === undefined ? {} : { listReferences: options.listReferences }),
    });
  }

  start(): void {
    const { network } = this.options.io;
    const { local } = this;
    if (local === undefined) return;
    network.handleSegments({
      put: (segmentId, content) => local.put(segmentId, content),
      get: (segmentId) => local.get(segmentId),
    });
    network.handle(PeerMethod.StoreCopy, (request) => this.storeCopy(request));
    this.scrubber?.start();
  }

  stop(): void {
    this.scrubber?.stop();
  }

  async write(content: Uint8Array): Reply<SegmentReference> {
    const id = computeChecksum(content);
    let candidates = listDiskMembers(this.options.membership.members());
    const holders: Member[] = [];
    const problems: string[] = [];
    while (holders.length < this.options.settings.segmentCopies) {
      const missing = this.options.settings.segmentCopies - holders.length;
      const targets = this.chooseTargets(id, candidates, holders, missing);
      if (targets.length === 0) break;
      const results = await Promise.all(targets.map((target) => this.put(target, id, content)));
      results.forEach((result, index) => {
        if (result.isOk()) holders.push(targets[index]!);
        else problems.push(`${targets[index]!.entryVmId}: ${result.error.message}`);
      });
      const triedTargets = new Set(targets);
      candidates = candidates.filter((member) => !triedTargets.has(member));
    }
    if (holders.length < MIN_COPIES) {
      this.log.write('write-refused', { segment: id, copies: holders.length, problems });
      return createNotRunFault(
        FaultCode.Unavailable,
        'segment-write',
        `stored ${holders.length} of ${MIN_COPIES} required copies; ${problems.join('; ')}`,
      );
    }
    return ok({ id, bytes: content.length, copies: holders.map((holder) => holder.entryVmId) });
  }

  async read(reference: SegmentReference): Reply<Uint8Array> {
    const { entryVmId } = this.options.settings;
    const remoteHolders = reference.copies.filter((id) => id !== entryVmId);
    const localHolders = reference.copies.filter((id) => id === entryVmId);
    const holdersToTry = [
      ...localHolders,
      ...this.options.io.random.sample(remoteHolders, remoteHolders.length),
    ];
    const problems: string[] = [];
    const badHolders: string[] = [];
    for (const holder of holdersToTry) {
      const content = await this.fetch(holder, reference.id);
      if (content.isOk()) {
        badHolders.forEach((id) =>
          this.requestCopy(id, { segmentId: reference.id, sources: [holder] }),
        );
        return content;
      }
      problems.push(`${holder}: ${content.error.message}`);
      if (content.error.code === FaultCode.NotFound || content.error.code === FaultCode.Corrupt) {
        badHolders.push(holder);
      }
    }
    return createNotRunFault(
      FaultCode.Unavailable,
      'segment-read',
      `no holder returned a good copy; ${problems.join('; ')}`,
    );
  }

  /** Ensures that this VM stores a good copy, fetching it from one of the sources if necessary. */
  async storeCopy(request: CopyRequest): Reply<Record<string, never>> {
    const { local } = this;
    if (local === undefined) {
      return createNotRunFault(FaultCode.Unavailable, 'store-copy', 'no local disk');
    }
    // Corrupt copies are moved to quarantine when they are read, so a stored copy is not verified again.
    if (await local.touch(request.segmentId)) return ok({});
    const sources = request.sources.filter((id) => id !== this.options.settings.entryVmId);
    for (const source of sources) {
      const content = await this.fetch(source, request.segmentId);
      if (content.isErr()) continue;
      const stored = await local.put(request.segmentId, content.value);
      this.log.write('copy-stored', { segment: request.segmentId, source, ok: stored.isOk() });
      return stored.map(() => ({}));
    }
    return createNotRunFault(FaultCode.NotFound, 'store-copy', 'no source returned a good copy');
  }

  /** Asks a VM to store a copy. After success the caller adds the VM to the job record. */
  async requestCopy(holder: string, request: CopyRequest): Reply<Record<string, never>> {
    if (holder === this.options.settings.entryVmId) return this.storeCopy(request);
    const vm = this.options.membership.find(holder);
    if (vm === undefined) {
      return createNotRunFault(
        FaultCode.Unavailable,
        'order-copy',
        'the holder is not a known member',
        holder,
      );
    }
    return this.options.io.network.call(vm, PeerMethod.StoreCopy, request, COPY_TIMEOUT_MS);
  }

  private chooseTargets(
    id: string,
    candidates: readonly Member[],
    holders: readonly Member[],
    count: number,
  ): Member[] {
    const targets: Member[] = [];
    while (targets.length < count) {
      const target = chooseCopyTarget(id, candidates, [...holders, ...targets]);
      if (target === undefined) break;
      targets.push(target);
    }
    return targets;
  }

  private put(target: Member, id: string, content: Uint8Array): Reply<void> {
    if (target.entryVmId === this.options.settings.entryVmId) {
      if (this.local !== undefined) return this.local.put(id, content);
      return Promise.resolve(
        createNotRunFault(FaultCode.Unavailable, 'segment-put', 'no local disk'),
      );
    }
    return this.options.io.network.putSegment(target, id, content);
  }

  private async fetch(holder: string, id: string): Reply<Uint8Array> {
    if (holder === this.options.settings.entryVmId) {
      if (this.local !== undefined) return this.local.get(id);
      return createNotRunFault(FaultCode.NotFound, 'segment-get', 'no local disk');
    }
    const member = this.options.membership.find(holder);
    if (member === undefined) {
      return createNotRunFault(
        FaultCode.Unavailable,
        'segment-get',
        'the holder is not a known member',
        holder,
      );
    }
    const content = await this.options.io.network.getSegment(member, id);
    if (content.isErr() || computeChecksum(content.value) === id) return content;
    return createNotRunFault(
      FaultCode.Corrupt,
      'segment-get',
      'the content does not match its checksum',
      holder,
    );
  }

  /** Replaces a corrupt local copy by a good one from any other VM with a disk. */
  private handleCorrupt(segmentId: string): void {
    this.log.write('segment-corrupt', { segment: segmentId });
    this.options.io.metrics.increment('segments.corrupt');
    const sources = listDiskMembers(this.options.membership.members()).map(
      (member) => member.entryVmId,
    );
    void this.storeCopy({ segmentId, sources });
  }
}
