/** Finds the owners of teams by rendezvous hashing over the VMs that are heard from. */
import { rankNodes } from '@jujubelanding/random';
import type { Subscription, Timer } from '@jujubelanding/timer';
import { FleetRuns } from './fleet-runs.js';
import type { FleetLimitPort } from './limit-port.js';
import type { FleetView } from './team-quota.js';

/** Interval at which the lists of VMs are read again; they have hundreds of entries in a large fleet. */
const REFRESH_INTERVAL_MS = 100;

/** Interval at which they are read without requests, so that a new owner knows when it became one. */
const IDLE_REFRESH_INTERVAL_MS = 1000;

export interface TeamOwnersOptions {
  timer: Timer;
  self: string;
  /** Lists the other VMs that are heard from. */
  listServing: () => readonly string[];
  /** Lists the registered VMs, with or without this one. */
  listRegistered: () => readonly string[];
  /** Returns the zone of a registered VM or of this one. */
  readZone: (entryVmId: string) => string | undefined;
  /** Time at which this process began, which is some time before it serves. */
  startedAt: number;
  /** True if the other VMs no longer see this one as serving. */
  isLeaving: () => boolean;
  /** False if the configuration has no teams, so that the VMs need not be known. */
  isNeeded: () => boolean;
  /** False if no team is limited, so that the other VMs need not be greeted. */
  hasLimits: () => boolean;
}

interface TeamOwner {
  entryVmId: string;
  since: number;
}

export class TeamOwners {
  private readonly owners = new Map<string, TeamOwner>();

  private live = new Set<string>();

  private liveIds: readonly string[] = [];

  private registeredIds: readonly string[] = [];

  private view: FleetView = { vmCount: 1, position: 0, silent: [] };

  private readAt = -Infinity;

  private changedAt = -Infinity;

  private subscription: Subscription | undefined;

  private readonly runs: FleetRuns;

  constructor(private readonly options: TeamOwnersOptions) {
    this.runs = new FleetRuns(options);
  }

  start(): void {
    const { timer, isNeeded } = this.options;
    this.subscription = timer.every(IDLE_REFRESH_INTERVAL_MS, () => {
      if (isNeeded()) this.refresh();
    });
  }

  stop(): void {
    this.subscription?.cancel();
  }

  /** The part of the port that depends on the other VMs. */
  get port(): Pick<
    FleetLimitPort<never, never>,
    | 'findOwner'
    | 'findSubstitute'
    | 'ownedSince'
    | 'countLiveVms'
    | 'readFleet'
    | 'listServing'
    | 'recordMessage'
    | 'readYoungMs'
    | 'takeToGreet'
  > {
    return {
      findOwner: (team) => this.findKnown(team),
      findSubstitute: (team) => rankNodes(team, this.refresh().liveIds)[1],
      ownedSince: (team) => this.ownedSince(team),
      countLiveVms: () => this.refresh().liveIds.length,
      readFleet: () => this.readFleet(),
      listServing: () => this.refresh().liveIds.filter((id) => id !== this.options.self),
      recordMessage: (entryVmId, youngMs) => this.recordMessage(entryVmId, youngMs),
      readYoungMs: () => (this.options.isLeaving() ? undefined : this.runs.youngMs),
      takeToGreet: () => this.takeToGreet(),
    };
  }

  /** Returns the owner; undefined while this VM waits for the answers to its first greetings. */
  private findKnown(team: string): string | undefined {
    const { entryVmId } = this.find(team);
    return this.runs.isAwaitingAnswers(this.options.timer.now()) ? undefined : entryVmId;
  }

  private readFleet(): FleetView {
    const { view, registeredIds } = this.refresh();
    const youngSince = this.runs.readYoungSince(registeredIds);
    if (youngSince === undefined) return view;
    // VMs that are not heard from yet have no usage while the fleet starts.
    return { ...view, silent: this.runs.isStarting ? [] : view.silent, youngSince };
  }

  private recordMessage(entryVmId: string, youngMs: number | undefined): boolean {
    const isNew = this.runs.record(entryVmId, youngMs);
    // The next reading counts the VM as live.
    if (isNew) this.readAt = -Infinity;
    return isNew;
  }

  private takeToGreet(): string[] {
    if (!this.options.hasLimits()) return [];
    this.refresh();
    return this.runs.takeToGreet(this.registeredIds);
  }

  private find(team: string): TeamOwner {
    this.refresh();
    const known = this.owners.get(team);
    if (known !== undefined) return known;
    const owner = { entryVmId: rankNodes(team, this.liveIds)[0]!, since: this.changedAt };
    this.owners.set(team, owner);
    return owner;
  }

  private ownedSince(team: string): number | undefined {
    const { entryVmId, since } = this.find(team);
    return entryVmId === this.options.self ? since : undefined;
  }

  private refresh(): this {
    const { timer, self, listServing, listRegistered, isLeaving } = this.options;
    const now = timer.now();
    if (now - this.readAt < REFRESH_INTERVAL_MS) return this;
    this.readAt = now;
    const serving = listServing();
    this.runs.recordServing(serving);
    const others = [...new Set([...serving, ...this.runs.listHeard()])];
    const isServing = others.length === 0 || !isLeaving();
    const liveIds = [...new Set(isServing ? [self, ...others] : others)].toSorted();
    const registeredIds = [...new Set([self, ...listRegistered(), ...liveIds])].toSorted();
    const hasChanged = String(liveIds) !== String(this.liveIds);
    if (!hasChanged && String(registeredIds) === String(this.registeredIds)) return this;
    if (hasChanged) this.updateOwners(liveIds, now);
    this.registeredIds = registeredIds;
    this.view = {
      vmCount: registeredIds.length,
      position: registeredIds.indexOf(self),
      silent: registeredIds.flatMap((id, position) => (this.live.has(id) ? [] : [position])),
    };
    return this;
  }

  /** Updates owners without ranking all VMs again, because few of them change at a time. */
  private updateOwners(liveIds: readonly string[], now: number): void {
    const live = new Set(liveIds);
    const added = liveIds.filter((id) => !this.live.has(id));
    for (const [team, { entryVmId }] of this.owners) {
      const [best] = rankNodes(team, [entryVmId, ...added]);
      if (!live.has(entryVmId)) this.owners.delete(team);
      else if (best !== entryVmId) this.owners.set(team, { entryVmId: best!, since: now });
    }
    this.live = live;
    this.liveIds = liveIds;
    this.changedAt = now;
  }
}
