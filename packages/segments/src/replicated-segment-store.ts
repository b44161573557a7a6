/** Segments replicated over the disks of several entry VMs. */
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
import { errNotRun } from './faults.js';
import { LocalSegments } from './local-segments.js';
import { Scrubber, type ListReferences } from './scrubber.js';

/** Fewer copies would not outlast the loss of any one VM. */
export const MIN_COPIES = 2;

/** Enough for a segment of 16 MB at a few MB/s. */
const COPY_TIMEOUT_MS = 10_000;

export interface ReplicatedSegmentStoreOptions {
  io: Pick<EntryVmIo, 'timer' | 'random' | 'network' | 'disk' | 'createLog' | 'metrics'>;
  settings: Pick<EntryVmSettings, 'entryVmId' | 'segmentCopies'>;
  membership: Membership;
  /** Pages through the segments that jobs refer to; without it no garbage is removed. */
  listReferences?: ListReferences;
}

/** Stores, reads and repairs segments; serves the local ones to other VMs. */
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
      const tried = new Set(targets);
      candidates = candidates.filter((member) => !tried.has(member));
    }
    if (holders.length < MIN_COPIES) {
      this.log.write('write-refused', { segment: id, copies: holders.length, problems });
      return errNotRun(
        FaultCode.Unavailable,
        'segment-write',
        `${holders.length} of ${MIN_COPIES} required copies stored; ${problems.join('; ')}`,
      );
    }
    return ok({ id, bytes: content.length, copies: holders.map((holder) => holder.entryVmId) });
  }

  async read(reference: SegmentReference): Reply<Uint8Array> {
    const { entryVmId } = this.options.settings;
    const remote = reference.copies.filter((id) => id !== entryVmId);
    const own = reference.copies.filter((id) => id === entryVmId);
    const order = [...own, ...this.options.io.random.sample(remote, remote.length)];
    const problems: string[] = [];
    const failed: string[] = [];
    for (const holder of order) {
      const content = await this.fetch(holder, reference.id);
      if (content.isOk()) {
        failed.forEach((id) =>
          this.requestCopy(id, { segmentId: reference.id, sources: [holder] }),
        );
        return content;
      }
      problems.push(`${holder}: ${content.error.message}`);
      if (content.error.code === FaultCode.NotFound || content.error.code === FaultCode.Corrupt) {
        failed.push(holder);
      }
    }
    return errNotRun(FaultCode.Unavailable, 'segment-read', `no good copy; ${problems.join('; ')}`);
  }

  /** Makes sure that this VM holds a good copy, fetching it from a source where needed. */
  async storeCopy(request: CopyRequest): Reply<Record<string, never>> {
    const { local } = this;
    if (local === undefined) return errNotRun(FaultCode.Unavailable, 'store-copy', 'no disk');
    // A copy found corrupt is in quarantine, so a stored copy need not be read again here.
    if (await local.touch(request.segmentId)) return ok({});
    const sources = request.sources.filter((id) => id !== this.options.settings.entryVmId);
    for (const source of sources) {
      const content = await this.fetch(source, request.segmentId);
      if (content.isErr()) continue;
      const stored = await local.put(request.segmentId, content.value);
      this.log.write('copy-stored', { segment: request.segmentId, source, ok: stored.isOk() });
      return stored.map(() => ({}));
    }
    return errNotRun(FaultCode.NotFound, 'store-copy', 'no source has a good copy');
  }

  /** Orders a VM to hold a copy; the caller adds it to the record once this succeeded. */
  async requestCopy(holder: string, request: CopyRequest): Reply<Record<string, never>> {
    if (holder === this.options.settings.entryVmId) return this.storeCopy(request);
    const member = this.options.membership.find(holder);
    if (member === undefined)
      return errNotRun(FaultCode.Unavailable, 'order-copy', 'unknown', holder);
    return this.options.io.network.call(member, PeerMethod.StoreCopy, request, COPY_TIMEOUT_MS);
  }

  private chooseTargets(
    id: string,
    candidates: readonly Member[],
    holders: readonly Member[],
    count: number,
  ): Member[] {
    const targets: Member[] = [];
    while (targets.length < count) {
      const next = chooseCopyTarget(id, candidates, [...holders, ...targets]);
      if (next === undefined) break;
      targets.push(next);
    }
    return targets;
  }

  private put(target: Member, id: string, content: Uint8Array): Reply<void> {
    if (target.entryVmId === this.options.settings.entryVmId) {
      if (this.local !== undefined) return this.local.put(id, content);
      return Promise.resolve(errNotRun(FaultCode.Unavailable, 'segment-put', 'no disk'));
    }
    return this.options.io.network.putSegment(target, id, content);
  }

  private async fetch(holder: string, id: string): Reply<Uint8Array> {
    if (holder === this.options.settings.entryVmId) {
      if (this.local !== undefined) return this.local.get(id);
      return errNotRun(FaultCode.NotFound, 'segment-get', 'no disk');
    }
    const member = this.options.membership.find(holder);
    if (member === undefined) {
      return errNotRun(FaultCode.Unavailable, 'segment-get', 'not a live member', holder);
    }
    const content = await this.options.io.network.getSegment(member, id);
    if (content.isErr() || computeChecksum(content.value) === id) return content;
    return errNotRun(FaultCode.Corrupt, 'segment-get', 'checksum does not match', holder);
  }

  /** Replaces a corrupt copy by a good one of any other VM with a disk. */
  private handleCorrupt(segmentId: string): void {
    this.log.write('segment-corrupt', { segment: segmentId });
    this.options.io.metrics.increment('segments.corrupt');
    const sources = listDiskMembers(this.options.membership.members()).map(
      (member) => member.entryVmId,
    );
    void this.storeCopy({ segmentId, sources });
  }
}
