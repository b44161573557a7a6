/** Sums the loads of a group of VMs, and those of all groups. */
import type { ResultCounts } from '@jujubelanding/interfaces';
import type { Timer } from '@jujubelanding/timer';
import { decodeDepartures, readDeparture, type Departure } from './departure.js';
import type { BatchWork, Report, Totals, WorkerCount } from './load-message.js';
import { NO_WORK, type WorkCount } from './local-work.js';
import { decodeResults, sumResults } from './shared-results.js';

/** Counts of a VM without messages for this long, just over three heartbeats, are dropped. */
export const PEER_TIMEOUT_MS = 1300;

/** Silent VMs are remembered this long, so that their delayed messages are recognized as old. */
export const FORGET_AFTER_MS = 60_000;

interface Received<T> {
  message: T;
  receivedAt: number;
}

const isOlder = (
  message: { bootId: string; sequence: number },
  previous: { bootId: string; sequence: number } | undefined,
): boolean => previous?.bootId === message.bootId && message.sequence <= previous.sequence;

const addCounts = (sums: Map<string, WorkCount>, counts: readonly WorkerCount[]): void => {
  for (const [workerId, online, batch] of counts) {
    const sum = sums.get(workerId) ?? NO_WORK;
    sums.set(workerId, { online: sum.online + online, batch: sum.batch + batch });
  }
};

const toCounts = (sums: ReadonlyMap<string, WorkCount>): WorkerCount[] =>
  [...sums].map(([workerId, { online, batch }]) => [workerId, online, batch]);

export class GroupCollector {
  private readonly reports = new Map<string, Received<Report>>();

  private readonly totals = new Map<string, Received<Totals>>();

  /** Members of the other groups; totals do not always contain them. */
  private readonly members = new Map<string, readonly string[]>();

  /** Batch work of the VMs of other groups, by collector. */
  private readonly batchWork = new Map<string, readonly [string, BatchWork][]>();

  /** Sums over all received messages; undefined after a change. */
  private sums: Map<string, WorkCount> | undefined;

  /** Time at which the first of the summed messages times out. */
  private sumsExpireAt = -Infinity;

  constructor(
    private readonly timer: Pick<Timer, 'now'>,
    private readonly self: string,
  ) {}

  /** True if other VMs report to this one. */
  get hasMembers(): boolean {
    return this.listReports().length > 0;
  }

  receiveReport(report: Report): void {
    const { entryVmId } = report;
    if (isOlder(report, this.reports.get(entryVmId)?.message)) return;
    this.reports.set(entryVmId, { message: report, receivedAt: this.timer.now() });
    if (report.isDetaching) this.reports.delete(entryVmId);
    this.sums = undefined;
  }

  receiveTotals(totals: Totals): void {
    const { collectorId } = totals;
    if (isOlder(totals, this.totals.get(collectorId)?.message)) return;
    this.totals.set(collectorId, { message: totals, receivedAt: this.timer.now() });
    if (totals.members !== undefined) this.members.set(collectorId, totals.members);
    if (totals.batch !== undefined) this.batchWork.set(collectorId, totals.batch);
    this.sums = undefined;
  }

  /** Sum over the other VMs of the fleet. */
  get(workerId: string): WorkCount {
    return this.sumAll().get(workerId) ?? NO_WORK;
  }

  /** Sums over the VMs of this group, with the counts of this VM. */
  sumGroup(local: readonly WorkerCount[]): WorkerCount[] {
    const sums = new Map<string, WorkCount>();
    addCounts(sums, local);
    this.listReports().forEach(({ workers }) => addCounts(sums, workers));
    return toCounts(sums);
  }

  /** Sums over the fleet, with the counts of this VM. */
  sumFleet(local: readonly WorkerCount[]): WorkerCount[] {
    const sums = new Map(this.sumAll());
    addCounts(sums, local);
    return toCounts(sums);
  }

  /** Results of the VMs of this group, with those of this VM. */
  sumGroupResults(local: ResultCounts): ResultCounts {
    return sumResults([local, ...this.listReports().map(({ results }) => decodeResults(results))]);
  }

