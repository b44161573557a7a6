/** Owner side: answers usage reports and tells the VMs when the tokens of a team run short. */
import { hashText } from '@jujubelanding/random';
import type { Log } from '@jujubelanding/log';
import type { Subscription, Timer } from '@jujubelanding/timer';
import type { FleetLimitPort } from './limit-port.js';
import {
  decodeTotals,
  encodeAge,
  encodeTeamShare,
  MAX_TEAMS_PER_MESSAGE,
  RateMessageKind,
  type RateMessage,
  type ShareEntry,
  type UsageMessage,
} from './rate-messages.js';
import { RateSubstitute } from './rate-substitute.js';
import { TeamAccount } from './team-account.js';
import { computeOwnerQuota, computeQuota, type RateBounds, type TeamQuota } from './team-quota.js';

/** A VM that has owned a team for this time without a report knows that the team was idle. */
const IDLE_WINDOW_MS = 5000;

/** Interval at which the owner checks whether short tokens have been refilled. */
const CHECK_INTERVAL_MS = 50;

/** VMs are told of a fraction below the first bound, or one that changed by the given factor. */
const SHORT_BELOW = 0.95;
const CHANGE_FACTOR = 2;

/** Minimum times between announcements of one team, of any change and of the end of a shortage. */
const ANNOUNCEMENT_INTERVAL_MS = 150;
const RISE_INTERVAL_MS = 100;

/** Interval at which accounts that are no longer needed are removed. */
const PRUNE_INTERVAL_MS = 1000;

export interface RateOwnerOptions {
  timer: Timer;
  port: FleetLimitPort<RateMessage, RateBounds>;
  log: Log;
}

interface OwnedTeam {
  account: TeamAccount;
  /** Time since which this VM owned the team when the account was created. */
  ownedSince: number;
  announced: number;
  announcedAt: number;
}

export class RateOwner {
  private readonly teams = new Map<string, OwnedTeam>();

  /** Teams of which the VMs admit only a fraction. */
  private readonly short = new Set<string>();

  private readonly substitute: RateSubstitute;

  /** The next check of the teams that are short of tokens. */
  private check: Subscription | undefined;

  private isStopped = false;

  private prunedAt = -Infinity;

  constructor(private readonly options: RateOwnerOptions) {
    this.substitute = new RateSubstitute(options);
  }

  get teamCount(): number {
    return this.teams.size;
  }

  stop(): void {
    this.check?.cancel();
    this.isStopped = true;
  }

  /**
   * Tells a VM that has just started which teams are short of tokens. Otherwise each VM that starts would
   * admit first requests of them.
   */
  greet(entryVmId: string): void {
    const now = this.options.timer.now();
    const teams = [...this.short].filter((team) => this.findOrCreate(team, now) !== undefined);
    this.sendShares(entryVmId, teams, now);
  }

  /** Records a report and returns the shares of its sender. */
  answer(message: UsageMessage): ShareEntry[] {
    const now = this.options.timer.now();
    this.prune(now);
    const recorded: string[] = [];
    const isFleetYoung = this.options.port.readFleet().youngSince !== undefined;
    const shares = message.teams.flatMap((entry, index) => {
      const [team] = entry;
      // A team that is not known here may only be known to a VM with another version.
      if (this.options.port.findBounds(team) === undefined) {
        this.remove(team);
        return [];
      }
      const isOwner = this.options.port.ownedSince(team) !== undefined;
      if (message.isSubstitute && !isOwner) {
        this.substitute.record(message, entry, now);
        return [];
      }
      const owned = this.findOrCreate(team, now);
      const fraction = (message.percentages?.[index] ?? 100) / 100;
      const returned = message.returned?.[index] ?? 0;
      const totals = { ...decodeTotals(entry), returned };
      if (!owned?.account.record(message, totals, now, { isFleetYoung, fraction })) return [];
      if (owned.account.isGathering(now)) return [];
      recorded.push(team);
      return [encodeTeamShare(team, owned.account.shareOf(message.from, now))];
    });
    this.announceChanges(recorded, now);
    return shares;
  }

