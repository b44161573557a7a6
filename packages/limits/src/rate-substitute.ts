/** Announces fractions of teams whose owner does not answer, until the next owner is known. */
import { hashText } from '@jujubelanding/random';
import type { FleetLimitPort } from './limit-port.js';
import {
  decodeTotals,
  encodeAge,
  encodeTeamShare,
  RateMessageKind,
  type RateMessage,
  type UsageEntry,
  type UsageMessage,
} from './rate-messages.js';
import { TeamAccount } from './team-account.js';
import { computeOwnerQuota, computeQuota, type RateBounds } from './team-quota.js';

/** An owner is taken for lost once this many VMs miss its answers; fewer have lost messages. */
const MIN_VMS = 3;

/** Minimum time between announcements of one team. */
const ANNOUNCEMENT_INTERVAL_MS = 100;

/** Time after which the account of a team is dropped; the owner is known to be lost, or is back. */
const ACCOUNT_VALID_MS = 1500;

export interface RateSubstituteOptions {
  port: FleetLimitPort<RateMessage, RateBounds>;
}

interface SubstitutedTeam {
  account: TeamAccount;
  createdAt: number;
  announcedAt: number;
  vms: Set<string>;
}

export class RateSubstitute {
  private readonly teams = new Map<string, SubstitutedTeam>();

  constructor(private readonly options: RateSubstituteOptions) {}

  record(message: UsageMessage, entry: UsageEntry, now: number): void {
    const [team] = entry;
    const bounds = this.options.port.findBounds(team);
    if (bounds === undefined) return;
    this.prune(now);
    const substituted = this.findOrCreate(team, bounds, now);
    const { account, vms } = substituted;
    if (!account.record(message, decodeTotals(entry), now)) return;
    vms.add(message.from);
    if (vms.size >= MIN_VMS) this.announce(team, substituted, now);
  }

  prune(now: number): void {
    for (const [team, { createdAt }] of this.teams) {
      if (now - createdAt >= ACCOUNT_VALID_MS) this.teams.delete(team);
    }
  }

  private findOrCreate(team: string, bounds: RateBounds, now: number): SubstitutedTeam {
    const existing = this.teams.get(team);
    const view = this.options.port.readFleet();
    const quota = computeOwnerQuota(computeQuota(bounds), view, hashText(team));
    const account = existing?.account ?? new TeamAccount(quota, quota.start, now);
    account.update(quota, now);
    const created = { account, createdAt: now, announcedAt: -Infinity, vms: new Set<string>() };
    if (existing === undefined) this.teams.set(team, created);
    return existing ?? created;
  }

  private announce(team: string, substituted: SubstitutedTeam, now: number): void {
    const { port } = this.options;
    if (now - substituted.announcedAt < ANNOUNCEMENT_INTERVAL_MS) return;
    substituted.announcedAt = now;
    for (const entryVmId of port.listServing()) {
      const share = encodeTeamShare(team, substituted.account.shareOf(entryVmId, now));
      const { entryVmId: from } = port;
      const age = encodeAge(port.readYoungMs());
      port.send(entryVmId, { kind: RateMessageKind.Shares, from, ...age, teams: [share] });
    }
  }
}