  /** Results of all VMs, with those of this VM. */
  sumFleetResults(local: ResultCounts): ResultCounts {
    const totals = this.listLive(this.totals).map(({ results }) => decodeResults(results));
    return sumResults([this.sumGroupResults(local), ...totals]);
  }

  listReports(): Report[] {
    return this.listLive(this.reports);
  }

  /** Ids of the other collectors from which a message arrived within the given time. */
  listCollectors(maxSilenceMs = PEER_TIMEOUT_MS): string[] {
    return this.listLive(this.totals, maxSilenceMs).map(({ collectorId }) => collectorId);
  }

  /** Ids of collectors that this VM or another collector hears from. */
  listKnownCollectors(): string[] {
    const ids = this.listLive(this.totals).flatMap(({ collectorId, collectors }) => [
      collectorId,
      ...collectors,
    ]);
    return [...new Set(ids)].filter((id) => id !== this.self);
  }

  /** Ids of the other VMs of this group that are alive and not leaving. */
  listMembers(): string[] {
    return this.listReports()
      .filter(({ isLeaving }) => !isLeaving)
      .map(({ entryVmId }) => entryVmId);
  }

  /** Ids of the other VMs of the fleet that are alive and not leaving. */
  listAlive(): string[] {
    const others = this.listCollectors().flatMap((id) => this.members.get(id) ?? [id]);
    const leaving = new Set(this.listLeaving().map(({ entryVmId }) => entryVmId));
    const alive = new Set([...this.listMembers(), ...others]);
    return [...alive].filter((id) => id !== this.self && !leaving.has(id));
  }

  /** VMs of this group that are leaving. */
  listLeavingMembers(): Departure[] {
    return this.listLiveReceived(this.reports).flatMap(({ message, receivedAt }) =>
      readDeparture(message, receivedAt),
    );
  }

  listLeaving(): Departure[] {
    const others = this.listLiveReceived(this.totals).flatMap(({ message, receivedAt }) =>
      decodeDepartures(message, receivedAt),
    );
    return [...this.listLeavingMembers(), ...others];
  }

  /** Batch work of the VMs of this group, without this VM. */
  listGroupBatch(): [entryVmId: string, work: BatchWork][] {
    return this.listReports().map(({ entryVmId, batch }) => [entryVmId, batch]);
  }

  /** Batch work of all other VMs; complete only at the planner. */
  listFleetBatch(): [entryVmId: string, work: BatchWork][] {
    const others = this.listCollectors().flatMap((id) => this.batchWork.get(id) ?? []);
    return [...this.listGroupBatch(), ...others];
  }

  /** Forgets VMs that have been silent for long. */
  prune(): void {
    const oldest = this.timer.now() - FORGET_AFTER_MS;
    for (const received of [this.reports, this.totals]) {
      for (const [id, { receivedAt }] of received) {
        if (receivedAt < oldest) {
          received.delete(id);
          this.members.delete(id);
          this.batchWork.delete(id);
        }
      }
    }
  }

  private sumAll(): ReadonlyMap<string, WorkCount> {
    if (this.sums !== undefined && this.timer.now() < this.sumsExpireAt) return this.sums;
    const sums = new Map<string, WorkCount>();
    this.listReports().forEach(({ workers }) => addCounts(sums, workers));
    this.listLive(this.totals).forEach(({ workers }) => addCounts(sums, workers));
    const receivedAt = [...this.reports.values(), ...this.totals.values()].map(
      (received) => received.receivedAt,
    );
    const live = receivedAt.filter((at) => this.isLive(at));
    this.sumsExpireAt = Math.min(...live) + PEER_TIMEOUT_MS;
    this.sums = sums;
    return sums;
  }

  private isLive(receivedAt: number, maxSilenceMs = PEER_TIMEOUT_MS): boolean {
    return this.timer.now() - receivedAt < maxSilenceMs;
  }

  private listLive<T>(received: ReadonlyMap<string, Received<T>>, maxSilenceMs?: number): T[] {
    return this.listLiveReceived(received, maxSilenceMs).map(({ message }) => message);
  }

  private listLiveReceived<T>(
    received: ReadonlyMap<string, Received<T>>,
    maxSilenceMs?: number,
  ): Received<T>[] {
    return [...received.values()].filter(({ receivedAt }) => this.isLive(receivedAt, maxSilenceMs));
  }
}
