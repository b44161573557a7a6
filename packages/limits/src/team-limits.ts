/** Team limits over all entry VMs, held in shares that are asked for in the background. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type {
  Configuration,
  EntryVmIo,
  Membership,
  Permit,
  ShardTable,
  TeamLimits,
} from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import { DatagramKind, type LimitAnswer, type LimitRequest } from '@jujubelanding/peer-protocol';
import type { Subscription } from '@jujubelanding/timer';
import { MemberState, RecordKind } from '@jujubelanding/types';
import { err, ok, type Result } from 'neverthrow';
import { GRANT_VALID_MS, type TeamBounds } from './grant-division.js';
import { Admission, GrantHolder, type HeldBounds } from './grant-holder.js';
import { LimitOwner } from './limit-owner.js';
import { findQuietUse } from './quiet-use.js';
import { createHeldTeam, ShareAsker, type HeldTeam } from './share-asker.js';

/** Interval at which holders compare their use with their shares; most intervals send nothing. */
const CHECK_INTERVAL_MS = 250;

/**
 * Teams without requests are forgotten after this time, once their bucket is full again; earlier the
 * rate of a team that seldom sends would be measured anew with each request.
 */
const IDLE_AFTER_MS = 60_000;

const STEP = 'limits';

export interface TeamLimitsOptions {
  io: Pick<EntryVmIo, 'timer' | 'network' | 'createLog' | 'metrics'>;
  entryVmId: string;
  membership: Membership;
  shards: ShardTable;
  configuration: Configuration;
}

/** Implements `TeamLimits`; also the owner's side for teams of owned shards. */
export class TeamLimitsController implements TeamLimits {
  private readonly held = new Map<string, HeldTeam>();

  private readonly subscriptions: Subscription[] = [];

  private readonly log: Log;

  private readonly owner: LimitOwner;

  private readonly asker: ShareAsker;

  private live = { count: 1, countedAt: -Infinity };

  constructor(private readonly options: TeamLimitsOptions) {
    const { io } = options;
    this.log = io.createLog('limits');
    const countLive = (): number => this.countLive();
    const recall = (entryVmId: string, teams: string[]): void => this.recall(entryVmId, teams);
    this.owner = new LimitOwner({ ...options, countLive, recall });
    const findBounds = (team: string): TeamBounds | undefined => this.findBounds(team);
    this.asker = new ShareAsker({ ...options, owner: this.owner, log: this.log, findBounds });
  }

  start(): void {
    const { network, timer } = this.options.io;
    network.handleDatagram(DatagramKind.LimitRequest, (request) => this.answer(request));
    network.handleDatagram(DatagramKind.LimitAnswer, (answer) => this.receive(answer));
    this.subscriptions.push(timer.every(CHECK_INTERVAL_MS, () => this.check()));
  }

  stop(): void {
    this.subscriptions.splice(0).forEach((subscription) => subscription.cancel());
  }

