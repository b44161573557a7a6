/** What the attempts of one request tell the quarantine. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { Quarantine } from '@jujubelanding/interfaces';
import type { Timer } from '@jujubelanding/timer';

export class CrashWatch {
  /** Number of attempts that a worker's crash ended before any of the answer. */
  losses = 0;

  private sentAt = 0;

  private firstDataAt: number | undefined;

  private probe: ReturnType<Quarantine['takeProbe']>;

  private readonly parts: readonly string[];

  constructor(
    private readonly timer: Pick<Timer, 'now'>,
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
    this.sentAt = this.timer.now();
    this.firstDataAt = undefined;
    this.probe = this.quarantine.takeProbe(this.parts);
  }

  /** Records that the attempt has begun to receive its answer; may be called for each part of it. */
  recordAnswer(): void {
    if (this.firstDataAt !== undefined) return;
    this.firstDataAt = this.timer.now();
    this.quarantine.recordAnswer(this.parts);
  }

  recordCompletion(): void {
    this.recordAnswer();
    this.quarantine.recordCompletion(this.requestKey);
  }

  recordFault(workerId: string, { code, outcome }: Fault): void {
    if (outcome === Outcome.NotRun) this.probe?.giveBack();
    if (code !== FaultCode.Interrupted || outcome === Outcome.NotRun) return;
    const { sentAt, firstDataAt } = this;
    if (firstDataAt !== undefined) {
      this.quarantine.recordCut(workerId, this.requestKey, { sentAt, firstDataAt });
      return;
    }
    this.losses += 1;
    this.quarantine.recordLoss(workerId, this.parts, this.requestKey, sentAt);
  }
}
