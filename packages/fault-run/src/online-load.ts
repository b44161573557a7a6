/** Streams online answers through all entry VMs and tells whole from cut-off ones. */
import { setTimeout as sleep } from 'node:timers/promises';
import { Session } from '@jujubelanding/quickstart';
import { type EntryPointList, repeat } from './callers.js';

const STREAMS = 6;

const MAX_TOKENS = 24;

const PAUSE_MS = 50;

export enum OnlineOutcome {
  Whole = 'whole',
  /** Refused as not-run. */
  Refused = 'refused',
  /** Cut off or failed at an entry VM that was stopped or killed. */
  Lost = 'lost',
  /** Cut off, failed or shortened at an entry VM that no fault affected. */
  Wrong = 'wrong',
}

export class OnlineLoad {
  readonly counts: Record<OnlineOutcome, number> = { whole: 0, refused: 0, lost: 0, wrong: 0 };

  readonly problems: string[] = [];

  private number = 0;

  constructor(private readonly entryPoints: EntryPointList) {}

  /** Starts the load; the result stops it. */
  start(): () => Promise<void> {
    return repeat(STREAMS, async () => {
      await this.ask();
      await sleep(PAUSE_MS);
    });
  }

  private async ask(): Promise<void> {
    const entryVm = this.entryPoints.choose();
    this.number += 1;
    const question = `fit question ${this.number}`;
    const wasAffected = this.entryPoints.affected.has(entryVm.name);
    const session = new Session([entryVm.listening.callerAddress!]);
    const fault = await session.streamAnswer(question, MAX_TOKENS).then(
      ({ isWhole, tokens }) =>
        isWhole && tokens === MAX_TOKENS ? undefined : `whole=${isWhole} tokens=${tokens}`,
      (thrown: unknown) => String(thrown),
    );
    const isAffected = wasAffected || this.entryPoints.affected.has(entryVm.name);
    this.record(fault, entryVm.name, isAffected);
  }

  private record(fault: string | undefined, entryVmId: string, isAffected: boolean): void {
    if (fault === undefined) this.counts.whole += 1;
    else if (fault.includes('"outcome":"not-run"')) this.counts.refused += 1;
    else if (isAffected) this.counts.lost += 1;
    else {
      this.counts.wrong += 1;
      this.problems.push(`online at ${entryVmId}: ${fault}`);
    }
  }
}
