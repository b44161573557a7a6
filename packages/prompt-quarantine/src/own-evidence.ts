import type { VmEvidence } from './crash-evidence.js';
import { OwnReport } from './own-report.js';

/** Crashes and answers are reported for this long. */
const REPORT_MS = 60_000;

/** Maximum number of crashes, and of parts with answers, in a report. */
const MAX_ENTRIES = 32;

/** Joins the parts of a request; ids of parts contain no commas. */
const SEPARATOR = ',';

/** What this VM reports to the others. */
export class OwnEvidence {
  private readonly crashes = new OwnReport(REPORT_MS, MAX_ENTRIES);

  private readonly answers = new OwnReport(REPORT_MS, MAX_ENTRIES);

  /** Returns true if the report changes. */
  addLoss(crashId: string, parts: readonly string[], now: number): boolean {
    return this.crashes.add(crashId, [parts.join(SEPARATOR)], now);
  }

  /** Returns true if the report changes. */
  addAnswer(part: string, crashIds: readonly string[], now: number): boolean {
    return this.answers.add(part, crashIds, now);
  }

  /** Returns true if the report changes. */
  prune(now: number): boolean {
    return [this.crashes, this.answers].map((report) => report.prune(now)).includes(true);
  }

  report(now: number): Omit<VmEvidence, 'requests'> {
    const crashes = this.crashes
      .list(now)
      .map(([id, requests]): [string, string[][]] => [
        id,
        requests.map((parts) => parts.split(SEPARATOR)),
      ]);
    return { crashes, answers: this.answers.list(now) };
  }
}
