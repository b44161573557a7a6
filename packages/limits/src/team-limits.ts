/** Team limits across all entry VMs, enforced locally with shares requested in the background. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { EntryVmIo, Permit, TeamLimits } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import { DatagramKind, type LimitAnswer, type LimitRequest } from '@jujubelanding/peer-protocol';
import type { Subscription } from '@jujubelanding/timer';
import { err, ok, type Result } from 'neverthrow';
import { GRANT_VALID_MS, type TeamBounds } from './grant-division.js';
import { Admission, GrantHolder, type ShareBounds } from './grant-holder.js';
import { LimitOwner } from './limit-owner.js';
import type { GrantPort } from './shard-limit-port.js';
import { computeUngrantedUsage } from './ungranted-usage.js';
import { createTeamState, ShareRequester, type TeamState } from './share-requester.js';

/** Interval at which holders compare usage with their shares; most intervals send nothing. */
const CHECK_INTERVAL_MS = 250;

/**
 * The state of a team without requests is dropped after this time, once its bucket is full again. If
 * it were dropped earlier, the rate of a team with rare requests would be measured from scratch each
 * time.
 */
const FORGET_AFTER_IDLE_MS = 60_000;

const STEP = 'limits';

export interface TeamLimitsOptions {
  io: Pick<EntryVmIo, 'timer' | 'network' | 'createLog' | 'metrics'>;
  port: GrantPort;
}

/** Implements `TeamLimits`, and the owner side for teams that this VM accounts for. */
export class TeamLimitsController implements TeamLimits {
  private readonly held = new Map<string, TeamState>();

  private readonly subscriptions: Subscription[] = [];

  private readonly log: Log;

  private readonly owner: LimitOwner;

  private readonly requester: ShareRequester;

  constructor(private readonly options: TeamLimitsOptions) {
    const { io } = options;
    this.log = io.createLog('limits');
    const recall = (entryVmId: string, teams: string[]): void => this.recall(entryVmId, teams);
    this.owner = new LimitOwner({ port: options.port, recall });
    this.requester = new ShareRequester({ ...options, owner: this.owner, log: this.log });
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
    const bounds = this.options.port.findBounds(team);
    if (bounds === undefined) {
      return err(this.createFault(FaultCode.Unauthorized, `team ${team} is not known`));
    }
    const now = this.options.io.timer.now();
    const teamState = this.findOrCreate(team, bounds, now);
    const { holder } = teamState;
    this.applyFallback(teamState, bounds, now);
    this.requester.countCallerRequest();
    const decision = holder.admit(now);
    const isRefused = decision.admission !== Admission.Admitted;
    if (isRefused || holder.isNearLimit(now)) this.requestSoon(teamState, isRefused, now);
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

  private findOrCreate(team: string, bounds: TeamBounds, now: number): TeamState {
    const existing = this.held.get(team);
    if (existing !== undefined) return existing;
    const teamState = createTeamState(team, new GrantHolder(this.createFallback(bounds), now));
    this.held.set(team, teamState);
    return teamState;
  }

  /** Applies the fallback share unless a grant is valid. */
  private applyFallback({ holder }: TeamState, bounds: TeamBounds, now: number): void {
    if (holder.isGranted(now)) return;
    holder.setBounds(this.createFallback(bounds), now);
  }

  /** Returns the share that applies without a grant: an equal share of the limits, with at least one slot. */
  private createFallback(bounds: TeamBounds): ShareBounds {
    const vmCount = this.options.port.countLiveVms();
    return {
      requestsPerSecond: bounds.requestsPerSecond / vmCount,
      burst: bounds.burst / vmCount,
      concurrency: Math.max(1, Math.floor(bounds.concurrency / vmCount)),
    };
  }

  /**
   * Requests a share at once, or in a later interval if the last request was too recent. The budget is
   * ignored after a refusal.
   */
  private requestSoon(teamState: TeamState, isRefused: boolean, now: number): void {
    teamState.isUrgent = true;
    if (!this.requester.mayRequest(teamState, now)) return;
    if (isRefused) this.requester.requestShares([teamState]);
    else this.requester.requestWithinBudget([teamState], now);
  }

  private check(): void {
    const now = this.options.io.timer.now();
    const due: TeamState[] = [];
    for (const [team, teamState] of this.held) {
      const bounds = this.options.port.findBounds(team);
      if (bounds === undefined || this.isExpired(teamState, bounds, now)) this.held.delete(team);
      else if (this.isDue(teamState, bounds, now)) due.push(teamState);
    }
    this.requester.requestWithinBudget(due, now);
    this.requester.prune(now);
    this.owner.prune(now);
  }

  private isExpired(teamState: TeamState, bounds: TeamBounds, now: number): boolean {
    const { holder } = teamState;
    if (holder.idleTimeMs(now) <= FORGET_AFTER_IDLE_MS || holder.isGranted(now)) return false;
    this.applyFallback(teamState, bounds, now);
    return holder.isBucketFull(now);
  }

  private isDue(teamState: TeamState, bounds: TeamBounds, now: number): boolean {
    const ungranted = computeUngrantedUsage(bounds, this.options.port.countLiveVms());
    return this.requester.isDue(teamState, ungranted, this.createFallback(bounds), now);
  }

  private answer(request: LimitRequest): void {
    const { io, port } = this.options;
    const shares = this.owner.answer(request, request.teams, io.timer.now());
    if (shares === undefined) return;
    const { sequence } = request;
    const answer = { kind: DatagramKind.LimitAnswer as const, from: port.entryVmId, sequence };
    port.send(request.from, { ...answer, validMs: GRANT_VALID_MS, shares });
  }

  private receive(answer: LimitAnswer): void {
    this.requestAgain(this.requester.receive(answer));
  }

  private recall(entryVmId: string, teams: string[]): void {
    const { io, port } = this.options;
    if (entryVmId === port.entryVmId) {
      // Deferred, because the grant that caused the recall is still being computed.
      io.timer.after(0, () => this.requestAgain(teams));
      return;
    }
    const answer = { kind: DatagramKind.LimitAnswer as const, from: port.entryVmId };
    port.send(entryVmId, { ...answer, validMs: 0, shares: [], recalled: teams });
  }

  private requestAgain(teams: readonly string[]): void {
    const now = this.options.io.timer.now();
    const teamStates = teams.flatMap((team) => this.held.get(team) ?? []);
    teamStates.forEach((each) => {
      each.isUrgent = true;
    });
    this.requester.requestShares(teamStates.filter((each) => this.requester.mayRequest(each, now)));
  }

  private createFault(code: FaultCode, message: string): Fault {
    return {
      code,
      outcome: Outcome.NotRun,
      step: STEP,
      peer: this.options.port.entryVmId,
      message,
    };
  }
}
