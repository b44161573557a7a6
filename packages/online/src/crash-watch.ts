/** What the attempts of one request tell the quarantine. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { Quarantine } from '@jujubelanding/interfaces';

export class CrashWatch {
  /** Number of attempts that a worker's crash ended before any of the answer. */
  losses = 0;

  private hasAnswer = false;

  constructor(
    private readonly quarantine: Quarantine,
    /** Prefix hashes of the prompt, and last the key of the whole request. */
    private readonly parts: readonly string[],
  ) {}

  findBlock(): Fault | undefined {
    return this.quarantine.findBlock(this.parts);
  }

  beginAttempt(): void {
    this.hasAnswer = false;
  }

  /** Records that the attempt has begun to receive its answer; may be called for each part of it. */
  recordAnswer(): void {
    if (this.hasAnswer) return;
    this.hasAnswer = true;
    this.quarantine.recordAnswer(this.parts);
  }

  recordFault(workerId: string, { code, outcome }: Fault): void {
    const isLoss = code === FaultCode.Interrupted && outcome !== Outcome.NotRun;
    if (!isLoss || this.hasAnswer) return;
    this.losses += 1;
    this.quarantine.recordLoss(workerId, this.parts);
  }
}
