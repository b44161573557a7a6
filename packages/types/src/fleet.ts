/** Types that describe the fleet: entry VMs, workers, shards and their owners. */

export enum MemberState {
  Alive = 'alive',
  Suspect = 'suspect',
  Leaving = 'leaving',
  Dead = 'dead',
}

/** Address at which an entry VM is reached by other entry VMs. */
export interface PeerAddress {
  entryVmId: string;
  /** host:port for calls and datagrams between entry VMs. */
  peerAddress: string;
}

/** A shard and the fencing number (a monotonic fencing token) under which an entry VM owns it. */
export interface ShardOwnership {
  shard: number;
  fence: number;
}

/** One entry VM as seen by membership. */
export interface Member extends PeerAddress {
  /** Unique per run of the daemon; distinguishes two runs at the same address. */
  bootId: string;
  incarnation: number;
  state: MemberState;
  /** host:port for callers. */
  callerAddress: string;
  availabilityZone: string;
  hasDisk: boolean;
  /** Highest configuration revision up to which the VM holds all records. */
  heldRevision: number;
  /** Configuration revision that is active on the VM. */
  activeRevision: number;
  /** Online requests in progress. */
  onlineLoad: number;
  shards: ShardOwnership[];
  /** True while the VM has chunks to grant; undefined on VMs that run an earlier version. */
  openChunks?: boolean;
}

export enum VmRole {
  EntryVm = 'entryVm',
  BackendServer = 'backendServer',
}

export enum VmState {
  Live = 'live',
  Leaving = 'leaving',
}

/** An entry of the platform's VM list. */
export interface Vm {
  id: string;
  role: VmRole;
  state: VmState;
  availabilityZone: string;
  /** host:port; for entry VMs the peer address. */
  address: string;
  /** Name of the service that a backend server runs. */
  service?: string;
}

/** One instance of a backend server. */
export interface Worker {
  id: string;
  service: string;
  address: string;
  availabilityZone: string;
  state: VmState;
  /** Start time of this run of the worker, in epoch milliseconds; absent if it is not known. */
  startedAt?: number;
}

/** Number of shards; must not change, because job and claim keys contain the shard number. */
export const SHARD_COUNT = 64;
