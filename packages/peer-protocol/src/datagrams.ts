import type { Member } from '@jujubelanding/types';

/** Datagrams between entry VMs: may be lost, repeated or reordered. */
export enum DatagramKind {
  Probe = 'probe',
  ProbeReply = 'probeReply',
  ProbeRequest = 'probeRequest',
  OnlineNotice = 'onlineNotice',
  WorkerTotals = 'workerTotals',
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

export type Datagram = Probe | ProbeReply | ProbeRequest | OnlineNotice | WorkerTotals;
