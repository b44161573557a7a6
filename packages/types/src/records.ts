/** Operator records in their newest schema version. */

export enum RecordKind {
  Service = 'service',
  Model = 'model',
  Adapter = 'adapter',
  Version = 'version',
  Team = 'team',
  Job = 'job',
}

export enum ServiceKind {
  ModelEngine = 'modelEngine',
  PlainService = 'plainService',
}

export enum FencingMode {
  /** Workers reject orders and batch items with an outdated fencing number. */
  Checked = 'checked',
  Ignored = 'ignored',
}

export interface ServiceRecord {
  kind: ServiceKind;
  fencing: FencingMode;
  /** Concurrent requests per worker, if the worker does not report its slots. */
  slotsPerWorker: number;
  requestTimeoutMs: number;
  /** Path prefixes of requests that must not be retried. */
  nonIdempotentPaths: string[];
}

export interface ModelRecord {
  service: string;
  /** Name of the version record to use. */
  version: string;
  minWorkers: number;
  maxTokens: number;
}

export interface AdapterRecord {
  model: string;
  version: string;
  minWorkers: number;
}

export interface VersionRecord {
  /** Name of the weight in the weight store. */
  weight: string;
}

export interface TeamRecord {
  /** SHA-256 checksums of the team's API keys. */
  keyHashes: string[];
  requestsPerSecond: number;
  burst: number;
  concurrency: number;
  maxBodyBytes: number;
  maxJobItems: number;
  /** Share of batch capacity relative to other teams. */
  batchWeight: number;
}

export enum JobControl {
  Running = 'running',
  Paused = 'paused',
  Cancelled = 'cancelled',
}

/** A class of batch jobs; submissions refer to it in their `job` field. */
export interface JobClassRecord {
  team: string;
  model: string;
  adapter?: string;
  /** Time from submission until the job is due, in milliseconds. */
  dueInMs: number;
  maxAttempts: number;
  /** Applies to all open jobs of the class. */
  control: JobControl;
}

export interface RecordSpecs {
  [RecordKind.Service]: ServiceRecord;
  [RecordKind.Model]: ModelRecord;
  [RecordKind.Adapter]: AdapterRecord;
  [RecordKind.Version]: VersionRecord;
  [RecordKind.Team]: TeamRecord;
  [RecordKind.Job]: JobClassRecord;
}
