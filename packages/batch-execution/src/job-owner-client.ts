/** Calls to job owners; made in process when this VM is the owner. */
import { FaultCode, Outcome, type Reply } from '@jujubelanding/errors';
import type { EntryVmIo, Membership, ShardOwner, ShardTable } from '@jujubelanding/interfaces';
import type { JobOwner } from '@jujubelanding/batch-jobs';
import {
  PeerMethod,
  type ChunkCompletion,
  type ChunkRequest,
  type PeerCalls,
  type ProgressReport,
} from '@jujubelanding/peer-protocol';
import { SHARD_COUNT } from '@jujubelanding/types';
import { err } from 'neverthrow';
import type { ActiveChunk } from './active-chunk.js';

/** Allows for the owner's limit of one commit per job and second, and for the write itself. */
const COMPLETION_TIMEOUT_MS = 5000;

export interface JobOwnerClientOptions {
  io: Pick<EntryVmIo, 'network'>;
  shards: ShardTable;
  membership: Membership;
  owner: Pick<JobOwner, 'requestChunk' | 'reportProgress' | 'completeChunk'>;
}

/** Address of a VM that owns jobs. */
export interface OwnerAddress {
  peerAddress: string;
  isSelf: boolean;
}

export interface OwnerChunks {
  owner: OwnerAddress;
  chunks: ActiveChunk[];
}

export class JobOwnerClient {
  constructor(private readonly options: JobOwnerClientOptions) {}

  /** Returns the VMs that own shards, each with one of its shards. */
  listOwners(): Map<string, number> {
    const owners = new Map<string, number>();
    for (let shard = 0; shard < SHARD_COUNT; shard += 1) {
      const owner = this.options.shards.ownerOf(shard);
      if (owner !== undefined && !owners.has(owner.entryVmId)) owners.set(owner.entryVmId, shard);
    }
    return owners;
  }

  /** Returns whether an owner advertises open chunks; undefined when it advertises nothing. */
  hasOpenChunks(ownerId: string): boolean | undefined {
    const { membership } = this.options;
    // The owner of this VM is polled often, like one that advertises nothing, because a request within
    // this process is cheap.
    if (ownerId === membership.self().entryVmId) return undefined;
    return membership.find(ownerId)?.openChunks;
  }

  /** Groups chunks by the VM that owns their jobs; chunks without a known owner are omitted. */
  groupByOwner(chunks: readonly ActiveChunk[]): Map<string, OwnerChunks> {
    const { entryVmId } = this.options.membership.self();
    const groups = new Map<string, OwnerChunks>();
    chunks.forEach((chunk) => {
      const owner = this.options.shards.ownerOf(chunk.grant.shard);
      if (owner === undefined) return;
      const { peerAddress } = owner;
      const isSelf = owner.entryVmId === entryVmId;
      const group = groups.get(owner.entryVmId) ?? { owner: { peerAddress, isSelf }, chunks: [] };
      group.chunks.push(chunk);
      groups.set(owner.entryVmId, group);
    });
    return groups;
  }

  requestChunk(request: ChunkRequest): Reply<PeerCalls[PeerMethod.RequestChunk]['output']> {
    return this.route(
      request.shard,
      () => this.options.owner.requestChunk(request),
      (owner) => this.options.io.network.call(owner, PeerMethod.RequestChunk, request),
    );
  }

  reportProgress(report: ProgressReport): Reply<PeerCalls[PeerMethod.ReportProgress]['output']> {
    return this.route(
      report.shard,
      () => this.options.owner.reportProgress(report),
      (owner) => this.options.io.network.call(owner, PeerMethod.ReportProgress, report),
    );
  }

  completeChunk(completion: ChunkCompletion): Reply<PeerCalls[PeerMethod.CompleteChunk]['output']> {
    const { network } = this.options.io;
    return this.route(
      completion.shard,
      () => this.options.owner.completeChunk(completion),
      (owner) => network.call(owner, PeerMethod.CompleteChunk, completion, COMPLETION_TIMEOUT_MS),
    );
  }

  private async route<T>(
    shard: number,
    callSelf: () => Reply<T>,
    callPeer: (owner: ShardOwner) => Reply<T>,
  ): Reply<T> {
    const owner = this.options.shards.ownerOf(shard);
    if (owner === undefined) {
      return err({
        code: FaultCode.NotOwner,
        outcome: Outcome.NotRun,
        step: 'find-owner',
        message: `shard ${shard} has no known owner`,
      });
    }
    const isSelf = owner.entryVmId === this.options.membership.self().entryVmId;
    return isSelf ? callSelf() : callPeer(owner);
  }
}
