import type { Member } from '@jujubelanding/types';

/** Kinds of datagrams between entry VMs. Datagrams may be lost, duplicated or reordered. */
export enum DatagramKind {
  Probe = 'probe',
  ProbeReply = 'probeReply',
  ProbeRequest = 'probeRequest',
  OnlineNotice = 'onlineNotice',
  WorkerTotals = 'workerTotals',
  LimitRequest = 'limitRequest',
  LimitAnswer = 'limitAnswer',
  ProgressNotice = 'progressNotice',
  ProgressAnswer = 'progressAnswer',
  GrantStop = 'grantStop',
}

/** Asks the receiver for an immediate reply; carries membership updates. */
export interface Probe {
  kind: DatagramKind.Probe;
  sequence: number;
  from: string;
  updates: Member[];
}

export interface ProbeReply {
  kind: DatagramKind.ProbeReply;
  sequence: number;
  from: string;
  updates: Member[];
}

/** Asks the receiver to probe another member on behalf of the sender. */
export interface ProbeRequest {
  kind: DatagramKind.ProbeRequest;
  sequence: number;
  from: string;
  target: string;
  targetAddress: string;
  updates: Member[];
}

/** Reports the sender's online requests in progress on the workers of one shard owner. */
export interface OnlineNotice {
  kind: DatagramKind.OnlineNotice;
  from: string;
  bootId: string;
  /** Increases with each notice of a sender; older notices are discarded. */
  sequence: number;
  /** Requests in progress by worker id; a full notice lists all non-zero counts. */
  inFlight: Record<string, number>;
  full: boolean;
}

/** Load of one worker, as counted by its shard owner. */
export interface WorkerTotal {
  workerId: string;
  online: number;
  batch: number;
  slots: number;
}

/** Reply to an online notice: load of workers, summed over all entry VMs. */
export interface WorkerTotals {
  kind: DatagramKind.WorkerTotals;
  from: string;
  totals: WorkerTotal[];
  /** Sequence of the receiver's latest notice that the totals include. */
  includedSequence?: number;
}

/**
 * Usage of one team's limits on the sender. Rates and tokens are in thousandths, because integers are
 * encoded in fewer bytes. A tuple avoids repeating field names for each of the many teams of a request.
 */
export type TeamUsage = [
  team: string,
  demandPerSecond: number,
  inFlight: number,
  /** Requests in progress plus those recently rejected. */
  wantedInFlight: number,
  /** Cumulative number of admitted requests, so that a lost datagram loses none of them. */
  admitted: number,
  /** Tokens that would fill the sender's bucket. */
  wantedTokens: number,
  /** Share that the sender currently holds; 0 if it has none. */
  heldPerSecond: number,
  heldConcurrency: number,
];

/** Requests shares of the limits of teams that the receiver owns. */
export interface LimitRequest {
  kind: DatagramKind.LimitRequest;
  from: string;
  bootId: string;
  /** Increases with each request of a sender; older requests are discarded. */
  sequence: number;
  teams: TeamUsage[];
}

/** One entry VM's share of a team's limits; rate and tokens are in thousandths. */
export type TeamShare = [
  requestsPerSecond: number,
  concurrency: number,
  /** Tokens to add to the bucket immediately. */
  advance: number,
];

/** Answers a limit request, or recalls shares that another entry VM needs. */
export interface LimitAnswer {
  kind: DatagramKind.LimitAnswer;
  from: string;
  /** Sequence of the request; absent in a recall. */
  sequence?: number;
  validMs: number;
  /** In the order of the request; null for a team that the sender does not own. */
  shares: (TeamShare | null)[];
  /** Teams for which the receiver should send a new request immediately. */
  recalled?: string[];
}

/** A grant in a progress notice. A tuple avoids field names, because a notice lists up to 16 grants. */
export type ListedGrant = [shard: number, jobId: string, chunk: number, grantId: string];

/** Informs a shard owner which of its chunks the sender is executing. */
export interface ProgressNotice {
  kind: DatagramKind.ProgressNotice;
  /** Entry VM id of the executor. */
  from: string;
  sequence: number;
  /** Version number of the list of grants. */
  list: number;
  /** Absent once the owner has answered a notice with this list version. */
  grants?: ListedGrant[];
}

/** Answers a progress notice; grants that are not listed continue. */
export interface ProgressAnswer {
  kind: DatagramKind.ProgressAnswer;
  from: string;
  sequence: number;
  /** Set if the owner does not have this list version; then no grant was checked. */
  isListMissing?: true;
  /** Positions in the list of grants that must stop. */
  stopped?: number[];
  /** Positions of grants that were not checked, because the owner is not ready for their shard. */
  unjudged?: number[];
}

/**
 * Instructs an executor to stop chunks immediately; if it is lost, the next progress answer stops
 * them.
 */
export interface GrantStop {
  kind: DatagramKind.GrantStop;
  from: string;
  grantIds: string[];
}

export type Datagram =
  | Probe
  | ProbeReply
  | ProbeRequest
  | OnlineNotice
  | WorkerTotals
  | LimitRequest
  | LimitAnswer
  | ProgressNotice
  | ProgressAnswer
  | GrantStop;
