import type { Timer } from '@jujubelanding/timer';
import {
  listExpectedCollectors,
  MAX_DIRECT_VMS,
  rankCandidates,
  type CollectorCandidate,
  type CollectorChoice,
} from './collector-choice.js';
import type { GroupCollector } from './group-collector.js';
import type { LoadMessage } from './load-message.js';
import type { MessageFactory } from './message-factory.js';
import { MessagePacer } from './message-pacer.js';

/** Changes within this interval are sent in one message, in a fleet that exchanges loads directly. */
const DIRECT_INTERVAL_MS = 100;

/**
 * The same in a fleet with collectors. A count is sent three times until all VMs have it, and with older
 * counts all VMs would send their requests to the same few workers.
 */
const GROUP_INTERVAL_MS = 40;

/** Shortest interval between messages about workers that are nearly full. */
const URGENT_INTERVAL_MS = 20;

/** Interval of messages that are sent even without changes, as a liveness signal. */
export const HEARTBEAT_MS = 300;

/**
 * A planner without messages for this long is replaced. Until then no batch item gives way to online
 * requests, so this is shorter than the time after which counts are dropped.
 */
const PLANNER_TIMEOUT_MS = 900;

export interface LoadPublisherOptions {
  timer: Timer;
  self: CollectorCandidate;
  listOthers: () => readonly CollectorCandidate[];
  send: (message: LoadMessage, receiverIds: readonly string[]) => void;
  collector: GroupCollector;
  choice: CollectorChoice;
  messages: MessageFactory;
  isLeaving: () => boolean;
  hasLeft: (entryVmId: string) => boolean;
}

/** Decides when this VM sends which message about load, and to whom. */
export class LoadPublisher {
  private readonly reportPacer: MessagePacer;

  private readonly totalsPacer: MessagePacer;

  /** Totals for the planner, which are sent more often than those for other collectors. */
  private readonly plannerPacer: MessagePacer;

  private readonly viewPacer: MessagePacer;

  /** Messages that will list the live VMs; others omit them. */
  private readonly rosterDue = new Set<MessagePacer>();

  constructor(private readonly options: LoadPublisherOptions) {
    const { timer } = options;
    this.reportPacer = new MessagePacer(timer, (isUrgent) => this.sendReport(isUrgent));
    this.totalsPacer = new MessagePacer(timer, () => this.sendTotals());
    this.plannerPacer = new MessagePacer(timer, (isUrgent) => this.sendPlannerTotals(isUrgent));
    this.viewPacer = new MessagePacer(timer, () => this.sendView());
  }

  stop(): void {
    this.listPacers().forEach((pacer) => pacer.cancel());
  }

  /** True if the loads of this fleet are collected by group. */
  get isGrouped(): boolean {
    return this.options.listOthers().length + 1 > MAX_DIRECT_VMS;
  }

  /** The collector that plans batch slots, as far as this VM knows; undefined on a member of a group. */
  get plannerId(): string | undefined {
    const { self, listOthers, choice, collector, isLeaving, hasLeft } = this.options;
    if (!choice.isOwnCollector) return undefined;
    const known = new Map(listOthers().map((vm) => [vm.entryVmId, vm]));
    const collectors = collector
      .listCollectors(PLANNER_TIMEOUT_MS)
      .filter((entryVmId) => !hasLeft(entryVmId))
      .map((entryVmId) => known.get(entryVmId) ?? { entryVmId, availabilityZone: '', capacity: 0 });
    return rankCandidates(isLeaving() ? collectors : [self, ...collectors])[0]?.entryVmId;
  }

  /** Sends all messages at once. */
  sendAll(): void {
    this.listPacers().forEach((pacer) => {
      this.rosterDue.add(pacer);
      pacer.sendNow();
    });
  }

  /** Sends all messages soon, as a liveness signal. */
  beat(): void {
    this.listPacers().forEach((pacer) => {
      this.rosterDue.add(pacer);
      pacer.schedule(this.intervalMs);
    });
  }

  /** Sends the changed counts to all that sum them up. */
  publishOwn(isUrgent: boolean): void {
    const intervalMs = isUrgent ? URGENT_INTERVAL_MS : this.intervalMs;
    if (!this.options.choice.isOwnCollector) {
      this.reportPacer.schedule(intervalMs, isUrgent);
      return;
    }
    this.plannerPacer.schedule(intervalMs, isUrgent);
    this.viewPacer.schedule(this.intervalMs);
    // Without a group, the sums are those of this VM alone, and each of its requests matters to others.
    const totalsIntervalMs = this.options.collector.hasMembers ? this.intervalMs : intervalMs;
    this.totalsPacer.schedule(totalsIntervalMs, isUrgent);
  }

  /** Sends the sums that a report of a member has changed. */
  publishGroup(isUrgent: boolean): void {
    this.viewPacer.schedule(this.intervalMs);
    this.totalsPacer.schedule(this.intervalMs);
    this.plannerPacer.schedule(isUrgent ? URGENT_INTERVAL_MS : this.intervalMs, isUrgent);
  }

  /** Sends the sums that totals of another group have changed. */
  publishFleet(): void {
    this.viewPacer.schedule(this.intervalMs);
  }

  /** Tells collectors that they no longer collect the load of this VM. */
  detach(collectorId: string): void {
    const { send, messages } = this.options;
    send(messages.createReport(false, true), [collectorId]);
  }

  private get intervalMs(): number {
    return this.isGrouped ? GROUP_INTERVAL_MS : DIRECT_INTERVAL_MS;
  }

  private sendReport(isUrgent: boolean): void {
    const { choice, messages, send } = this.options;
    if (choice.receivers.length === 0) return;
    send(messages.createReport(isUrgent, false), choice.receivers);
  }

  private sendTotals(): void {
    const receiverIds = this.listOtherCollectors().filter((id) => id !== this.plannerId);
    if (receiverIds.length === 0) return;
    const withMembers = this.rosterDue.delete(this.totalsPacer);
    this.options.send(this.options.messages.createTotals(withMembers, false), receiverIds);
  }

  private sendPlannerTotals(isUrgent: boolean): void {
    const { plannerId } = this;
    if (plannerId === undefined || plannerId === this.options.self.entryVmId) return;
    const totals = this.options.messages.createTotals(
      this.rosterDue.delete(this.plannerPacer),
      isUrgent,
    );
    this.options.send(this.options.messages.addBatchWork(totals), [plannerId]);
  }

  /** Collectors to which this VM sends its totals; none if it is a plain member of a group. */
  private listOtherCollectors(): string[] {
    const { self, listOthers } = this.options;
    if (!this.options.choice.isOwnCollector && !this.options.collector.hasMembers) return [];
    const expected = listExpectedCollectors(self, listOthers());
    const members = new Set(this.options.collector.listMembers());
    return [...new Set([...expected, ...this.options.collector.listKnownCollectors()])].filter(
      (id) => !members.has(id),
    );
  }

  private sendView(): void {
    const receiverIds = this.options.collector.listReports().map(({ entryVmId }) => entryVmId);
    if (receiverIds.length === 0) return;
    const withAlive = this.rosterDue.delete(this.viewPacer);
    this.options.send(this.options.messages.createView(withAlive), receiverIds);
  }

  private listPacers(): MessagePacer[] {
    return [this.reportPacer, this.totalsPacer, this.plannerPacer, this.viewPacer];
  }
}
