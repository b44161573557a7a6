import type { ResultCounts } from '@jujubelanding/interfaces';
import type { Timer } from '@jujubelanding/timer';
import { encodeDepartures, toMessage, type Departure } from './departure.js';
import type { GroupCollector } from './group-collector.js';
import {
  MessageKind,
  type BatchWork,
  type Plan,
  type Report,
  type Totals,
  type View,
} from './load-message.js';
import type { LocalWork } from './local-work.js';
import { encodeResults, selectFailing } from './shared-results.js';

export interface MessageFactoryOptions {
  entryVmId: string;
  bootId: string;
  local: LocalWork;
  collector: GroupCollector;
  /** True if no other VM collects the load of this one. */
  isOwnCollector: () => boolean;
  timer: Pick<Timer, 'now'>;
  /** The planned stop of this VM. */
  readOwnDeparture: () => Departure | undefined;
  /** Results of the requests of this VM. */
  readOwnResults: () => ResultCounts;
}

const NO_RESULTS: ResultCounts = { workers: [], services: [] };

/** Creates the messages of this VM from its own work and the work that it collects. */
export class MessageFactory {
  private sequence = 0;

  constructor(private readonly options: MessageFactoryOptions) {}

  createReport(isUrgent: boolean, isDetaching: boolean): Report {
    const { entryVmId, bootId, local, timer, readOwnDeparture } = this.options;
    const departure = readOwnDeparture();
    const sequence = this.nextSequence();
    local.keepReport(sequence);
    return {
      kind: MessageKind.Report,
      entryVmId,
      bootId,
      sequence,
      isLeaving: departure !== undefined,
      ...(departure === undefined ? {} : { departure: toMessage(departure, timer.now()) }),
      isDetaching,
      isUrgent,
      workers: local.list(),
      batch: local.getBatchWork(),
      ...encodeResults(this.options.readOwnResults()),
    };
  }

  createTotals(withMembers: boolean, isUrgent: boolean): Totals {
    const { entryVmId, bootId, local, collector, isOwnCollector, timer } = this.options;
    const own = this.listOwnDeparture();
    const ownIds = isOwnCollector() && own.length === 0 ? [entryVmId] : [];
    const departures = [...collector.listLeavingMembers(), ...own];
    return {
      kind: MessageKind.Totals,
      collectorId: entryVmId,
      bootId,
      sequence: this.nextSequence(),
      isUrgent,
      workers: collector.sumGroup(isOwnCollector() ? local.list() : []),
      ...encodeDepartures(departures, timer.now()),
      collectors: collector.listCollectors(),
      ...(withMembers ? { members: [...ownIds, ...collector.listMembers()] } : {}),
      ...encodeResults(collector.sumGroupResults(this.readCollectedResults())),
    };
  }

  /** Adds the batch work of the group, which only the planner needs. */
  addBatchWork(totals: Totals): Totals {
    const { entryVmId, local, collector, isOwnCollector } = this.options;
    const own: [string, BatchWork][] = isOwnCollector() ? [[entryVmId, local.getBatchWork()]] : [];
    return { ...totals, batch: [...own, ...collector.listGroupBatch()] };
  }

  createView(withAlive: boolean): View {
    const { entryVmId, bootId, local, collector, isOwnCollector, timer } = this.options;
    const ownIds = this.listOwnDeparture().length === 0 ? [entryVmId] : [];
    return {
      kind: MessageKind.View,
      collectorId: entryVmId,
      bootId,
      sequence: this.nextSequence(),
      workers: collector.sumFleet(isOwnCollector() ? local.list() : []),
      reported: collector.listReports().map((report) => [report.entryVmId, report.sequence]),
      ...encodeDepartures(collector.listLeaving(), timer.now()),
      ...(withAlive ? { alive: [...ownIds, ...collector.listAlive()] } : {}),
      ...encodeResults(selectFailing(collector.sumFleetResults(this.readCollectedResults()))),
    };
  }

  createPlan(starts: Plan['starts'], cuts: Plan['cuts']): Plan {
    const { entryVmId, bootId } = this.options;
    const sequence = this.nextSequence();
    return { kind: MessageKind.Plan, plannerId: entryVmId, bootId, sequence, starts, cuts };
  }

  /** Own results that this VM sums itself; another collector has them from a report. */
  private readCollectedResults(): ResultCounts {
    return this.options.isOwnCollector() ? this.options.readOwnResults() : NO_RESULTS;
  }

  private listOwnDeparture(): Departure[] {
    const departure = this.options.readOwnDeparture();
    return departure === undefined ? [] : [departure];
  }

  private nextSequence(): number {
    this.sequence += 1;
    return this.sequence;
  }
}
