/** Decides from the reports of all entry VMs which requests crash the workers that begin to run them. */

/** Crashes after which the VMs report answers to a request. */
const CRASHES_OF_SUSPECT = 2;

/** Crashes after which a request counts as dangerous if no VM has seen an answer to it. */
const CRASHES_OF_NEW_REQUEST = 3;

/**
 * The same for a request that was answered before these crashes. Some requests are sent by many callers, so
 * one of them is in progress at any crash.
 */
const CRASHES_OF_ANSWERED_REQUEST = 5;

/** The same for a request that was blocked before and not answered since. */
const CRASHES_OF_CONVICTED_REQUEST = 1;

/** Time between the last crash needed and the decision, in which other VMs report answers. */
const CONFIRMATION_MS = 1000;

/** Callers may send a request again after a long time. */
const EVIDENCE_LIFETIME_MS = 600_000;

/** A request that was blocked needs one more crash to be blocked again for this long. */
const CONVICTION_LIFETIME_MS = 86_400_000;

/** Maximum number of requests that are remembered; the least recent ones are forgotten. */
const MAX_REQUESTS = 2000;

interface Suspect {
  /** By crash id, oldest first; the time at which this VM learned of the crash. */
  crashes: Map<string, number>;
  /** Crashes that are known to have another cause, because an answer came after them. */
  cleared: Set<string>;
  hasAnswer: boolean;
  lastLostAt: number;
}

/** A request that counted as dangerous. */
interface Conviction {
  at: number;
  /** Crashes known at that time; an answer that clears one of them clears the request. */
  crashIds: readonly string[];
}

/** Crashes by request, as reported by all VMs. */
export class RequestEvidence {
  private readonly suspects = new Map<string, Suspect>();

  /** Crashes that a dangerous request explains, with the time at which they were explained. */
  private readonly explained = new Map<string, number>();

  /** By request, oldest first. */
  private readonly convictions = new Map<string, Conviction>();

  get isEmpty(): boolean {
    return this.suspects.size === 0;
  }

  /** Records that a request was lost at a crash before it had received any of its answer. */
  addLoss(request: string, crashId: string, now: number): void {
    if (this.explained.has(crashId)) return;
    const suspect = this.take(request, now);
    if (!suspect.crashes.has(crashId)) suspect.crashes.set(crashId, now);
    this.put(request, { ...suspect, lastLostAt: now });
  }

  /** Records an answer to the request; the crashes known before it have another cause. */
  addAnswer(request: string, crashIds: readonly string[], now: number): void {
    const suspect = this.take(request, now);
    crashIds.forEach((id) => suspect.cleared.add(id));
    this.put(request, { ...suspect, hasAnswer: true });
    const known = this.convictions.get(request)?.crashIds ?? [];
    const isCleared = known.length === 0 || known.some((id) => crashIds.includes(id));
    if (isCleared) this.convictions.delete(request);
  }

  /** Ids of the crashes of the request that no answer has cleared. */
  listOpenCrashes(request: string): string[] {
    return this.listCrashes(request).map(([id]) => id);
  }

  /** Ids of the crashes that an answer now clears, with those for which the request was blocked. */
  listClearedByAnswer(request: string): string[] {
    const convicting = this.convictions.get(request)?.crashIds ?? [];
    return [...convicting, ...this.listOpenCrashes(request)];
  }

  /** True if the request was lost at a crash and not answered since. */
  isOpen(request: string): boolean {
    return this.convictions.has(request) || this.listCrashes(request).length > 0;
  }

  /** True if answers to the request matter to other VMs. */
  isSuspected(request: string): boolean {
    return (this.suspects.get(request)?.crashes.size ?? 0) >= CRASHES_OF_SUSPECT;
  }

  listSuspected(): string[] {
    return [...this.suspects.keys()].filter((request) => this.isSuspected(request));
  }

