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
  /** The workers refuse an order or a batch item with an old fencing number. */
  Checked = 'checked',
  Ignored = 'ignored',
}

export interface ServiceRecord {
  kind: ServiceKind;
  fencing: FencingMode;
  /** Requests that one worker runs at a time when it reports nothing else. */
  slotsPerWorker: number;
  requestTimeoutMs: number;
  /** Path prefixes of calls that must not be repeated. */
  nonIdempotentPaths: string[];
}

export interface ModelRecord {
  service: string;
  /** Name of the version record in use. */
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
  /** Name in the weight store. */
  weight: string;
}

export interface TeamRecord {
  /** SHA-256 checksums of the team's keys. */
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

/** Describes a class of batch jobs; submissions name it in their `job` field. */
export interface JobClassRecord {
  team: string;
  model: string;
  adapter?: string;
  /** Time from submission until the job is due. */
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
