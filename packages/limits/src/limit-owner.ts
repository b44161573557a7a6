/** Owner side: grants shares of the limits of teams that this VM accounts for. */
import type { LimitRequest, TeamShare, TeamUsage } from '@jujubelanding/peer-protocol';
import { GRANT_VALID_MS, GrantDivision } from './grant-division.js';
import { decodeUsage, encodeShare } from './limit-messages.js';
import type { GrantPort } from './shard-limit-port.js';

export interface LimitOwnerOptions {
  port: GrantPort;
  /** Makes a VM request its shares again for teams of which it holds more than its portion. */
  recall: (entryVmId: string, teams: string[]) => void;
}

type Sender = Pick<LimitRequest, 'from' | 'bootId' | 'sequence'>;

export class LimitOwner {
  private readonly divisions = new Map<string, GrantDivision>();

  constructor(private readonly options: LimitOwnerOptions) {}

  /** Returns shares in the order of `usages`; undefined if a newer request was already answered. */
  answer(
    sender: Sender,
    usages: readonly TeamUsage[],
    now: number,
  ): (TeamShare | null)[] | undefined {
    const recalled = new Map<string, string[]>();
    let isOutdated = false;
    const shares = usages.map((usage) => {
      const share = this.grant(sender, usage, now, recalled);
      isOutdated ||= share === undefined;
      return share ?? null;
    });
    recalled.forEach((teams, entryVmId) => this.options.recall(entryVmId, teams));
    return isOutdated ? undefined : shares;
  }

  /** Removes teams that have no grants, no longer exist or are owned by another VM. */
  prune(now: number): void {
    for (const [team, division] of this.divisions) {
      const { port } = this.options;
      const bounds = port.findBounds(team);
      // The next owner grants without knowledge of these grants, so they are not kept.
      const isObsolete = port.ownedSince(team) === undefined || bounds === undefined;
      if (isObsolete || division.isIdle(bounds, now, port.countLiveVms())) {
        this.divisions.delete(team);
      }
    }
  }

  /** Returns null for a team that is not owned, undefined for an outdated request. */
  private grant(
    { from, bootId, sequence }: Sender,
    usage: TeamUsage,
    now: number,
    recalled: Map<string, string[]>,
  ): TeamShare | null | undefined {
    const { port } = this.options;
    const [team] = usage;
    const ownedSince = port.ownedSince(team);
    const bounds = port.findBounds(team);
    if (ownedSince === undefined || bounds === undefined) return null;
    const division = this.divisions.get(team) ?? new GrantDivision();
    this.divisions.set(team, division);
    const liveVms = port.countLiveVms();
    const context = { liveVms, isRecovering: now - ownedSince < GRANT_VALID_MS };
    const shareRequest = decodeUsage(usage, { entryVmId: from, bootId, sequence });
    const grant = division.grant(shareRequest, bounds, now, context);
    if (grant === undefined) return undefined;
    for (const entryVmId of division.findVmsToRecall(from, bounds, now, liveVms)) {
      const teams = recalled.get(entryVmId) ?? [];
      recalled.set(entryVmId, [...teams, team]);
    }
    return encodeShare(grant);
  }
}
