/** Rates of teams across all entry VMs: admits requests locally and reports them to the owners. */
import { FaultCode, Outcome, type Fault } from '@jujubelanding/errors';
import type { Log } from '@jujubelanding/log';
import type { Metrics } from '@jujubelanding/metrics';
import { hashText, type Random } from '@jujubelanding/random';
import type { Subscription, Timer } from '@jujubelanding/timer';
import { err, ok, type Result } from 'neverthrow';
import type { FleetLimitPort } from './limit-port.js';
import {
  decodeTeamShare,
  encodeAge,
  encodeReturned,
  encodeTotals,
  MAX_TEAMS_PER_MESSAGE,
  RateMessageKind,
  type RateMessage,
  type ShareEntry,
  type SharesMessage,
  type UsageMessage,
} from './rate-messages.js';
import { RateOwner } from './rate-owner.js';
import type { UsageTotals } from './team-account.js';
import {
  computeEqualShare,
  computeQuota,
  computeYoungFirst,
  type RateBounds,
} from './team-quota.js';
import { TeamUsage, UsageDecision } from './team-usage.js';

/** Interval at which reports that are due are sent, while there is anything to report. */
const TICK_MS = 20;

/** Requests are reported with the first tick after this time. */
const REPORT_DELAY_MS = 40;

/** Interval at which unanswered reports are repeated. */
const REPEAT_INTERVAL_MS = 100;

/** The same in a young fleet, in which new owners do not answer the first reports. */
const YOUNG_REPEAT_INTERVAL_MS = 50;

/** Interval of the repetitions while the owner is silent. */
const SILENT_REPEAT_INTERVAL_MS = 500;

/** Interval at which a VM that has just started greets others and reports to owners that are new. */
const START_INTERVAL_MS = 50;

/** This VM is taken as cut off once the answers of this many owners are late. */
const MIN_LATE_OWNERS = 2;

/** Usage of a team without requests for this time is forgotten, after the owner has forgotten it. */
const FORGET_AFTER_MS = 60_000;

const FORGET_INTERVAL_MS = 10_000;

export interface RateLimitsOptions {
  timer: Timer;
  random: Random;
  metrics: Metrics;
  log: Log;
  port: FleetLimitPort<RateMessage, RateBounds>;
}

export class RateLimits {
  private readonly usages = new Map<string, TeamUsage>();

  /** Teams with unreported requests or unanswered reports. */
  private readonly pending = new Set<string>();

  private readonly owner: RateOwner;

  private readonly run: number;

  /** Time since which this VM seems to be cut off; undefined while it hears from others. */
  private cutOffSince: number | undefined;

  private heardAt = -Infinity;

  private tick: Subscription | undefined;

  private starting: Subscription | undefined;

  private sequence = 0;

  private forgottenAt = 0;

  private isStopped = false;

  constructor(private readonly options: RateLimitsOptions) {
    this.owner = new RateOwner(options);
    this.run = hashText(options.port.bootId());
  }

  /** Greets the other VMs, which learn from it that this one has started. */
  start(): void {
    if (this.isStopped || this.options.port.readYoungMs() === undefined) return;
    this.greet();
    this.reportToNewOwners();
    this.starting = this.options.timer.after(START_INTERVAL_MS, () => this.start());
  }

  stop(): void {
    this.isStopped = true;
    this.tick?.cancel();
    this.starting?.cancel();
    this.owner.stop();
  }

  /** Number of teams with state on this VM. */
  get teamCount(): number {
    return this.usages.size + this.owner.teamCount;
  }

  /** Admits or refuses a request of a team; teams without a limit are not counted. */
  admit(team: string): Result<void, Fault> {
    const { timer, port } = this.options;
    const bounds = port.findBounds(team);
    if (bounds === undefined) return ok(undefined);
    const now = timer.now();
    if (!this.usages.has(team)) this.greet();
    const usage = this.findOrCreate(team);
    const { vmCount, position } = port.readFleet();
    const share = computeEqualShare(computeQuota(bounds), position, vmCount, hashText(team));
    const first = port.readYoungMs() === undefined ? undefined : computeYoungFirst(bounds);
    const decision = usage.decide(share, now, first, this.cutOffSince);
    this.pending.add(team);
    this.scheduleTick();
    return decision === UsageDecision.Admitted
      ? ok(undefined)
      : err(this.refuse(team, decision, usage, now));
  }

