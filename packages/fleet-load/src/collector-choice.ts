/**
 * Chooses the VM that collects the loads of a group. In a large fleet the VMs of a zone form a group,
 * so that the messages of a VM do not grow with the fleet; in a small one each VM is a group of its own.
 */
import type { Timer } from '@jujubelanding/timer';

/** Fleets up to this size exchange all loads directly, which is faster. */
export const MAX_DIRECT_VMS = 16;

/** A collector that sends no view for this long is replaced; it sends one at least every 300 ms. */
const SILENCE_MS = 700;

/** Time after which a silent collector is tried again. */
const SUSPICION_MS = 3000;

/** An entry VM that may collect loads. */
export interface CollectorCandidate {
  entryVmId: string;
  availabilityZone: string;
  /** Processor capacity in cores; 0 if it is not known. */
  capacity: number;
}

const compareCandidates = (a: CollectorCandidate, b: CollectorCandidate): number =>
  b.capacity - a.capacity || (a.entryVmId < b.entryVmId ? -1 : 1);

/** Orders candidates, the one with the largest capacity first. All VMs use the same order. */
export const rankCandidates = (candidates: readonly CollectorCandidate[]): CollectorCandidate[] =>
  candidates.toSorted(compareCandidates);

export interface CollectorChoiceOptions {
  timer: Pick<Timer, 'now'>;
  self: CollectorCandidate;
  /** Registered VMs other than this one that are not leaving. */
  listCandidates: () => readonly CollectorCandidate[];
}

export class CollectorChoice {
  private readonly suspectedUntil = new Map<string, number>();

  /** The collector whose views this VM uses; undefined if it collects its own load. */
  private currentId: string | undefined;

  /** The preferred collector; it becomes the current one with its first view. */
  private targetId: string | undefined;

  private targetSince = -Infinity;

  private lastViewAt = -Infinity;

  constructor(private readonly options: CollectorChoiceOptions) {}

  get current(): string | undefined {
    return this.currentId;
  }

  /** True if no other VM collects the load of this one. */
  get isOwnCollector(): boolean {
    return this.receivers.length === 0;
  }

  /** Collectors that get the reports of this VM. */
  get receivers(): string[] {
    const ids = new Set([this.targetId, this.currentId].filter((id) => id !== undefined));
    return [...ids];
  }

  /** Records a view; returns the collector that it replaces, which no longer gets reports. */
  recordView(collectorId: string): string | undefined {
    const now = this.options.timer.now();
    if (collectorId !== this.targetId) {
      if (collectorId === this.currentId) this.lastViewAt = now;
      return undefined;
    }
    this.lastViewAt = now;
    const replaced = this.currentId;
    this.currentId = collectorId;
    return replaced === collectorId ? undefined : replaced;
  }

  /** Chooses again; returns the former collector if this VM now collects its own load. */
  update(): string | undefined {
    const now = this.options.timer.now();
    const { currentId: former, targetId } = this;
    const silentSince = Math.max(
      this.targetSince,
      targetId === this.currentId ? this.lastViewAt : -Infinity,
    );
    if (targetId !== undefined && now - silentSince > SILENCE_MS) {
      this.suspectedUntil.set(targetId, now + SUSPICION_MS);
    }
    const next = this.choose(now);
    if (next !== targetId) {
      this.targetId = next;
      this.targetSince = now;
    }
    const isSilent = this.currentId !== undefined && now - this.lastViewAt > SILENCE_MS;
    if (next !== undefined && !isSilent) return undefined;
    this.currentId = undefined;
    return former;
  }

  /** Returns the first candidate of the group that is not suspected; undefined for this VM itself. */
  private choose(now: number): string | undefined {
    const { self, listCandidates } = this.options;
    const others = listCandidates();
    if (others.length + 1 <= MAX_DIRECT_VMS) return undefined;
    const group = others.filter(
      ({ availabilityZone }) => availabilityZone === self.availabilityZone,
    );
    const chosen = rankCandidates([self, ...group]).find(
      ({ entryVmId }) => (this.suspectedUntil.get(entryVmId) ?? -Infinity) <= now,
    );
    return chosen?.entryVmId === self.entryVmId ? undefined : chosen?.entryVmId;
  }
}

/** Returns the VMs that collect the loads of the other groups, as far as the order of candidates tells. */
export const listExpectedCollectors = (
  self: CollectorCandidate,
  others: readonly CollectorCandidate[],
): string[] => {
  if (others.length + 1 <= MAX_DIRECT_VMS) return others.map(({ entryVmId }) => entryVmId);
  const firstByZone = new Map<string, string>();
  for (const { entryVmId, availabilityZone } of rankCandidates(others)) {
    if (availabilityZone !== self.availabilityZone && !firstByZone.has(availabilityZone)) {
      firstByZone.set(availabilityZone, entryVmId);
    }
  }
  return [...firstByZone.values()];
};
