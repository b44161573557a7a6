import type { Log } from '@jujubelanding/log';
import type { Metrics } from '@jujubelanding/metrics';
import type { ConnectionResult } from '@jujubelanding/platform';
import type { Timer } from '@jujubelanding/timer';
import { RateBound } from './rate-bound.js';
import { decideLoss, type LossDecision, type LossVerdict } from './loss-decision.js';

/**
 * Times from one connection to the next, the first after the first loss. A worker that crashes may take some
 * ten milliseconds to close its listener. Further connections follow only while they are accepted and closed
 * at once; a worker that has crashed is down for longer than all of them take.
 */
const CHECK_DELAYS_MS = [100, 200, 400, 800];

/** Losses at one run within this time share their connections, so that each is checked 50 to 100 ms later. */
const SHARED_MS = 50;

/** Maximum number of connections per second that this VM opens to check workers. */
const MAX_CHECKS_PER_S = 20;

/** Maximum number of decisions per second that are logged. */
const MAX_LINES_PER_S = 10;

/** Maximum number of worker runs whose last data are remembered; the least recent ones are forgotten. */
const MAX_RUNS = 1024;

export interface LostRequest {
  parts: readonly string[];
  request: string | undefined;
}

export interface WorkerRun {
  runId: string;
  workerId: string;
  startedAt: number | undefined;
}

/** Losses at one run of a worker that are decided together. */
export interface LossGroup {
  run: WorkerRun;
  losses: LostRequest[];
  /** Parts and requests that were answered since the first loss. */
  answered: Set<string>;
}

interface OpenGroup extends LossGroup {
  firstLostAt: number;
  lostAt: number;
  upAt: number;
  /** Number of connections that were due so far. */
  checks: number;
  /** Result of the last connection that was opened. */
  connection: ConnectionResult | undefined;
}

/**
 * Opens a connection to a run of a worker. Resolves with undefined if it cannot be opened, for example
 * because the address of the run is not known.
 */
export type RunCheck = (
  workerId: string,
  startedAt: number | undefined,
) => Promise<ConnectionResult | undefined>;

export interface LossChecksOptions {
  timer: Timer;
  log: Log;
  metrics: Metrics;
  checkRun: RunCheck;
  onDecided: (group: LossGroup, verdict: LossVerdict) => void;
}

/** Finds out about each loss whether the run of the worker goes on. */
export class LossChecks {
  private readonly groups = new Set<OpenGroup>();

  /** Time of the last data by run, least recent first. */
  private readonly dataAt = new Map<string, number>();

  private readonly checkBound = new RateBound(MAX_CHECKS_PER_S);

  private readonly lineBound = new RateBound(MAX_LINES_PER_S);

  private omittedLines = 0;

  private isStopped = false;

  constructor(private readonly options: LossChecksOptions) {}

  /** Adds a request that was lost now; `sentAt` is the time at which it was sent to the run. */
  add(run: WorkerRun, lost: LostRequest, sentAt: number): void {
    const now = this.options.timer.now();
    const upAt = Math.max(sentAt, this.readDataAt(run.runId));
    const group = [...this.groups].find(
      ({ run: { runId }, firstLostAt }) => runId === run.runId && now - firstLostAt < SHARED_MS,
    );
    if (group !== undefined) {
      group.losses.push(lost);
      group.lostAt = now;
      group.upAt = Math.max(group.upAt, upAt);
      return;
    }
    const added: OpenGroup = {
      run,
      losses: [lost],
      answered: new Set(),
      firstLostAt: now,
      lostAt: now,
      upAt,
      checks: 0,
      connection: undefined,
    };
    this.groups.add(added);
    this.scheduleCheck(added);
  }

  /** Records data of any request of the run that were received now. */
  recordData(runId: string): void {
    this.dataAt.delete(runId);
    this.dataAt.set(runId, this.options.timer.now());
    if (this.dataAt.size > MAX_RUNS) this.dataAt.delete([...this.dataAt.keys()][0]!);
  }

  /** Records an answer to a request or to one with the part; it clears losses before it. */
  recordAnswer(id: string): void {
    this.groups.forEach(({ answered }) => answered.add(id));
  }

  stop(): void {
    this.isStopped = true;
    this.groups.clear();
  }

  private readDataAt(runId: string): number {
    return this.dataAt.get(runId) ?? -Infinity;
  }

  private scheduleCheck(group: OpenGroup): void {
    this.options.timer.after(CHECK_DELAYS_MS[group.checks]!, () => {
      void this.check(group);
    });
    group.checks += 1;
  }

  private async check(group: OpenGroup): Promise<void> {
    if (this.isStopped) return;
    const { timer, checkRun, onDecided } = this.options;
    const { run } = group;
    const checkedAt = timer.now();
    if (this.checkBound.take(checkedAt)) {
      group.connection = (await checkRun(run.workerId, run.startedAt)) ?? group.connection;
    }
    if (this.isStopped) return;
    const { lostAt, upAt, connection } = group;
    const dataAt = this.readDataAt(run.runId);
    const isLast = group.checks === CHECK_DELAYS_MS.length;
    const decision = decideLoss({ lostAt, upAt, dataAt, checkedAt, connection, isLast });
    if (decision === undefined) {
      this.scheduleCheck(group);
      return;
    }
    this.groups.delete(group);
    this.report(group, decision);
    onDecided(group, decision.verdict);
  }

  private report(
    { run, losses, lostAt, upAt, checks, connection }: OpenGroup,
    { verdict, evidence }: LossDecision,
  ): void {
    const { timer, log, metrics } = this.options;
    const now = timer.now();
    metrics.increment('quarantine.loss_decisions', { verdict, evidence });
    if (!this.lineBound.take(now)) {
      this.omittedLines += 1;
      return;
    }
    const dataAt = this.dataAt.get(run.runId);
    log.write('loss-decided', {
      worker: run.workerId,
      run: run.runId,
      losses: losses.length,
      verdict,
      evidence,
      connection,
      checks,
      ageMs: Math.round(now - lostAt),
      upAgeMs: Number.isFinite(upAt) ? Math.round(now - upAt) : undefined,
      dataAgeMs: dataAt === undefined ? undefined : Math.round(now - dataAt),
      omitted: this.omittedLines > 0 ? this.omittedLines : undefined,
    });
    this.omittedLines = 0;
  }
}
