/** Decides from the reports of all entry VMs which prompt parts crash workers. */
import * as z from 'zod';

/** Crashes after which the VMs report answers to requests with a part. */
const CRASHES_OF_SUSPECT = 2;

/** Crashes after which a part counts as dangerous if no VM has seen an answer to a request with it. */
const CRASHES_OF_NEW_PART = 3;

/**
 * The same for a part with answers before these crashes. Such parts are in many prompts, so a few of them
 * are in progress at any crash, whatever its cause.
 */
const CRASHES_OF_ANSWERED_PART = 5;

/** The same for a part that is blocked in combination with others, because one of them is dangerous. */
const CRASHES_OF_AMBIGUOUS_PART = 2;

/**
 * Number of different requests that a dangerous part must have been in. A request that is sent again after a
 * loss is at several crashes with all its parts.
 */
const MIN_REQUESTS = 3;

/** A dangerous part is involved in at least this share of the crashes since its first one. */
const MIN_CRASH_SHARE = 0.5;

/** Time between the last crash needed and the decision, in which other VMs report answers. */
const CONFIRMATION_MS = 1000;

/** Crashes are forgotten after this time. */
const EVIDENCE_LIFETIME_MS = 60_000;

const requestReportSchema = z.object({
  /** Request, and the ids of the crashes at which it was lost before it received any of its answer. */
  lost: z.array(z.tuple([z.string(), z.array(z.string())])),
  /** Request with an answer, and the ids of its crashes known at that time. */
  answered: z.array(z.tuple([z.string(), z.array(z.string())])),
});

/** What one VM has seen of requests that are sent again. */
export type RequestReport = z.infer<typeof requestReportSchema>;

export const evidenceSchema = z.object({
  /** Crash id, and the parts of each request of this VM that had not begun to receive an answer. */
  crashes: z.array(z.tuple([z.string(), z.array(z.array(z.string()))])),
  /** Part that was in a request with an answer, and the ids of the crashes known at that time. */
  answers: z.array(z.tuple([z.string(), z.array(z.string())])),
  requests: requestReportSchema.default({ lost: [], answered: [] }),
});

/** What one VM has seen. */
export type VmEvidence = z.infer<typeof evidenceSchema>;

interface Crash {
  id: string;
  seenAt: number;
  /** The last parts of the lost requests, by shared part. */
  requests: Map<string, Set<string>>;
}

/** The last part belongs to the request or its session, so it does not identify other requests. */
export const selectShared = (parts: readonly string[]): readonly string[] => parts.slice(0, -1);

/** Crashes and answers as reported by all VMs; times are those at which this VM learned of them. */
export class CrashEvidence {
  /** By crash id, oldest first. */
  private readonly crashes = new Map<string, Crash>();

  /** Crashes that a dangerous part explains, with the time at which they were explained. */
  private readonly explained = new Map<string, number>();

  /** Time since which a part is blocked only in combination with others. */
  private readonly ambiguousSince = new Map<string, number>();

  /** Crashes for which a part is known to be harmless, because an answer came after them. */
  private readonly cleared = new Map<string, Set<string>>();

  /** Parts that were answered before some crash, with the time of the report. */
  private readonly answeredAt = new Map<string, number>();

  add({ crashes, answers }: Pick<VmEvidence, 'crashes' | 'answers'>, now: number): void {
    crashes.forEach(([id, requests]) => requests.forEach((parts) => this.addLoss(id, parts, now)));
    answers.forEach(([part, crashIds]) => this.addAnswer(part, crashIds, now));
  }

  /** Records that a request with these parts was lost at a crash. */
  addLoss(crashId: string, parts: readonly string[], now: number): void {
    if (this.explained.has(crashId)) return;
    const crash = this.crashes.get(crashId) ?? { id: crashId, seenAt: now, requests: new Map() };
    selectShared(parts).forEach((part) => {
      const requests = crash.requests.get(part) ?? new Set();
      crash.requests.set(part, requests.add(parts.at(-1)!));
    });
    this.crashes.set(crashId, crash);
  }

