/** Streams online answers through all entry VMs and counts complete, refused and truncated ones. */
import { setTimeout as sleep } from 'node:timers/promises';
import { Session } from '@jujubelanding/quickstart';
import { type EntryPointList, repeatInParallel } from './entry-point-list.js';

const STREAM_COUNT = 6;

const MAX_TOKENS = 24;

const PAUSE_MS = 50;

export enum OnlineOutcome {
  Whole = 'whole',
  /** Refused as not-run. */
  Refused = 'refused',
  /** Cut off, failed or truncated at an entry VM that a fault affected. */
  Lost = 'lost',
  /** Cut off, failed or truncated at an entry VM that no fault affected. */
  Wrong = 'wrong',
}

export class OnlineLoad {
  readonly counts: Record<OnlineOutcome, number> = { whole: 0, refused: 0, lost: 0, wrong: 0 };

  readonly problems: string[] = [];

  private questionCount = 0;

  constructor(private readonly entryPoints: EntryPointList) {}

  /** Starts the load; the returned function stops it. */
  start(): () => Promise<void> {
    return repeatInParallel(STREAM_COUNT, async () => {
      await this.askQuestion();
      await sleep(PAUSE_MS);
    });
  }

  private async askQuestion(): Promise<void> {
    const entryVm = this.entryPoints.chooseNext();
    this.questionCount += 1;
    const question = `fit question ${this.questionCount}`;
    const wasAffected = this.entryPoints.affectedEntryVms.has(entryVm.name);
    const session = new Session([entryVm.listening.callerAddress!]);
    const problem = await session.streamCompletion(question, MAX_TOKENS).then(
      ({ isComplete, tokens }) =>
        isComplete && tokens === MAX_TOKENS
          ? undefined
          : `the stream ended with isComplete=${isComplete} tokens=${tokens}`,
      (thrown: unknown) => String(thrown),
    );
    const isAffected = wasAffected || this.entryPoints.affectedEntryVms.has(entryVm.name);
    this.recordOutcome(problem, entryVm.name, isAffected);
  }

  private recordOutcome(problem: string | undefined, entryVmId: string, isAffected: boolean): void {
    if (problem === undefined) this.counts.whole += 1;
    else if (problem.includes('"outcome":"not-run"')) this.counts.refused += 1;
    else if (isAffected) this.counts.lost += 1;
    else {
      this.counts.wrong += 1;
      this.problems.push(`online at ${entryVmId}: ${problem}`);
    }
  }
}