  /** Returns the token of a request that was admitted at the given time and then not sent to a worker. */
  returnUnsent(team: string, admittedAt: number): void {
    const usage = this.usages.get(team);
    if (usage?.returnToken(admittedAt, this.options.timer.now()) !== true) return;
    this.options.metrics.increment('limits.returned');
    this.pending.add(team);
    this.scheduleTick();
  }

  receive(message: RateMessage): void {
    if (this.isStopped) return;
    const { port, timer } = this.options;
    if (message.from !== port.entryVmId) {
      this.heardAt = timer.now();
      this.cutOffSince = undefined;
    }
    if (message.from !== port.entryVmId && port.recordMessage(message.from, message.youngMs)) {
      this.reportToNewOwners();
    }
    if (message.kind === RateMessageKind.Usage) this.answer(message);
    else this.applyShares(message);
  }

  private answer(message: UsageMessage): void {
    const { port } = this.options;
    const teams = this.owner.answer(message);
    if (message.isGreeting === true) this.owner.greet(message.from);
    if (teams.length === 0 && message.isGreeting !== true) return;
    const { entryVmId: from } = port;
    const answer: RateMessage = {
      kind: RateMessageKind.Shares,
      from,
      run: message.run,
      ...encodeAge(port.readYoungMs()),
      teams,
    };
    if (message.from === from) this.applyShares(answer);
    else port.send(message.from, answer);
  }

  private applyShares({ from, run, teams }: SharesMessage): void {
    const isAnswer = run !== undefined;
    // An answer to an earlier run of this process counts other requests.
    if (isAnswer && run !== this.run) return;
    const now = this.options.timer.now();
    teams.forEach((entry) => this.applyShare(from, entry, isAnswer, now));
  }

  private applyShare(ownerId: string, entry: ShareEntry, isAnswer: boolean, now: number): void {
    const [team] = entry;
    if (this.options.port.findBounds(team) === undefined) return;
    const isYoung = this.options.port.readYoungMs() !== undefined;
    this.findOrCreate(team).receive(ownerId, decodeTeamShare(entry), { isAnswer, isYoung }, now);
  }

  private findOrCreate(team: string): TeamUsage {
    const existing = this.usages.get(team);
    if (existing !== undefined) return existing;
    const usage = new TeamUsage(this.options.random.next(), this.options.timer.now());
    this.usages.set(team, usage);
    return usage;
  }

  private refuse(team: string, reason: UsageDecision, usage: TeamUsage, now: number): Fault {
    const { log, metrics, port, random } = this.options;
    const retryAfterMs = Math.round(usage.retryAfterMs(now) * (0.5 + random.next()));
    const entry = usage.takeLogEntry(now);
    if (entry !== undefined) log.write('refuse', { team, reason, retryAfterMs, ...entry });
    metrics.increment('limits.refused', { reason });
    return {
      code: FaultCode.RateLimited,
      outcome: Outcome.NotRun,
      step: 'limits',
      peer: port.entryVmId,
      message: `request limit of team ${team}: ${reason}`,
      retryAfterMs,
    };
  }

  private greet(): void {
    const { port } = this.options;
    const receivers = port.takeToGreet();
    if (receivers.length === 0) return;
    const greeting: RateMessage = {
      kind: RateMessageKind.Usage,
      from: port.entryVmId,
      run: this.run,
      sequence: this.sequence,
      ...encodeAge(port.readYoungMs()),
      isGreeting: true,
      teams: [],
    };
    receivers.forEach((entryVmId) => port.send(entryVmId, greeting));
  }

  /** An owner that is new in a young fleet accounts for all usage since the restart. */
  private reportToNewOwners(): void {
    const { timer, port } = this.options;
    const now = timer.now();
    for (const [team, usage] of this.usages) {
      const owner = port.findOwner(team);
      if (owner !== undefined && usage.reportTo(owner, now)) this.pending.add(team);
    }
    this.scheduleTick();
  }

  private scheduleTick(): void {
    if (this.isStopped || this.tick !== undefined || this.pending.size === 0) return;
    this.tick = this.options.timer.after(TICK_MS, () => {
      this.tick = undefined;
      this.reportDue();
      this.scheduleTick();
    });
  }