  /**
   * Time until it is decided whether the request is dangerous; undefined if it has too few crashes, also with
   * those that are not confirmed yet.
   */
  undecidedMs(
    request: string,
    now: number,
    unconfirmed: readonly string[] = [],
  ): number | undefined {
    const crashes = this.listCrashes(request);
    const needed = this.countNeeded(request);
    const last = crashes[needed - 1];
    if (last !== undefined) return Math.max(0, last[1] + CONFIRMATION_MS - now);
    const others = unconfirmed.filter((id) => this.isUnknown(request, id));
    return crashes.length + others.length >= needed ? CONFIRMATION_MS : undefined;
  }

  /**
   * Returns the dangerous requests with most crashes; they are several if they were lost at the same ones,
   * so that the evidence does not tell which of them is dangerous.
   */
  findDangerous(now: number): string[] {
    const [strongest, ...rest] = [...this.suspects.keys()]
      .filter((request) => this.undecidedMs(request, now) === 0)
      .toSorted((a, b) => this.listCrashes(b).length - this.listCrashes(a).length);
    if (strongest === undefined) return [];
    const crashIds = String(this.listOpenCrashes(strongest));
    const equals = rest.filter((request) => String(this.listOpenCrashes(request)) === crashIds);
    return [strongest, ...equals].toSorted();
  }

  /** Removes the crashes that dangerous requests explain, so that others are not blamed for them. */
  explain(requests: readonly string[], now: number): void {
    const crashIds = requests.flatMap((request) => this.listOpenCrashes(request));
    requests.forEach((request) => this.convict(request, now));
    for (const id of crashIds) {
      this.explained.set(id, now);
      this.suspects.forEach(({ crashes }) => crashes.delete(id));
    }
  }

  prune(now: number): void {
    for (const [request, { at }] of this.convictions) {
      if (now - at > CONVICTION_LIFETIME_MS) this.convictions.delete(request);
    }
    for (const [request, { lastLostAt }] of this.suspects) {
      if (now - lastLostAt > EVIDENCE_LIFETIME_MS) this.suspects.delete(request);
    }
    for (const [id, at] of this.explained) {
      if (now - at > EVIDENCE_LIFETIME_MS) this.explained.delete(id);
    }
  }

  private convict(request: string, now: number): void {
    const crashIds = this.listClearedByAnswer(request);
    this.suspects.delete(request);
    this.convictions.delete(request);
    this.convictions.set(request, { at: now, crashIds });
    const [oldest] = this.convictions.keys();
    if (this.convictions.size > MAX_REQUESTS) this.convictions.delete(oldest!);
  }

  private countNeeded(request: string): number {
    if (this.convictions.has(request)) return CRASHES_OF_CONVICTED_REQUEST;
    const hasAnswer = this.suspects.get(request)?.hasAnswer === true;
    return hasAnswer ? CRASHES_OF_ANSWERED_REQUEST : CRASHES_OF_NEW_REQUEST;
  }

  /** Removes the entry of a request, so that it can be entered again as the newest one. */
  private take(request: string, now: number): Suspect {
    const suspect = this.suspects.get(request);
    this.suspects.delete(request);
    return suspect ?? { crashes: new Map(), cleared: new Set(), hasAnswer: false, lastLostAt: now };
  }

  private put(request: string, suspect: Suspect): void {
    this.suspects.set(request, suspect);
    const [oldest] = this.suspects.keys();
    if (this.suspects.size > MAX_REQUESTS) this.suspects.delete(oldest!);
  }

  /** True for a crash that no report has connected with the request. */
  private isUnknown(request: string, crashId: string): boolean {
    const suspect = this.suspects.get(request);
    return !this.explained.has(crashId) && suspect?.crashes.has(crashId) !== true;
  }

  private listCrashes(request: string): [string, number][] {
    const suspect = this.suspects.get(request);
    if (suspect === undefined) return [];
    return [...suspect.crashes].filter(([id]) => !suspect.cleared.has(id));
  }
}