  /** Records an answer to a request with the part; the crashes known before it have another cause. */
  addAnswer(part: string, crashIds: readonly string[], now: number): void {
    const cleared = this.cleared.get(part) ?? new Set();
    crashIds.forEach((id) => cleared.add(id));
    this.cleared.set(part, cleared);
    if (crashIds.length > 0) this.ambiguousSince.delete(part);
    this.answeredAt.set(part, now);
  }

  /** Ids of the crashes with the part that no answer has cleared. */
  listOpenCrashes(part: string): string[] {
    return this.listCrashesWith(part).map(({ id }) => id);
  }

  /** Parts that are involved in several crashes, so that answers to requests with them matter. */
  listSuspected(): string[] {
    return this.listParts().filter((part) => this.isSuspected(part));
  }

  /** Also counts crashes of which this VM has cleared the part: other VMs may have seen no answer since. */
  isSuspected(part: string): boolean {
    const crashes = [...this.crashes.values()].filter(({ requests }) => requests.has(part));
    return crashes.length >= CRASHES_OF_SUSPECT;
  }

  /**
   * Returns the parts that are involved in most crashes, if they count as dangerous. They are several if
   * each crash involved all of them, so that the evidence does not tell which of them is dangerous.
   */
  findDangerous(now: number): string[] {
    const [strongest, ...rest] = this.listParts()
      .filter((part) => this.isDangerous(part, now))
      .toSorted((a, b) => this.listOpenCrashes(b).length - this.listOpenCrashes(a).length);
    if (strongest === undefined) return [];
    const crashIds = String(this.listOpenCrashes(strongest));
    const equals = rest.filter((part) => String(this.listOpenCrashes(part)) === crashIds);
    return [strongest, ...equals].toSorted();
  }

  /** Removes the crashes that dangerous parts explain, so that other parts are not blamed for them. */
  explain(parts: readonly string[], now: number): void {
    for (const { id } of this.listCrashesWith(parts[0]!)) {
      if (parts.every((part) => this.crashes.get(id)!.requests.has(part))) {
        this.crashes.delete(id);
        this.explained.set(id, now);
      }
    }
    if (parts.length > 1) parts.forEach((part) => this.ambiguousSince.set(part, now));
  }

  get isEmpty(): boolean {
    return this.crashes.size === 0;
  }

  prune(now: number): void {
    for (const [id, { seenAt }] of this.crashes) {
      if (now - seenAt > EVIDENCE_LIFETIME_MS) this.crashes.delete(id);
    }
    [this.explained, this.ambiguousSince].forEach((times) => {
      for (const [key, at] of times) if (now - at > EVIDENCE_LIFETIME_MS) times.delete(key);
    });
    for (const [part, at] of this.answeredAt) {
      if (now - at > EVIDENCE_LIFETIME_MS) {
        this.answeredAt.delete(part);
        this.cleared.delete(part);
      }
    }
  }

  private isDangerous(part: string, now: number): boolean {
    const crashes = this.listCrashesWith(part);
    const last = crashes[this.countNeeded(part) - 1];
    if (last === undefined || now - last.seenAt < CONFIRMATION_MS) return false;
    const requests = new Set(crashes.flatMap((crash) => [...crash.requests.get(part)!]));
    if (requests.size < Math.min(MIN_REQUESTS, this.countNeeded(part))) return false;
    const since = crashes[0]!.seenAt;
    const all = [...this.crashes.values()].filter(({ seenAt }) => seenAt >= since);
    return crashes.length >= all.length * MIN_CRASH_SHARE;
  }

  private countNeeded(part: string): number {
    if (this.ambiguousSince.has(part)) return CRASHES_OF_AMBIGUOUS_PART;
    return this.answeredAt.has(part) ? CRASHES_OF_ANSWERED_PART : CRASHES_OF_NEW_PART;
  }

  private listCrashesWith(part: string): Crash[] {
    const cleared = this.cleared.get(part);
    return [...this.crashes.values()].filter(
      ({ id, requests }) => requests.has(part) && cleared?.has(id) !== true,
    );
  }

  private listParts(): string[] {
    return [...new Set([...this.crashes.values()].flatMap(({ requests }) => [...requests.keys()]))];
  }
}
