import type { Reply } from '@jujubelanding/errors';
import type { Subscription } from '@jujubelanding/timer';
import type {
  Member,
  PeerAddress,
  RecordKind,
  RecordSpecs,
  ShardOwnership,
  Worker,
} from '@jujubelanding/types';

/** An active record, converted to the newest schema version. */
export interface ActiveRecord<K extends RecordKind> {
  name: string;
  revision: number;
  spec: RecordSpecs[K];
}

/** The operator records that are active on this VM. */
export interface Configuration {
  /**
   * False until this VM has activated a revision at least as new as any that was active on it
   * before.
   */
  isReady(): boolean;
  heldRevision(): number;
  activeRevision(): number;
  get<K extends RecordKind>(kind: K, name: string): ActiveRecord<K> | undefined;
  list<K extends RecordKind>(kind: K): ActiveRecord<K>[];
  /** Calls the handler after each activation. */
  onChange(handler: () => void): Subscription;
}

/** Fields that this VM sets on its own gossip entry; membership sets the others. */
export type SelfUpdate = Partial<
  Pick<Member, 'state' | 'heldRevision' | 'activeRevision' | 'onlineLoad' | 'shards' | 'openChunks'>
>;

export interface Membership {
  self(): Member;
  /** Returns all known members that are not dead, including this VM. */
  members(): Member[];
  find(entryVmId: string): Member | undefined;
  updateSelf(update: SelfUpdate): void;
  onChange(handler: () => void): Subscription;
}

export interface ShardOwner extends PeerAddress {
  fence: number;
}

export interface ShardTable {
  /** Returns the owner with the highest fencing number seen in gossip; may be out of date. */
  ownerOf(shard: number): ShardOwner | undefined;
  /**
   * Returns the fencing number while this VM's lease on the shard is certainly valid, otherwise
   * undefined. Check it before every side effect.
   */
  fenceOf(shard: number): number | undefined;
  owned(): ShardOwnership[];
  /** Calls the handler after this VM acquires or loses shards. */
  onChange(handler: () => void): Subscription;
  /** Returns the monotonic time at which this VM acquired the shard. */
  ownedSince(shard: number): number | undefined;
}

export interface Directory {
  /** Returns the workers of a service that accept new work. */
  workersOf(service: string): Worker[];
  /** Returns a listed worker by id, even if it is leaving. */
  find(workerId: string): Worker | undefined;
  all(): Worker[];
  /** Returns the peer addresses of the listed entry VMs, the seed nodes of membership. */
  entryVms(): PeerAddress[];
  onChange(handler: () => void): Subscription;
}

export interface EntryPoint {
  address: string;
  availabilityZone: string;
}

export interface EntryPointResponse {
  entryPoints: EntryPoint[];
  /** Time for which callers may cache the response. */
  lifetimeMs: number;
}

export interface EntryPoints {
  choose(caller: string, availabilityZone?: string): EntryPointResponse;
}

/** Claims idempotency keys, so that a non-idempotent request runs at most once. */
export interface Claims {
  /**
   * Records the claim durably. On a fault the request must be rejected as `not-run`, except for
   * `AlreadyClaimed`, which means that an earlier request with this key may have run.
   */
  claim(team: string, idempotencyKey: string, digest: string, requestId: string): Reply<void>;
}
