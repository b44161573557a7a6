/** Holder side: requests shares from owners, with the teams of one owner batched. */
import type { EntryVmIo } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import { DatagramKind, type LimitAnswer, type TeamShare } from '@jujubelanding/peer-protocol';
import { hashText } from '@jujubelanding/random';
import { RequestBudget } from './request-budget.js';
import { GRANT_VALID_MS } from './grant-division.js';
import type { GrantHolder, ShareBounds } from './grant-holder.js';
import { decodeShare, encodeUsage, splitUsages } from './limit-messages.js';
import type { LimitOwner } from './limit-owner.js';
import type { GrantPort } from './shard-limit-port.js';
import type { UngrantedUsage } from './ungranted-usage.js';

/** Renewal interval of shares; two renewals may be lost before a grant expires. */
const RENEWAL_INTERVAL_MS = 2000;

/** Grants below the fallback share are renewed earlier, because other VMs may have returned some. */
const SHORT_RENEWAL_INTERVAL_MS = 1000;

/** Minimum interval between requests for one team; doubles with each unanswered request. */
const MIN_REQUEST_INTERVAL_MS = 250;
const MAX_UNANSWERED_DOUBLINGS = 3;

/** Pending requests are dropped once the grant in an answer would have expired. */
const PENDING_TIMEOUT_MS = GRANT_VALID_MS;

/** State of one team on this VM. */
export interface TeamState {
  team: string;
  holder: GrantHolder;
  requestedAt: number;
  /** Requests since the last answer. */
  unanswered: number;
  /** True if a larger share is needed or the owner has recalled part of it. */
  isUrgent: boolean;
  /** Sequence number of the newest answered request. */
  answeredSequence: number;
  /** Owner to which the last request was sent. */
  ownerId: string | undefined;
}

export interface ShareRequesterOptions {
  io: Pick<EntryVmIo, 'timer'>;
  port: GrantPort;
  /** Answers requests for teams that this VM itself accounts for. */
  owner: LimitOwner;
  log: Log;
}

interface OwnerGroup {
  owner: string;
  teams: TeamState[];
}

interface PendingRequest {
  ownerId: string;
  sentAt: number;
  requestedTeams: readonly TeamState[];
}

export const createTeamState = (team: string, holder: GrantHolder): TeamState => ({
  ...{ team, holder, requestedAt: -Infinity, unanswered: 0, isUrgent: false },
  ...{ answeredSequence: -Infinity, ownerId: undefined },
});

export class ShareRequester {
  private readonly budget = new RequestBudget();

  private readonly pending = new Map<number, PendingRequest>();

  private sequence: number | undefined;

  constructor(private readonly options: ShareRequesterOptions) {}

  /** True if a share may be requested again; the interval grows with unanswered requests. */
  mayRequest(teamState: TeamState, now: number): boolean {
    const doublings = Math.min(teamState.unanswered, MAX_UNANSWERED_DOUBLINGS);
    return now - teamState.requestedAt >= MIN_REQUEST_INTERVAL_MS * 2 ** doublings;
  }

  /** True if a share must be requested in the current check interval. */
  isDue(
    teamState: TeamState,
    ungranted: UngrantedUsage,
    fallback: ShareBounds,
    now: number,
  ): boolean {
    const { holder } = teamState;
    if (!this.mayRequest(teamState, now)) return false;
    if (teamState.isUrgent) return true;
    const isGranted = holder.isGranted(now);
    if (isGranted && holder.hasDemandDropped(fallback, now)) return true;
    if (!holder.needsGrant(ungranted, now)) return false;
    const isNewOwner = this.options.port.findOwner(teamState.team) !== teamState.ownerId;
    const interval = holder.isBelowFallback(fallback, now)
      ? SHORT_RENEWAL_INTERVAL_MS
      : RENEWAL_INTERVAL_MS;
    const isRenewalDue = now - teamState.requestedAt >= interval;
    return !isGranted || isNewOwner || isRenewalDue || teamState.unanswered > 0;
  }

  /** Sends the requests that the budget allows, owners with most teams first; other teams remain due. */
  requestWithinBudget(teams: readonly TeamState[], now: number): void {
    const groups = this.groupByOwner(teams);
    groups.sort((a, b) => b.teams.length - a.teams.length);
    for (const group of groups) {
      if (this.budget.trySpend(group.teams.length, now)) this.sendAll(group);
    }
  }

