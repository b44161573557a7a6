import type { RequestReport } from './crash-evidence.js';
import { OwnReport } from './own-report.js';
import { PendingLosses } from './pending-losses.js';
import { RecentAnswers } from './recent-answers.js';
import { RequestEvidence } from './request-evidence.js';

/** Requests are reported as long as callers may send them again. */
const REPORT_MS = 600_000;

/** Maximum number of lost requests, and of answered ones, in a report. */
const MAX_REPORTED = 32;

/** Key of a request, and the id of the crash at which it was lost. */
export type RequestLoss = [request: string, crashId: string];

/** Requests that may crash workers: what this VM has seen of them and what the others have reported. */
export class RequestSuspects {
  private readonly evidence = new RequestEvidence();

  private readonly pending = new PendingLosses();

  private readonly answered = new RecentAnswers();

  private readonly ownLosses = new OwnReport(REPORT_MS, MAX_REPORTED);

  private readonly ownAnswers = new OwnReport(REPORT_MS, MAX_REPORTED);

  /** Records a loss, on any VM, of which it is not known yet whether the worker has crashed. */
  suspect(loss: RequestLoss, now: number): void {
    this.pending.add(loss, now);
  }

  /** Removes a suspicion; the worker goes on, or the loss has become evidence. */
  resolve(loss: RequestLoss): void {
    this.pending.remove(loss);
  }

  /** Returns true if the report changes. */
  recordLoss(request: string, crashId: string, now: number): boolean {
    this.evidence.addLoss(request, crashId, now);
    return this.ownLosses.add(request, [crashId], now);
  }

  /** Records losses that another VM has announced. */
  addLosses(lost: readonly RequestLoss[], now: number): void {
    lost.forEach(([request, crashId]) => this.evidence.addLoss(request, crashId, now));
  }

  /** Returns true if the report changes. */
  recordAnswer(request: string, now: number): boolean {
    this.answered.add([request]);
    this.pending.clear(request);
    if (!this.evidence.isOpen(request)) return false;
    const crashIds = this.evidence.listClearedByAnswer(request);
    this.evidence.addAnswer(request, crashIds, now);
    return this.ownAnswers.add(request, crashIds, now);
  }

  hasOpenCrash(request: string, crashId: string): boolean {
    return this.evidence.listOpenCrashes(request).includes(crashId);
  }

  /** Clears the request of a crash that was before an answer; returns true if the report changes. */
  clearCrash(request: string, crashId: string, now: number): boolean {
    this.evidence.addAnswer(request, [crashId], now);
    return this.ownAnswers.add(request, [crashId], now);
  }

  apply({ lost, answered }: RequestReport, now: number): void {
    lost.forEach(([request, crashIds]) =>
      crashIds.forEach((id) => this.evidence.addLoss(request, id, now)),
    );
    answered.forEach(([request, crashIds]) => this.evidence.addAnswer(request, crashIds, now));
  }

  /**
   * Adds the suspected requests to the report that this VM has seen answered before the crashes; returns true
   * if the report changes.
   */
  reportAnswered(now: number): boolean {
    const known = this.evidence.listSuspected().filter((request) => this.answered.has(request));
    return known
      .map((request) => {
        const isExpected = this.answered.isExpected(request);
        const cleared = isExpected ? this.evidence.listOpenCrashes(request) : [];
        this.evidence.addAnswer(request, cleared, now);
        return this.ownAnswers.add(request, cleared, now);
      })
      .includes(true);
  }

  /** True if the request was lost, perhaps at a crash, and not answered since. */
  isOpen(request: string, now: number): boolean {
    return this.evidence.isOpen(request) || this.pending.list(request, now).length > 0;
  }

  /**
   * Time until it is decided whether the request is dangerous; undefined if it has too few crashes. Losses
   * that may be crashes count until this is known, so that no further worker gets the request meanwhile.
   */
  undecidedMs(request: string, now: number): number | undefined {
    return this.evidence.undecidedMs(request, now, this.pending.list(request, now));
  }

  /** Returns the requests that have become dangerous. */
  findDangerous(now: number): string[] {
    this.evidence.prune(now);
    this.pending.prune(now);
    const all: string[] = [];
    let found = this.evidence.findDangerous(now);
    while (found.length > 0) {
      all.push(...found);
      this.evidence.explain(found, now);
      found = this.evidence.findDangerous(now);
    }
    return all;
  }

  /** Removes the crashes of a request that another VM has blocked. */
  explain(request: string, now: number): void {
    this.evidence.explain([request], now);
  }

  /** Removes what is no longer reported; returns true if the report changes. */
  pruneReport(now: number): boolean {
    return [this.ownLosses, this.ownAnswers].map((report) => report.prune(now)).includes(true);
  }

  report(now: number): RequestReport {
    return { lost: this.ownLosses.list(now), answered: this.ownAnswers.list(now) };
  }
}
