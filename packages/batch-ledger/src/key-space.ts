/** Store keys of batch jobs. */

const NUMBER_DIGITS = 5;

const padNumber = (value: number): string => String(value).padStart(NUMBER_DIGITS, '0');

const JOB_PREFIX = 'job/';
const LEDGER_PREFIX = 'ledger/';
const OWNER_PREFIX = 'owner/';
const QUOTA_PREFIX = 'quota/';

export enum KeyKind {
  Job = 'job',
  Ledger = 'ledger',
  Owner = 'owner',
}

const KIND_BY_PREFIX: readonly [string, KeyKind][] = [
  [JOB_PREFIX, KeyKind.Job],
  [LEDGER_PREFIX, KeyKind.Ledger],
  [OWNER_PREFIX, KeyKind.Owner],
];

/**
 * Builds and parses store keys. Every entry VM follows all keys under the followed prefix. Outputs,
 * progress and the requests of items are larger, so they are under a prefix of their own and are read on
 * demand.
 */
export class KeySpace {
  constructor(
    readonly followedPrefix: string,
    private readonly onDemandPrefix: string,
  ) {}

  job(jobId: string): string {
    return `${this.followedPrefix}${JOB_PREFIX}${jobId}`;
  }

  ledger(jobId: string): string {
    return `${this.followedPrefix}${LEDGER_PREFIX}${jobId}`;
  }

  owner(jobId: string): string {
    return `${this.followedPrefix}${OWNER_PREFIX}${jobId}`;
  }

  /** Counter of the tokens of accepted jobs of a route. */
  quota(quotaId: string): string {
    return `${this.followedPrefix}${QUOTA_PREFIX}${quotaId}`;
  }

  /** Returns the quota id of a counter's key. */
  parseQuota(key: string): string | undefined {
    const prefix = this.quota('');
    return key.startsWith(prefix) ? key.slice(prefix.length) : undefined;
  }

  progressDeltas(jobId: string): string {
    return `${this.onDemandPrefix}progress/${jobId}/`;
  }

  /** Keys of deltas sort in the order in which the deltas were written. */
  progressDelta(jobId: string, sequence: number): string {
    return `${this.progressDeltas(jobId)}${padNumber(sequence)}`;
  }

  /** Requests of the job's items. */
  requests(jobId: string): string {
    return `${this.onDemandPrefix}requests/${jobId}`;
  }

  outputs(jobId: string): string {
    return `${this.onDemandPrefix}output/${jobId}/`;
  }

  /** Keys of outputs sort by the position of the result in the ledger. */
  output(jobId: string, position: number): string {
    return `${this.outputs(jobId)}${padNumber(position)}`;
  }

  /** Returns the job id and the kind of a followed key. */
  parse(key: string): { kind: KeyKind; jobId: string } | undefined {
    if (!key.startsWith(this.followedPrefix)) return undefined;
    const rest = key.slice(this.followedPrefix.length);
    const kind = KIND_BY_PREFIX.find(([prefix]) => rest.startsWith(prefix));
    return kind === undefined ? undefined : { kind: kind[1], jobId: rest.slice(kind[0].length) };
  }
}