  /** Raises the budget in proportion to caller requests. */
  countCallerRequest(): void {
    this.budget.countCallerRequest();
  }

  /** Requests shares in as few datagrams as possible. */
  requestShares(teams: readonly TeamState[]): void {
    this.groupByOwner(teams).forEach((group) => this.sendAll(group));
  }

  private groupByOwner(teams: readonly TeamState[]): OwnerGroup[] {
    const byOwner = new Map<string, OwnerGroup>();
    for (const teamState of teams) {
      const owner = this.options.port.findOwner(teamState.team);
      if (owner === undefined) continue;
      const group = byOwner.get(owner) ?? { owner, teams: [] };
      group.teams.push(teamState);
      byOwner.set(owner, group);
    }
    return [...byOwner.values()];
  }

  private sendAll({ owner, teams }: OwnerGroup): void {
    const { port } = this.options;
    const bootId = port.bootId();
    const batches = splitUsages(teams, port.entryVmId, bootId);
    batches.forEach((batch) => this.send(owner, batch, bootId));
  }

  /** Applies the shares of an answer and returns the teams that the owner recalls. */
  receive(answer: LimitAnswer): readonly string[] {
    const { sequence, from, shares, validMs, recalled = [] } = answer;
    const pending = sequence === undefined ? undefined : this.pending.get(sequence);
    if (sequence !== undefined && pending?.ownerId === from) {
      this.pending.delete(sequence);
      this.apply(pending, sequence, shares, validMs);
    }
    return recalled;
  }

  /** Drops requests that were not answered in time. */
  prune(now: number): void {
    for (const [sequence, { ownerId, sentAt, requestedTeams }] of this.pending) {
      if (now - sentAt < PENDING_TIMEOUT_MS) break;
      this.pending.delete(sequence);
      this.options.log.write('grant-unanswered', { owner: ownerId, teams: requestedTeams.length });
    }
  }

  private send(owner: string, teams: readonly TeamState[], bootId: string): void {
    const { io, port } = this.options;
    const now = io.timer.now();
    // The first number is derived from the boot id, so that answers to an earlier run match nothing.
    this.sequence = (this.sequence ?? hashText(bootId)) + 1;
    const { sequence } = this;
    const usages = teams.map((teamState) => {
      Object.assign(teamState, { requestedAt: now, isUrgent: false, ownerId: owner });
      teamState.unanswered += 1;
      return encodeUsage(teamState.team, teamState.holder.takeReport(now));
    });
    const pending = { ownerId: owner, sentAt: now, requestedTeams: teams };
    const sender = { from: port.entryVmId, bootId, sequence };
    if (owner === port.entryVmId) {
      const shares = this.options.owner.answer(sender, usages, now);
      if (shares !== undefined) this.apply(pending, sequence, shares, GRANT_VALID_MS);
      return;
    }
    this.pending.set(sequence, pending);
    port.send(owner, { kind: DatagramKind.LimitRequest, ...sender, teams: usages });
  }

  private apply(
    { sentAt, requestedTeams }: PendingRequest,
    sequence: number,
    shares: readonly (TeamShare | null)[],
    validMs: number,
  ): void {
    const now = this.options.io.timer.now();
    // Counted from the time of sending, so that the grant never outlives the owner's record of it.
    const remaining = validMs - (now - sentAt);
    requestedTeams.forEach((teamState, index) => {
      const share = shares[index];
      const bounds = this.options.port.findBounds(teamState.team);
      const isOutdated = sequence < teamState.answeredSequence || remaining <= 0;
      if (share === null || share === undefined || bounds === undefined || isOutdated) return;
      const { advance, ...limits } = decodeShare(share);
      const burst =
        (bounds.burst * limits.requestsPerSecond) / Math.max(1e-9, bounds.requestsPerSecond);
      teamState.answeredSequence = sequence;
      teamState.unanswered = 0;
      teamState.holder.setBounds({ ...limits, burst }, now, remaining);
      teamState.holder.addTokens(advance, now);
    });
  }
}
