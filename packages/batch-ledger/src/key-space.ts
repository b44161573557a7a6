/** Keys of batch jobs in the store. */

const NUMBER_DIGITS = 5;

const toDigits = (value: number): string => String(value).padStart(NUMBER_DIGITS, '0');

const JOBS = 'job/';
const LEDGERS = 'ledger/';
const OWNERS = 'owner/';

export enum KeyKind {
  Job = 'job',
  Ledger = 'ledger',
  Owner = 'owner',
}

const PREFIXES: readonly [string, KeyKind][] = [
  [JOBS, KeyKind.Job],
  [LEDGERS, KeyKind.Ledger],
  [OWNERS, KeyKind.Owner],
];

/**
 * Everything under the followed prefix reaches every entry VM; outputs and progress are larger and are
 * read on demand.
 */
export class KeySpace {
  constructor(
    readonly followedPrefix: string,
    private readonly demandPrefix: string,
  ) {}

  job(jobId: string): string {
    return `${this.followedPrefix}${JOBS}${jobId}`;
  }

  ledger(jobId: string): string {
    return `${this.followedPrefix}${LEDGERS}${jobId}`;
  }

  owner(jobId: string): string {
    return `${this.followedPrefix}${OWNERS}${jobId}`;
  }

  progressParts(jobId: string): string {
    return `${this.demandPrefix}progress/${jobId}/`;
  }

  /** Parts sort in the order in which they were written. */
  progressPart(jobId: string, sequence: number): string {
    return `${this.progressParts(jobId)}${toDigits(sequence)}`;
  }

  outputs(jobId: string): string {
    return `${this.demandPrefix}output/${jobId}/`;
  }

  /** Outputs sort by the position at which they are listed. */
  output(jobId: string, position: number): string {
    return `${this.outputs(jobId)}${toDigits(position)}`;
  }

  /** Returns the job and the kind of a followed key. */
  parse(key: string): { kind: KeyKind; jobId: string } | undefined {
    if (!key.startsWith(this.followedPrefix)) return undefined;
    const rest = key.slice(this.followedPrefix.length);
    const kind = PREFIXES.find(([prefix]) => rest.startsWith(prefix));
    return kind === undefined ? undefined : { kind: kind[1], jobId: rest.slice(kind[0].length) };
  }
}
