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

/** A record in force, converted to the newest schema version. */
export interface ActiveRecord<K extends RecordKind> {
  name: string;
  revision: number;
  spec: RecordSpecs[K];
}

/** The operator records in force on this VM. */
export interface Configuration {
  /** False until a revision is known that is at least as new as any that was in force here. */
  isReady(): boolean;
  heldRevision(): number;
  activeRevision(): number;
  get<K extends RecordKind>(kind: K, name: string): ActiveRecord<K> | undefined;
  list<K extends RecordKind>(kind: K): ActiveRecord<K>[];
  /** Calls the handler after each activation. */
  onChange(handler: () => void): Subscription;
}

/** What this VM says about itself in gossip; the rest is set by membership. */
export type SelfUpdate = Partial<
  Pick<Member, 'state' | 'heldRevision' | 'activeRevision' | 'onlineLoad' | 'shards' | 'openChunks'>
>;

export interface Membership {
  self(): Member;
  /** All known members that are not dead, this VM included. */
  members(): Member[];
  find(entryVmId: string): Member | undefined;
  updateSelf(update: SelfUpdate): void;
  onChange(handler: () => void): Subscription;
}

export interface ShardOwner extends PeerAddress {
  fence: number;
}

export interface ShardTable {
  /** Owner known from gossip, highest fencing number first; may be out of date. */
  ownerOf(shard: number): ShardOwner | undefined;
  /** Fencing number while this VM's lease on the shard is certainly valid; check before each effect. */
  fenceOf(shard: number): number | undefined;
  owned(): ShardOwnership[];
  /** Called after this VM gains or loses shards. */
  onChange(handler: () => void): Subscription;
  /** Time at which this VM gained the shard, on the monotonic clock. */
  ownedSince(shard: number): number | undefined;
}

export interface Directory {
  /** Workers of a service that take new work. */
  workersOf(service: string): Worker[];
  /** Any listed worker, leaving ones included. */
  find(workerId: string): Worker | undefined;
  all(): Worker[];
  /** Peer addresses of listed entry VMs, as seeds for membership. */
  entryVms(): PeerAddress[];
  onChange(handler: () => void): Subscription;
}

export interface EntryPoint {
  address: string;
  availabilityZone: string;
}

export interface EntryPointResponse {
  entryPoints: EntryPoint[];
  /** Time for which callers may keep the answer. */
  lifetimeMs: number;
}

export interface EntryPoints {
  choose(caller: string, availabilityZone?: string): EntryPointResponse;
}

/** Claims of non-idempotent requests. */
export interface Claims {
  /**
   * Records the claim durably. A fault means that the request must be refused as `not-run`;
   * `AlreadyClaimed` that an earlier request under this key may have run.
   */
  claim(team: string, idempotencyKey: string, digest: string, requestId: string): Reply<void>;
}
