/** Learns from the messages of the other VMs whether all runs of the fleet began within the window. */
import type { Timer } from '@jujubelanding/timer';

/** Sliding window of the rates; usage before it does not count. */
const WINDOW_MS = 5000;

/**
 * Time from the start of a process in which the others are assumed to be starting as well; the slowest VM
 * of a restart was ready after 1.3 s. Later, VMs that are not heard from may be cut off.
 */
const START_SPAN_MS = 2000;

/** A VM that is greeted answers within this time, also if one message was lost. */
const GREETING_WAIT_MS = 150;

/** Interval at which VMs that are heard from are greeted again until their age is known. */
const GREETING_INTERVAL_MS = 100;

/** A VM that is heard from without its age for this time runs an earlier version, or is older. */
const AGE_WAIT_MS = 400;

/** A VM is taken as live for this time after its last message. */
const HEARD_VALID_MS = 1300;

interface HeardRun {
  heardAt: number;
  /** Time since which its age has been awaited; undefined once it is known. */
  awaitedSince: number | undefined;
}

export interface FleetRunsOptions {
  timer: Pick<Timer, 'now'>;
  self: string;
  /** Time at which this process began, which is some time before it serves. */
  startedAt: number;
  /** Returns the zone of a registered VM. */
  readZone: (entryVmId: string) => string | undefined;
}

export class FleetRuns {
  private readonly startedAt: number;

  private readonly heard = new Map<string, HeardRun>();

  private readonly greetedAt = new Map<string, number>();

  /** Time of the first greeting; without an answer, this VM may be cut off. */
  private firstGreetingAt: number | undefined;

  /** Start of the oldest run that is known. */
  private oldestStart: number;

  /** True once a run was heard of that is older than the window. */
  private hasOlderRun = false;

  constructor(private readonly options: FleetRunsOptions) {
    this.startedAt = options.startedAt;
    this.oldestStart = this.startedAt;
  }

  /** Age of this run, as long as it has heard of none that is older than the window. */
  get youngMs(): number | undefined {
    const ageMs = this.options.timer.now() - this.startedAt;
    return this.hasOlderRun || ageMs >= WINDOW_MS ? undefined : Math.round(ageMs);
  }

  /** True while VMs that are not heard from are assumed to be starting. */
  get isStarting(): boolean {
    return this.youngMs !== undefined && this.youngMs < START_SPAN_MS;
  }

  /** True while the answers to the first greetings are awaited, so that the owners are not known. */
  isAwaitingAnswers(now: number): boolean {
    if (this.youngMs === undefined || this.heard.size > 0) return false;
    return this.firstGreetingAt !== undefined && now - this.firstGreetingAt < GREETING_WAIT_MS;
  }

  /** Records a message; returns true if the VM was not known to be live. */
  record(entryVmId: string, youngMs: number | undefined): boolean {
    const now = this.options.timer.now();
    if (this.youngMs === undefined && youngMs === undefined) return false;
    const known = this.heard.get(entryVmId);
    const isNew = known === undefined || now - known.heardAt >= HEARD_VALID_MS;
    if (youngMs === undefined) this.hasOlderRun = true;
    else this.oldestStart = Math.min(this.oldestStart, now - youngMs);
    this.heard.set(entryVmId, { heardAt: now, awaitedSince: undefined });
    return isNew;
  }

  /** Takes note of the VMs that are seen as serving; their ages are awaited. */
  recordServing(entryVmIds: readonly string[]): void {
    if (this.youngMs === undefined) return;
    const now = this.options.timer.now();
    for (const entryVmId of entryVmIds) {
      const known = this.heard.get(entryVmId);
      if (known === undefined) this.heard.set(entryVmId, { heardAt: now, awaitedSince: now });
      else if (known.awaitedSince === undefined) known.heardAt = now;
      else if (now - known.awaitedSince >= AGE_WAIT_MS) this.hasOlderRun = true;
    }
  }

  /** VMs whose messages arrived recently. */
  listHeard(): string[] {
    const now = this.options.timer.now();
    const ids: string[] = [];
    this.heard.forEach(({ heardAt, awaitedSince }, id) => {
      if (awaitedSince === undefined && now - heardAt < HEARD_VALID_MS) ids.push(id);
    });
    return ids;
  }

  /** Returns the VMs that are to be greeted now, and takes them as greeted. */
  takeToGreet(registeredIds: readonly string[]): string[] {
    if (this.youngMs === undefined) return [];
    const now = this.options.timer.now();
    const due = registeredIds.filter((id) => id !== this.options.self && this.isToGreet(id, now));
    due.forEach((id) => this.greetedAt.set(id, now));
    if (due.length > 0) this.firstGreetingAt ??= now;
    return due;
  }

  /**
   * Start of the oldest run if all runs of the fleet are known to be younger than the window. Runs in two
   * zones are evidence of it, because a failure that cuts off and restarts VMs rarely affects more than one.
   * Once all VMs have had time to start, it has to be a majority.
   */
  readYoungSince(registeredIds: readonly string[]): number | undefined {
    if (this.youngMs === undefined) return undefined;
    const { self, readZone } = this.options;
    const young = [self, ...this.listHeard()];
    const isMajority = young.length * 2 > registeredIds.length;
    const zones = new Set(young.map(readZone).filter((zone) => zone !== undefined));
    return isMajority || (this.isStarting && zones.size > 1) ? this.oldestStart : undefined;
  }

  private isToGreet(entryVmId: string, now: number): boolean {
    const greetedAt = this.greetedAt.get(entryVmId);
    if (greetedAt === undefined) return true;
    const isAwaited = this.heard.get(entryVmId)?.awaitedSince !== undefined;
    return isAwaited && now - greetedAt >= GREETING_INTERVAL_MS;
  }
}
