import type { Member } from '@jujubelanding/types';

/** Datagrams between entry VMs: may be lost, repeated or reordered. */
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

/** Asks the receiver to answer at once; carries membership updates. */
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

/** Online requests that the sender has in progress on workers of one shard owner. */
export interface OnlineNotice {
  kind: DatagramKind.OnlineNotice;
  from: string;
  bootId: string;
  /** Grows with each notice of a sender; older notices are discarded. */
  sequence: number;
  /** Worker id to requests in progress; a full notice lists all that are not zero. */
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

/** Answer to an online notice: totals over all entry VMs. */
export interface WorkerTotals {
  kind: DatagramKind.WorkerTotals;
  from: string;
  totals: WorkerTotal[];
  /** Highest notice sequence of the receiver that the totals include. */
  includedSequence?: number;
}

/**
 * Use of one team's limits on the sender. Rates and tokens are in thousandths, because integers need
 * fewer bytes; there are no field names, because a request lists many teams.
 */
export type TeamUsage = [
  team: string,
  demandPerSecond: number,
  inFlight: number,
  /** Requests in progress and those refused lately. */
  wantedInFlight: number,
  /** Requests admitted in all, so that a lost request loses none. */
  admitted: number,
  /** Tokens that would fill the sender's bucket. */
  wantedTokens: number,
  /** Grant in force at the sender; 0 without one. */
  heldPerSecond: number,
  heldConcurrency: number,
];

/** Asks a shard owner for shares of the limits of some of its teams. */
export interface LimitRequest {
  kind: DatagramKind.LimitRequest;
  from: string;
  bootId: string;
  /** Grows with each request of a sender; older requests are discarded. */
  sequence: number;
  teams: TeamUsage[];
}

/** Share of a team's limits for one entry VM; rate and tokens in thousandths. */
export type TeamShare = [
  requestsPerSecond: number,
  concurrency: number,
  /** Tokens to be added at once. */
  advance: number,
];

/** Answers a limit request, or recalls shares that another entry VM lacks. */
export interface LimitAnswer {
  kind: DatagramKind.LimitAnswer;
  from: string;
  /** Sequence of the request; left out when shares are recalled. */
  sequence?: number;
  validMs: number;
  /** In the order of the request; null for a team that the sender does not own. */
  shares: (TeamShare | null)[];
  /** Teams for which the receiver should ask again at once. */
  recalled?: string[];
}

/** Shard, job id, chunk and grant id; without field names, because a notice lists up to 16. */
export type ListedGrant = [shard: number, jobId: string, chunk: number, grantId: string];

/** Tells an owner VM which of its chunks the sender has in work. */
export interface ProgressNotice {
  kind: DatagramKind.ProgressNotice;
  /** Entry VM id of the executor. */
  from: string;
  sequence: number;
  /** Number of the list of grants; a changed list has a new number. */
  list: number;
  /** Left out once the owner has answered for this list. */
  grants?: ListedGrant[];
}

/** Answers a progress notice; grants that are not named continue. */
export interface ProgressAnswer {
  kind: DatagramKind.ProgressAnswer;
  from: string;
  sequence: number;
  /** Set when the owner doesn't have the list; nothing was judged then. */
  isListMissing?: true;
  /** Positions in the list of the grants that must stop. */
  stopped?: number[];
  /** Positions of the grants for whose shard the receiver is not ready. */
  unjudged?: number[];
}

/** Tells an executor to stop chunks at once; a lost one is made up for by the next answer. */
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
