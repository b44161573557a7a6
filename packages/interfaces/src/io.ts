import type { Log } from '@jujubelanding/log';
import type { Metrics } from '@jujubelanding/metrics';
import type { PeerNetwork } from '@jujubelanding/peer-protocol';
import type { BackendServers, KeyValueStore, VmList, WeightStore } from '@jujubelanding/platform';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import type { Reply } from '@jujubelanding/errors';

/** Local storage of an entry VM under its data folder; absent on VMs without a disk. */
export interface Disk {
  /** Writes a file atomically and fsyncs it. */
  write(path: string, content: Uint8Array): Reply<void>;
  /** Fails with NotFound for a missing file. */
  read(path: string): Reply<Uint8Array>;
  remove(path: string): Reply<void>;
  /** Lists the paths of all files under a folder. */
  list(folder: string): Reply<string[]>;
}

/** All I/O, clocks and randomness that an entry VM uses; simulations replace them. */
export interface EntryVmIo {
  timer: Timer;
  random: Random;
  store: KeyValueStore;
  vmList: VmList;
  weightStore: WeightStore;
  backendServers: BackendServers;
  network: PeerNetwork;
  disk?: Disk;
  /** Creates the log of one component, whose name is `part` in the log lines. */
  createLog: (part: string) => Log;
  metrics: Metrics;
}

/** Identity, addresses and limits of an entry VM. */
export interface EntryVmSettings {
  entryVmId: string;
  availabilityZone: string;
  /** host:port */
  peerAddress: string;
  /** host:port */
  callerAddress: string;
  /** SHA-256 checksum of the operator token. */
  operatorTokenHash: string;
  maxOnlineInFlight: number;
  entryPointLifetimeMs: number;
  /** Number of copies of each segment, each on a different VM. */
  segmentCopies: number;
  resultRetentionMs: number;
  claimRetentionMs: number;
}
