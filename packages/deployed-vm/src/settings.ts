/** Settings of a process that runs on the platform; addresses are host:port. */
export interface DeployedSettings {
  entryVmId: string;
  availabilityZone: string;
  /** Absent on VMs that take no callers. */
  callerAddress: string | undefined;
  readinessAddress: string | undefined;
  entryPointsAddress: string | undefined;
  /** Datagrams of other entry VMs. */
  peerAddress: string;
  metricsAddress: string;
  storeAddress: string;
  /** Time from SIGTERM until the process is killed. */
  graceMs: number;
  /** Time within which a change must be acknowledged. */
  acknowledgeMs: number;
  /** Time from the submission of a job for which its results stay readable. */
  resultRetentionMs: number;
  /** Longest time for which callers keep the addresses of entry VMs. */
  maxEntryPointLifetimeMs: number;
}
