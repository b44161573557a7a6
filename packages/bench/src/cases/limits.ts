/**
 * Compares the admitted rates of teams over all entry VMs with their limits, for even, skewed and
 * moving demand.
 */
import { DatagramKind } from '@jujubelanding/peer-protocol';
import type { Random } from '@jujubelanding/random';
import type { TeamRecord } from '@jujubelanding/types';
import { BenchFleet } from '../bench-fleet.js';
import { SVEPPASMIDJAN } from '../deployments.js';
import { drawExponential } from '../distributions.js';
import { mergeFigures, type Figures } from '../report.js';
import { CentralTokenBucket } from '../central-token-bucket.js';
import { createRandomStream } from '../random-stream.js';
import { isInWindow } from '../measurement-window.js';
import type { BenchCase } from './bench-case.js';

const WARM_UP_MS = 5000;

/** Duration of a request, for which it holds its permit; typical of short requests. */
const PERMIT_HOLD_MS = 100;

/** Share of a team's demand that arrives at its primary entry VM. */
const PRIMARY_VM_SHARE = 0.8;

/** Interval at which the primary entry VM of a team with moving demand changes. */
const MOVE_INTERVAL_MS = 7000;

const DEPLOYMENT = { ...SVEPPASMIDJAN, workers: 0 };

interface DemandPattern {
  teams: number;
  limitPerSecond: number;
  /** Demand of each team relative to its limit. */
  load: number;
  /** Chooses the entry VM that receives a request of the team. */
  chooseEntryVm: (random: Random, team: number, now: number) => number;
}

const chooseUniform = (random: Random): number => random.nextInt(DEPLOYMENT.entryVms);

const chooseSkewed = (random: Random, team: number): number =>
  random.next() < PRIMARY_VM_SHARE ? team % DEPLOYMENT.entryVms : chooseUniform(random);

const chooseMoving = (random: Random, team: number, now: number): number =>
  chooseSkewed(random, team + Math.floor(now / MOVE_INTERVAL_MS));

const VARIANTS: Record<string, DemandPattern> = {
  evenAbove: { teams: 4, limitPerSecond: 40, load: 1.5, chooseEntryVm: chooseUniform },
  skewedAbove: { teams: 4, limitPerSecond: 40, load: 1.5, chooseEntryVm: chooseSkewed },
  movingAbove: { teams: 4, limitPerSecond: 40, load: 1.5, chooseEntryVm: chooseMoving },
  evenBelow: { teams: 4, limitPerSecond: 40, load: 0.8, chooseEntryVm: chooseUniform },
  movingBelow: { teams: 4, limitPerSecond: 40, load: 0.8, chooseEntryVm: chooseMoving },
  // At the design size a team sends about one request per second.
  smallTeams: { teams: 40, limitPerSecond: 2, load: 0.5, chooseEntryVm: chooseUniform },
};

const createTeam = (limitPerSecond: number): TeamRecord => ({
  keyHashes: [],
  requestsPerSecond: limitPerSecond,
  burst: limitPerSecond,
  concurrency: 10 * limitPerSecond,
  maxBodyBytes: 1_000_000,
  maxJobItems: 1000,
  batchWeight: 1,
});

const formatTeamName = (team: number): string => `team-${team}`;

interface ReferenceBuckets {
  /** Receives all requests; admits what a single central bucket would admit. */
  central: CentralTokenBucket;
  /** Receives the requests that the limits admitted; measures by how much they exceed the limit. */
  actual: CentralTokenBucket;
}

/** Sends the requests of one run and counts how many the limits admit. */
class LimitsSimulation {
  private requests = 0;

  private admitted = 0;

  private centrallyAdmitted = 0;

  /**
   * Largest number of requests above rate and burst in any interval of the run, including warm-up.
   */
  private largestExcess = 0;

  private readonly references: ReferenceBuckets[];

  private readonly random: Random;

  private readonly fleet: BenchFleet;

