/** What the attempts of one request tell the quarantine. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { Quarantine } from '@jujubelanding/interfaces';

export class CrashWatch {
  /** Number of attempts that a worker's crash ended before any of the answer. */
  losses = 0;

  private hasAnswer = false;

  private readonly parts: readonly string[];

  constructor(
    private readonly quarantine: Quarantine,
    prefixes: readonly string[],
    private readonly requestKey: string,
  ) {
    this.parts = [...prefixes, requestKey];
  }

  findBlock(): Fault | undefined {
    return this.quarantine.findBlock(this.parts, this.requestKey);
  }

  beginAttempt(): void {
    this.hasAnswer = false;
  }

  /** Records that the attempt has begun to receive its answer; may be called for each part of it. */
  recordAnswer(): void {
    if (this.hasAnswer) return;
    this.hasAnswer = true;
    this.quarantine.recordAnswer(this.parts, this.requestKey);
  }

  recordFault(workerId: string, { code, outcome }: Fault): void {
    const isLoss = code === FaultCode.Interrupted && outcome !== Outcome.NotRun;
    if (!isLoss || this.hasAnswer) return;
    this.losses += 1;
    this.quarantine.recordLoss(workerId, this.parts, this.requestKey);
  }
}