  /** Returns the account with the present quota; undefined if this VM does not own the team. */
  private findOrCreate(team: string, now: number): OwnedTeam | undefined {
    const { port } = this.options;
    const ownedSince = port.ownedSince(team);
    const bounds = port.findBounds(team);
    if (ownedSince === undefined || bounds === undefined) {
      this.remove(team);
      return undefined;
    }
    const { youngSince } = port.readFleet();
    const quota = this.computeQuota(team, bounds);
    const existing = this.teams.get(team);
    const owned =
      existing !== undefined && existing.ownedSince >= ownedSince
        ? existing
        : this.create(quota, ownedSince, now);
    if (youngSince !== undefined) this.restart(team, owned.account, youngSince, now);
    owned.account.update(quota, now);
    this.teams.set(team, owned);
    return owned;
  }

  private restart(team: string, account: TeamAccount, youngSince: number, now: number): void {
    const wasYoung = account.isYoung;
    account.restart(youngSince, now);
    if (wasYoung) return;
    const ageMs = Math.round(now - youngSince);
    const vms = this.options.port.countLiveVms();
    this.options.log.write('young-fleet', { team, ...account.describe(now), ageMs, vms });
  }

  private create(quota: TeamQuota, ownedSince: number, now: number): OwnedTeam {
    const tokens = now - ownedSince > IDLE_WINDOW_MS ? quota.depth : quota.start;
    const account = new TeamAccount(quota, tokens, now);
    return { account, ownedSince: now, announced: 1, announcedAt: -Infinity };
  }

  private computeQuota(team: string, bounds: RateBounds): TeamQuota {
    return computeOwnerQuota(computeQuota(bounds), this.options.port.readFleet(), hashText(team));
  }

  private remove(team: string): void {
    this.teams.delete(team);
    this.short.delete(team);
  }

  /** Tells all VMs the fractions of teams that have changed much. */
  private announceChanges(teams: Iterable<string>, now: number): void {
    const changed: string[] = [];
    for (const team of teams) {
      const owned = this.teams.get(team);
      if (owned === undefined || !this.hasChanged(owned, now)) continue;
      const fraction = owned.account.fraction(now);
      this.options.log.write('fraction', {
        team,
        fraction,
        ...owned.account.describe(now),
        vms: this.options.port.countLiveVms(),
      });
      owned.announced = fraction;
      owned.announcedAt = now;
      if (fraction < 1) this.short.add(team);
      else this.short.delete(team);
      changed.push(team);
    }
    if (changed.length > 0) this.announce(changed, now);
    this.scheduleCheck();
  }

  private hasChanged({ account, announced, announcedAt }: OwnedTeam, now: number): boolean {
    const fraction = account.fraction(now);
    if (announced === 1) return fraction < SHORT_BELOW;
    if (fraction === 1) return now - announcedAt >= RISE_INTERVAL_MS;
    if (now - announcedAt < ANNOUNCEMENT_INTERVAL_MS) return false;
    const isBeyondFactor =
      fraction > announced * CHANGE_FACTOR || fraction < announced / CHANGE_FACTOR;
    return isBeyondFactor;
  }

  private announce(teams: readonly string[], now: number): void {
    const { port } = this.options;
    [...port.listServing(), port.entryVmId].forEach((id) => this.sendShares(id, teams, now));
  }

  private sendShares(entryVmId: string, teams: readonly string[], now: number): void {
    const { port } = this.options;
    for (let start = 0; start < teams.length; start += MAX_TEAMS_PER_MESSAGE) {
      const batch = teams.slice(start, start + MAX_TEAMS_PER_MESSAGE);
      const shares = batch.map((team) =>
        encodeTeamShare(team, this.teams.get(team)!.account.shareOf(entryVmId, now)),
      );
      port.send(entryVmId, {
        kind: RateMessageKind.Shares,
        from: port.entryVmId,
        ...encodeAge(port.readYoungMs()),
        teams: shares,
      });
    }
  }

  /** Callers that wait for a retry send no reports, so that the refill has to be checked. */
  private scheduleCheck(): void {
    if (this.isStopped || this.check !== undefined || this.short.size === 0) return;
    this.check = this.options.timer.after(CHECK_INTERVAL_MS, () => {
      this.check = undefined;
      const now = this.options.timer.now();
      const teams = [...this.short].filter((team) => this.findOrCreate(team, now) !== undefined);
      this.announceChanges(teams, now);
    });
  }

  private prune(now: number): void {
    if (now - this.prunedAt < PRUNE_INTERVAL_MS) return;
    this.prunedAt = now;
    this.substitute.prune(now);
    for (const [team, { account }] of this.teams) {
      const owned = this.findOrCreate(team, now);
      if (owned?.account === account && account.prune(now)) this.remove(team);
    }
  }
}
