import type { BatchRequests } from '@jujubelanding/gateway';
import type { Log } from '@jujubelanding/log';
import type { Metrics } from '@jujubelanding/metrics';
import type { BackendForwarder, HeaderFields, TransactionalStore } from '@jujubelanding/platform';
import type { Random } from '@jujubelanding/random';
import type { RouteTable, RoutingConfiguration } from '@jujubelanding/route-table';
import type { PrefixReader } from '@jujubelanding/store-relay';
import type { Timer } from '@jujubelanding/timer';
import type { RegisteredWorker } from '@jujubelanding/worker-registry';
import type { Result } from 'neverthrow';
import type { BatchJobApi } from './batch-job-api.js';
import type { DeployedSettings } from './settings.js';

/** Keys and key prefixes in the store. */
export interface StoreKeys {
  /** Written by the operator. */
  operatorPrefix: string;
  configuration: string;
  retirementPrefix: string;
  retirementStatusPrefix: string;
  /** Written by workers. */
  workerPrefix: string;
  /** Written by this system and followed by all entry VMs. */
  followedPrefix: string;
  /** Written by this system and read on demand. */
  onDemandPrefix: string;
}

/** Dependencies through which the VM does I/O, so that tests can replace them. */
export interface DeployedIo {
  timer: Timer;
  /** Time at which the process began; by default that at which the VM is created. */
  startedAt?: number;
  random: Random;
  store: TransactionalStore;
  /** Returns a store whose calls are made by another entry VM. */
  relay: (peerAddress: string) => TransactionalStore;
  /**
   * Returns a reader of another entry VM's copy of the store.
   * `mustBeDirect`: that VM answers only if it follows the store itself.
   */
  readCopyOf: (peerAddress: string, mustBeDirect: boolean) => PrefixReader;
  backends: BackendForwarder;
  metrics: Metrics;
  createLog: (part: string) => Log;
}

/** Keys and value formats of the platform. */
export interface PlatformFormats {
  keys: StoreKeys;
  decodeConfiguration: (value: string) => Result<RoutingConfiguration, string>;
  decodeWorker: (id: string, value: string) => RegisteredWorker | undefined;
  /** Reads the parts of a prompt, those shared with most requests first, from the headers of a request. */
  readPromptParts: (headers: HeaderFields) => string[];
  /** Status value from which the operator learns that a VM with a disk may be removed. */
  retiredValue: string;
}

export interface DeployedVmOptions extends DeployedIo, PlatformFormats {
  settings: DeployedSettings;
  /** Creates the handler of batch requests on top of the batch job operations. */
  createBatchRequests: (batchJobApi: BatchJobApi) => BatchRequests;
  onConfiguration: (table: RouteTable) => void;
}