  admit(team: string): Result<Permit, Fault> {
    const bounds = this.findBounds(team);
    if (bounds === undefined) {
      return err(this.createFault(FaultCode.Unauthorized, `team ${team} is not known`));
    }
    const now = this.options.io.timer.now();
    const held = this.find(team, bounds, now);
    const { holder } = held;
    this.fallBack(held, bounds, now);
    this.asker.countRequest();
    const decision = holder.admit(now);
    const isRefused = decision.admission !== Admission.Admitted;
    if (isRefused || holder.isNearBounds(now)) this.hurry(held, isRefused, now);
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

  private findBounds(team: string): TeamBounds | undefined {
    return this.options.configuration.get(RecordKind.Team, team)?.spec;
  }

  private find(team: string, bounds: TeamBounds, now: number): HeldTeam {
    const known = this.held.get(team);
    if (known !== undefined) return known;
    const held = createHeldTeam(team, new GrantHolder(this.createFallback(bounds), now));
    this.held.set(team, held);
    return held;
  }

  /** Without a grant the fallback share is in force. */
  private fallBack({ holder }: HeldTeam, bounds: TeamBounds, now: number): void {
    if (holder.isGranted(now)) return;
    holder.setBounds(this.createFallback(bounds), now);
  }

  /** Without the owner each VM may use an equal part of the limit, but at least one request. */
  private createFallback(bounds: TeamBounds): HeldBounds {
    const parts = this.countLive();
    return {
      requestsPerSecond: bounds.requestsPerSecond / parts,
      burst: bounds.burst / parts,
      concurrency: Math.max(1, Math.floor(bounds.concurrency / parts)),
    };
  }

  /** Counted once per interval, because a large fleet has hundreds of members. */
  private countLive(): number {
    const now = this.options.io.timer.now();
    if (now - this.live.countedAt >= CHECK_INTERVAL_MS) {
      const members = this.options.membership.members();
      const alive = members.filter(({ state }) => state === MemberState.Alive);
      this.live = { count: Math.max(1, alive.length), countedAt: now };
    }
    return this.live.count;
  }

  /** Asks at once, or in the next interval when the team was asked for just before. */
  private hurry(held: HeldTeam, isRefused: boolean, now: number): void {
    held.isUrgent = true;
    if (!this.asker.mayAsk(held, now)) return;
    if (isRefused) this.asker.ask([held]);
    else this.asker.askWithinBudget([held], now);
  }

  private check(): void {
    const now = this.options.io.timer.now();
    const due: HeldTeam[] = [];
    for (const [team, held] of this.held) {
      const bounds = this.findBounds(team);
      if (bounds === undefined || this.isForgotten(held, bounds, now)) this.held.delete(team);
      else if (this.isDue(held, bounds, now)) due.push(held);
    }
    this.asker.askWithinBudget(due, now);
    this.asker.prune(now);
    this.owner.prune(now);
  }

  private isForgotten(held: HeldTeam, bounds: TeamBounds, now: number): boolean {
    const { holder } = held;
    if (holder.idleFor(now) <= IDLE_AFTER_MS || holder.isGranted(now)) return false;
    this.fallBack(held, bounds, now);
    return holder.isFull(now);
  }

  private isDue(held: HeldTeam, bounds: TeamBounds, now: number): boolean {
    const quiet = findQuietUse(bounds, this.countLive());
    return this.asker.isDue(held, quiet, this.createFallback(bounds), now);
  }

  private answer(request: LimitRequest): void {
    const { io, entryVmId, membership } = this.options;
    const shares = this.owner.answer(request, request.teams, io.timer.now());
    const address = membership.find(request.from)?.peerAddress;
    if (shares === undefined || address === undefined) return;
    const { sequence } = request;
    const answer = { kind: DatagramKind.LimitAnswer as const, from: entryVmId, sequence };
    io.network.send(address, { ...answer, validMs: GRANT_VALID_MS, shares });
  }

  private receive(answer: LimitAnswer): void {
    this.askAgain(this.asker.receive(answer));
  }

  private recall(entryVmId: string, teams: string[]): void {
    const { io, membership } = this.options;
    if (entryVmId === this.options.entryVmId) {
      // After the grant that caused it, which is still being computed.
      io.timer.after(0, () => this.askAgain(teams));
      return;
    }
    const address = membership.find(entryVmId)?.peerAddress;
    if (address === undefined) return;
    const answer = { kind: DatagramKind.LimitAnswer as const, from: this.options.entryVmId };
    io.network.send(address, { ...answer, validMs: 0, shares: [], recalled: teams });
  }

  private askAgain(teams: readonly string[]): void {
    const now = this.options.io.timer.now();
    const held = teams.flatMap((team) => this.held.get(team) ?? []);
    held.forEach((team) => {
      team.isUrgent = true;
    });
    this.asker.ask(held.filter((team) => this.asker.mayAsk(team, now)));
  }

  private createFault(code: FaultCode, message: string): Fault {
    return { code, outcome: Outcome.NotRun, step: STEP, peer: this.options.entryVmId, message };
  }
}
