/** Optional behaviours by their names in the settings. */
export enum Contract {
  /** Workers are compared by the results of their requests. */
  Health = 'health',
}

/** Settings of a process that runs on the platform; addresses are host:port. */
export interface DeployedSettings {
  entryVmId: string;
  availabilityZone: string;
  /** Undefined on VMs that do not serve callers. */
  callerAddress: string | undefined;
  readinessAddress: string | undefined;
  entryPointsAddress: string | undefined;
  /** Receives datagrams and relayed store calls of other entry VMs. */
  peerAddress: string;
  metricsAddress: string;
  storeAddress: string;
  /** Processor capacity in cores. */
  capacity: number;
  /** Memory of the machine in megabytes; undefined if the settings do not state it. */
  memoryMb?: number | undefined;
  /** File descriptors that the process may have; undefined if the settings do not state it. */
  maxFds?: number | undefined;
  /** Time after which a response is closed of which its caller reads nothing; undefined for the default. */
  unreadTimeoutMs?: number | undefined;
  /** Time from SIGTERM until the process is killed. */
  terminationGraceMs: number;
  /** Time within which an acknowledged configuration must be in force. */
  configurationApplyMs: number;
  /** Time for which a worker that has announced that it is leaving may still get requests. */
  workerDrainMs: number;
  /** Time within which a submission or an end of a job must be acknowledged. */
  acknowledgeMs: number;
  /** Time after the submission of a job during which its results remain readable. */
  resultRetentionMs: number;
  /** Maximum time for which callers may cache the addresses of entry VMs. */
  maxEntryPointLifetimeMs: number;
  /** Names of the optional behaviours that the deployment calls for; see {@link Contract}. */
  contracts?: readonly string[] | undefined;
}