  private reportDue(): void {
    const now = this.options.timer.now();
    const byOwner = new Map<string, string[]>();
    for (const team of this.pending) {
      const usage = this.usages.get(team);
      const owner = this.options.port.findOwner(team);
      const isSettled = usage?.unreportedSince === undefined && !usage?.isUnanswered;
      const isLimited = this.options.port.findBounds(team) !== undefined;
      if (usage === undefined || isSettled || !isLimited) this.pending.delete(team);
      else if (owner !== undefined && this.isDue(usage, now)) {
        byOwner.set(owner, [...(byOwner.get(owner) ?? []), team]);
        if (usage.isAnswerLate(now)) this.reportToSubstitute(team, usage);
      }
    }
    byOwner.forEach((teams, owner) => this.report(owner, teams, now));
    this.checkCutOff(now);
    this.forgetIdle(now);
  }

  /**
   * If several owners are late and nothing was heard since, this VM is probably cut off from all. The other
   * teams then have no owner either, and their first requests would be admitted until their reports are late.
   */
  private checkCutOff(now: number): void {
    if (this.cutOffSince !== undefined) return;
    const owners = new Set<string>();
    for (const team of this.pending) {
      const late = this.usages.get(team)?.findLate(now);
      if (late !== undefined && late.since > this.heardAt) owners.add(late.ownerId);
    }
    owners.delete(this.options.port.entryVmId);
    if (owners.size < MIN_LATE_OWNERS) return;
    this.cutOffSince = now;
    const heardAgeMs = Math.round(now - this.heardAt);
    this.options.log.write('cut-off', { lateOwners: owners.size, heardAgeMs });
  }

  private isDue(usage: TeamUsage, now: number): boolean {
    if (usage.isUnanswered) {
      return now - usage.reportedAt >= this.repeatIntervalMs(usage, now);
    }
    return now - usage.unreportedSince! >= REPORT_DELAY_MS || usage.isUrgent(now);
  }

  private repeatIntervalMs(usage: TeamUsage, now: number): number {
    if (usage.isOwnerSilent(now)) return SILENT_REPEAT_INTERVAL_MS;
    const isYoung = this.options.port.readYoungMs() !== undefined;
    return isYoung ? YOUNG_REPEAT_INTERVAL_MS : REPEAT_INTERVAL_MS;
  }

  private report(owner: string, teams: readonly string[], now: number): void {
    const { port } = this.options;
    for (let start = 0; start < teams.length; start += MAX_TEAMS_PER_MESSAGE) {
      const batch = teams.slice(start, start + MAX_TEAMS_PER_MESSAGE);
      this.sequence += 1;
      const youngMs = port.readYoungMs();
      const percentages: number[] = [];
      const totals: UsageTotals[] = [];
      const entries = batch.map((team) => {
        const usage = this.usages.get(team)!;
        percentages.push(Math.round(usage.readFraction(now) * 100));
        totals.push(usage.totals);
        usage.recordReport(owner, now);
        return encodeTotals(team, usage.totals);
      });
      const message: RateMessage = {
        kind: RateMessageKind.Usage,
        from: port.entryVmId,
        run: this.run,
        sequence: this.sequence,
        ...(youngMs === undefined ? {} : { youngMs, percentages }),
        ...encodeReturned(totals),
        teams: entries,
      };
      if (owner === port.entryVmId) this.answer(message);
      else port.send(owner, message);
    }
  }

  /** Several VMs that miss answers make the next VM in rank announce a fraction before it takes over. */
  private reportToSubstitute(team: string, usage: TeamUsage): void {
    const { port } = this.options;
    const substitute = port.findSubstitute(team);
    if (substitute === undefined) return;
    this.sequence += 1;
    const message: RateMessage = {
      kind: RateMessageKind.Usage,
      from: port.entryVmId,
      run: this.run,
      sequence: this.sequence,
      isSubstitute: true,
      ...encodeAge(port.readYoungMs()),
      teams: [encodeTotals(team, usage.totals)],
    };
    if (substitute === port.entryVmId) this.owner.answer(message);
    else port.send(substitute, message);
  }

  private forgetIdle(now: number): void {
    if (now - this.forgottenAt < FORGET_INTERVAL_MS) return;
    this.forgottenAt = now;
    for (const [team, { usedAt }] of this.usages) {
      if (now - usedAt > FORGET_AFTER_MS && !this.pending.has(team)) this.usages.delete(team);
    }
  }
}
