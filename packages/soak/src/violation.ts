/** Invariants and their violations. */

export enum Invariant {
  ResultOnce = 'one result per accepted item, unchanged',
  AcceptedKept = 'an accepted job is never lost',
  ResendSame = 'a resent job returns the first one',
  AtMostOnce = 'a non-idempotent request runs at most once',
  NotRun = 'a request refused as not-run did not run',
  WholeAnswer = 'an answer is whole and belongs to its request',
  LeavingWorker = 'no dispatch to a leaving worker past the bound',
  CancelledJob = 'no dispatch of a cancelled job past the bound',
  MonotonicConfiguration = 'configuration in force never goes back',
  ConfigurationEverywhere = 'configuration is in force everywhere within the bound',
  AcceptedRecordKept = 'an accepted record write is never lost',
  OneWinner = 'of operators with the same expected revision at most one wins',
  BatchLimit = 'batch streams never exceed the slots of a worker',
  Fencing = 'no batch dispatch under an older fencing number',
  PlannedStop = 'a planned stop cuts off no request',
  Completion = 'accepted jobs complete once faults have ended',
  Recoverable = 'a segment of an accepted job keeps a good copy',
  CopiesStored = 'a written segment is on every disk that its reference names',
  CopiesRepaired = 'segments have two good copies once faults have ended',
  ResultsReadable = 'results that were committed stay readable',
  DispatchWithLease = 'no batch dispatch without the key-value service past the lease',
  SideServes = 'a side of a separation answers with its own workers',
  LoadWithWeightStore = 'no load is ordered while the weight store does not answer',
  PlacementDone = 'models and adapters are loaded once faults have ended',
  NoException = 'no promise is rejected unhandled',
}

export interface Violation {
  invariant: Invariant;
  timeMs: number;
  detail: string;
}

/** Collects violations, at most one for each invariant and subject. */
export class Violations {
  readonly list: Violation[] = [];

  private readonly reportedKeys = new Set<string>();

  constructor(private readonly now: () => number) {}

  report(invariant: Invariant, subject: string, detail: string): void {
    const key = `${invariant}|${subject}`;
    if (this.reportedKeys.has(key)) return;
    this.reportedKeys.add(key);
    this.list.push({ invariant, timeMs: this.now(), detail: `${subject}: ${detail}` });
  }
}
