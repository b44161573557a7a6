/** Team limits over all entry VMs, held in shares that are asked for in the background. */
import { FaultCode, Outcome, type Fault, type Reply } from '@jujubelanding/errors';
import type {
  Configuration,
  EntryVmIo,
  Membership,
  Permit,
  ShardTable,
  TeamLimits,
} from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import { PeerMethod, type GrantRequest, type LimitGrant } from '@jujubelanding/peer-protocol';
import { findShard } from '@jujubelanding/random';
import type { Subscription } from '@jujubelanding/timer';
import { MemberState, RecordKind, type TeamRecord } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import { GrantDivision } from './grant-division.js';
import { Admission, GrantHolder, type HeldBounds } from './grant-holder.js';

/** Interval at which shares are renewed; half their validity, so that one lost call does no harm. */
const RENEW_INTERVAL_MS = 1000;

/** A share that is nearly used up is asked for again at most this often per team. */
const EARLY_RENEW_MS = 250;

/** Shares of teams without requests are not renewed after this time. */
const IDLE_AFTER_MS = 5000;

const STEP = 'limits';

export interface TeamLimitsOptions {
  io: Pick<EntryVmIo, 'timer' | 'network' | 'createLog' | 'metrics'>;
  entryVmId: string;
  membership: Membership;
  shards: ShardTable;
  configuration: Configuration;
}

interface Held {
  holder: GrantHolder;
  isAsking: boolean;
  askedAt: number;
}

/** Implements `TeamLimits`; also the owner's side for teams of owned shards. */
export class TeamLimitsController implements TeamLimits {
  private readonly held = new Map<string, Held>();

  private readonly divisions = new Map<string, GrantDivision>();

  private readonly subscriptions: Subscription[] = [];

  private readonly log: Log;

  constructor(private readonly options: TeamLimitsOptions) {
    this.log = options.io.createLog('limits');
  }

  start(): void {
    const { network, timer } = this.options.io;
    network.handle(PeerMethod.RequestGrant, (request) => Promise.resolve(this.grant(request)));
    this.subscriptions.push(timer.every(RENEW_INTERVAL_MS, () => this.renewAll()));
  }

  stop(): void {
    this.subscriptions.splice(0).forEach((subscription) => subscription.cancel());
  }

  admit(team: string): Result<Permit, Fault> {
    const record = this.options.configuration.get(RecordKind.Team, team);
    if (record === undefined) {
      return err(this.createFault(FaultCode.Unauthorized, `team ${team} is not known`));
    }
    const now = this.options.io.timer.now();
    const held = this.find(team, record.spec, now);
    const { holder } = held;
    if (!holder.isGranted(now)) holder.setBounds(this.createFallback(record.spec), now);
    const decision = holder.admit(now);
    const isRefused = decision.admission !== Admission.Admitted;
    const isDue = isRefused || !holder.isGranted(now) || holder.isNearBounds();
    if (isDue && now - held.askedAt >= EARLY_RENEW_MS) void this.renew(team, held);
    if (isRefused) return err(this.refuse(team, decision.admission, decision.retryAfterMs));
    return ok(this.createPermit(holder));
  }

  /** Requests of a team in progress on this VM. */
  inFlight(team: string): number {
    return this.held.get(team)?.holder.inFlight ?? 0;
  }

  private createPermit(holder: GrantHolder): Permit {
    let isHeld = true;
    return {
      release: () => {
        if (isHeld) holder.release();
        isHeld = false;
      },
    };
  }

  private refuse(team: string, admission: Admission, retryAfterMs: number): Fault {
    this.log.write('refuse', { team, reason: admission, retryAfterMs });
    this.options.io.metrics.increment('limits.refused', { reason: admission });
    const message = `limit of team ${team}: ${admission}`;
    return { ...this.createFault(FaultCode.RateLimited, message), retryAfterMs };
  }

  private find(team: string, record: TeamRecord, now: number): Held {
    const known = this.held.get(team);
    if (known !== undefined) return known;
    const holder = new GrantHolder(this.createFallback(record), now);
    const held = { holder, isAsking: false, askedAt: -Infinity };
    this.held.set(team, held);
    return held;
  }

  /** Without the owner each VM may use an equal part of the limit, but at least one request. */
  private createFallback(record: TeamRecord): HeldBounds {
    const parts = this.countLive();
    return {
      requestsPerSecond: record.requestsPerSecond / parts,
      burst: record.burst / parts,
      concurrency: Math.max(1, Math.floor(record.concurrency / parts)),
    };
  }

  private countLive(): number {
    const members = this.options.membership.members();
    return Math.max(1, members.filter(({ state }) => state === MemberState.Alive).length);
  }

  private renewAll(): void {
    const now = this.options.io.timer.now();
    for (const [team, held] of this.held) {
      if (held.holder.idleFor(now) > IDLE_AFTER_MS) this.held.delete(team);
      else void this.renew(team, held);
    }
    for (const [team, division] of this.divisions) {
      if (division.isEmpty(now)) this.divisions.delete(team);
    }
  }

  private async renew(team: string, held: Held): Promise<void> {
    const shard = findShard(team);
    const owner = this.options.shards.ownerOf(shard);
    if (held.isAsking || owner === undefined) return;
    const now = this.options.io.timer.now();
    held.isAsking = true;
    held.askedAt = now;
    const request: GrantRequest = {
      shard,
      entryVmId: this.options.entryVmId,
      team,
      demandPerSecond: held.holder.measureDemand(now),
      inFlight: held.holder.inFlight,
      wantedInFlight: held.holder.takeWanted(),
    };
    const isOwn = owner.entryVmId === this.options.entryVmId;
    const answer = isOwn
      ? this.grant(request)
      : await this.options.io.network.call(owner, PeerMethod.RequestGrant, request);
    held.isAsking = false;
    if (answer.isErr()) {
      this.log.write('grant-failed', {
        team,
        owner: owner.entryVmId,
        reason: answer.error.message,
      });
      return;
    }
    // Counted from the moment of asking, so that it never outlasts the owner's count.
    const remaining = answer.value.validMs - (this.options.io.timer.now() - now);
    if (remaining <= 0) return;
    held.holder.setBounds(answer.value, this.options.io.timer.now(), remaining);
  }

  private grant(request: GrantRequest): Awaited<Reply<LimitGrant>> {
    if (this.options.shards.fenceOf(request.shard) === undefined) {
      const message = `shard ${request.shard} is not owned by this VM`;
      return err(this.createFault(FaultCode.NotOwner, message));
    }
    const record = this.options.configuration.get(RecordKind.Team, request.team);
    if (record === undefined) {
      return err(this.createFault(FaultCode.NotFound, `team ${request.team} is not known`));
    }
    const division = this.divisions.get(request.team) ?? new GrantDivision();
    this.divisions.set(request.team, division);
    const now = this.options.io.timer.now();
    return ok(division.grant(request, record.spec, now, this.countLive()));
  }

  private createFault(code: FaultCode, message: string): Fault {
    return { code, outcome: Outcome.NotRun, step: STEP, peer: this.options.entryVmId, message };
  }
}
