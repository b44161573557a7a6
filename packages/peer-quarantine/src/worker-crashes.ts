/** Ids of worker crashes as this VM names them. Times are passed in. */

/** Losses at one worker within this time are due to one crash; a worker takes seconds to be back. */
const SAME_CRASH_MS = 1000;

/** Crashes are forgotten after this time, which is longer than they are reported. */
const RETENTION_MS = 1_200_000;

const ID_PATTERN = /^(.+)@(-?\d+(?:\.\d+)?)$/;

export class WorkerCrashes {
  /** Times of the crashes by worker. */
  private readonly crashes = new Map<string, number[]>();

  /** Returns the id of the crash of a worker at a time, which is the same for all of its losses. */
  identify(workerId: string, at: number, now: number): string {
    this.prune(now);
    const times = this.crashes.get(workerId) ?? [];
    const known = times.find((time) => Math.abs(time - at) < SAME_CRASH_MS);
    if (known !== undefined) return `${workerId}@${known}`;
    this.crashes.set(workerId, [...times, at]);
    return `${workerId}@${at}`;
  }

  /**
   * Replaces the crash ids in a report in JSON by those of this VM. Clocks of VMs start at different times;
   * `offsetMs` is this VM's time minus that of the writer.
   */
  translate(report: string, offsetMs: number, now: number): string {
    try {
      const parsed: unknown = JSON.parse(report, (_key, value: unknown) => {
        const [, workerId, at] = typeof value === 'string' ? (ID_PATTERN.exec(value) ?? []) : [];
        if (workerId === undefined) return value;
        return this.identify(workerId, Math.round(Number(at) + offsetMs), now);
      });
      return JSON.stringify(parsed);
    } catch {
      // The reader of the report logs what it cannot read.
      return report;
    }
  }

  private prune(now: number): void {
    for (const [workerId, times] of this.crashes) {
      const recent = times.filter((time) => now - time < RETENTION_MS);
      if (recent.length === 0) this.crashes.delete(workerId);
      else if (recent.length < times.length) this.crashes.set(workerId, recent);
    }
  }
}