  /** Number of datagrams at the start of the window. */
  private datagramsBefore = 0;

  constructor(
    private readonly demand: DemandPattern,
    seed: number,
    private readonly window: { from: number; to: number },
  ) {
    this.random = createRandomStream(seed, 'demand');
    const { teams, limitPerSecond } = demand;
    this.references = Array.from({ length: teams }, () => ({
      central: new CentralTokenBucket(limitPerSecond, limitPerSecond),
      actual: new CentralTokenBucket(limitPerSecond, limitPerSecond),
    }));
    const records = Array.from({ length: teams }, (_, team) => [
      formatTeamName(team),
      createTeam(limitPerSecond),
    ]);
    this.fleet = new BenchFleet({
      deployment: DEPLOYMENT,
      seed,
      window,
      teams: Object.fromEntries(records) as Record<string, TeamRecord>,
    });
  }

  async run(): Promise<Figures> {
    const { teams, limitPerSecond } = this.demand;
    for (let team = 0; team < teams; team += 1) this.scheduleNext(team);
    await this.fleet.runUntil(this.window.from);
    this.datagramsBefore = this.countDatagrams();
    await this.fleet.runUntil(this.window.to);
    const seconds = (this.window.to - this.window.from) / 1000;
    const datagrams = this.countDatagrams() - this.datagramsBefore;
    return {
      requests: this.requests,
      admittedOverLimit: this.admitted / (teams * limitPerSecond * seconds),
      admittedOverDemand: this.admitted / this.requests,
      admittedOverCentral: this.admitted / this.centrallyAdmitted,
      excessInSeconds: this.largestExcess / limitPerSecond,
      datagramsPerRequest: datagrams / this.requests,
      datagramsPerSecondAndVm: datagrams / seconds / DEPLOYMENT.entryVms,
    };
  }

  /** Counts limit requests and answers; a VM that owns the team's shard sends none. */
  private countDatagrams(): number {
    const { datagrams } = this.fleet.networkState.traffic;
    const getCount = (kind: DatagramKind): number => datagrams.get(kind) ?? 0;
    return getCount(DatagramKind.LimitRequest) + getCount(DatagramKind.LimitAnswer);
  }

  private scheduleNext(team: number): void {
    const { limitPerSecond, load } = this.demand;
    const meanGapMs = 1000 / (limitPerSecond * load);
    this.fleet.timer.after(drawExponential(this.random, meanGapMs), () => {
      this.sendRequest(team);
      this.scheduleNext(team);
    });
  }

  private sendRequest(team: number): void {
    const { timer, nodes } = this.fleet;
    const now = timer.now();
    const node = nodes[this.demand.chooseEntryVm(this.random, team, now) % nodes.length]!;
    const permit = node.limits.admit(formatTeamName(team));
    if (permit.isOk()) timer.after(PERMIT_HOLD_MS, () => permit.value.release());
    const { central, actual } = this.references[team]!;
    const isCentrallyAdmitted = central.admit(now);
    if (permit.isOk()) this.largestExcess = Math.max(this.largestExcess, actual.forceAdmit(now));
    if (!isInWindow(this.window, now)) return;
    this.requests += 1;
    if (isCentrallyAdmitted) this.centrallyAdmitted += 1;
    if (permit.isOk()) this.admitted += 1;
  }
}

export const limitsCase: BenchCase = {
  variants: Object.keys(VARIANTS),
  run: async ({ variant, seed, seconds }) => {
    const window = { from: WARM_UP_MS, to: WARM_UP_MS + seconds * 1000 };
    return { figures: await new LimitsSimulation(VARIANTS[variant]!, seed, window).run() };
  },
  summarize: (results) =>
    [...results].map(([variant, runs]) => {
      const { teams, limitPerSecond, load } = VARIANTS[variant]!;
      const demand = { variant, teams, limitPerSecond, demandOverLimit: load };
      return { case: 'limits', fields: { ...demand, ...mergeFigures(runs) } };
    }),
};
