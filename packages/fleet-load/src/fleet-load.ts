import type { WorkerLoad, WorkerLoads } from '@jujubelanding/interfaces';
import type { Subscription, Timer } from '@jujubelanding/timer';
import { CollectorChoice, type CollectorCandidate } from './collector-choice.js';
import { decodeDepartures, readDeparture, type Departure } from './departure.js';
import { DepartureList } from './departure-list.js';
import { FORGET_AFTER_MS, GroupCollector, PEER_TIMEOUT_MS } from './group-collector.js';
import {
  MessageKind,
  type BatchWork,
  type LimitMessage,
  type LoadMessage,
  type Plan,
  type Report,
  type RequestLoss,
  type Totals,
  type View,
  type WaitingCount,
} from './load-message.js';
import { HEARTBEAT_MS, LoadPublisher } from './load-publisher.js';
import { LocalWork, NO_WORK, type WorkCount } from './local-work.js';
import { MessageFactory } from './message-factory.js';
import { ResultExchange, type ResultExchangeOptions } from './result-exchange.js';

/** Online requests on workers with batch work and at most this many free slots are sent at once. */
const LOW_FREE_SLOTS = 1;

export interface FleetLoadOptions {
  timer: Timer;
  bootId: string;
  self: CollectorCandidate;
  /** Registered VMs other than this one. */
  listOthers: () => readonly CollectorCandidate[];
  send: (message: LoadMessage, receiverIds: readonly string[]) => void;
  /** Requests that a worker runs concurrently. */
  slotsOf: (workerId: string) => number;
  /** Reads the results of this VM's requests; they are not shared if absent. */
  readResults?: ResultExchangeOptions['readResults'];
}

/** Receives losses at crashes, and losses that may be crashes. */
type LossHandler = (lost: readonly RequestLoss[], suspected: readonly RequestLoss[]) => void;

interface ReceivedView {
  counts: Map<string, WorkCount>;
  /** Sequence of this VM's report that the counts include. */
  includedReport: number | undefined;
  receivedAt: number;
}

/**
 * Counts the work of this VM and learns that of the others. In a large fleet a VM reports to the collector
 * of its group and gets the sums over the fleet back; collectors exchange the sums of their groups. The
 * load messages of a VM thus grow with the workers and not with the fleet. Only losses of requests go to all
 * VMs directly.
 */
export class FleetLoad implements WorkerLoads {
  /** Results of requests, by which the workers of a service are compared. */
  readonly results: ResultExchange;

  private readonly local = new LocalWork();

  private readonly collector: GroupCollector;

  private readonly choice: CollectorChoice;

  private readonly messages: MessageFactory;

  private readonly publisher: LoadPublisher;

  private view: ReceivedView | undefined;

  private alive: readonly string[] = [];

  private readonly left = new DepartureList();

  private readonly urgentHandlers = new Set<() => void>();

  private readonly lossHandlers = new Set<LossHandler>();

  private readonly limitHandlers = new Set<(message: LimitMessage) => void>();

  private readonly planHandlers = new Set<(plan: Plan) => void>();

  private readonly subscriptions: Subscription[] = [];

  /** The planned stop of this VM. */
  private ownDeparture: Departure | undefined;

  constructor(private readonly options: FleetLoadOptions) {
    const { timer, self } = options;
    this.collector = new GroupCollector(timer, self.entryVmId);
    this.results = new ResultExchange({
      ...options,
      collector: this.collector,
      isCollecting: () => this.isCollecting,
    });
    const listCandidates = () => options.listOthers().filter((vm) => !this.left.has(vm.entryVmId));
    this.choice = new CollectorChoice({ timer, self, listCandidates });
    this.messages = new MessageFactory({
      entryVmId: self.entryVmId,
      bootId: options.bootId,
      local: this.local,
      collector: this.collector,
      isOwnCollector: () => this.choice.isOwnCollector,
      timer,
      readOwnDeparture: () => this.ownDeparture,
      readOwnResults: () => this.results.readOwn(),
    });
    this.publisher = new LoadPublisher({
      ...options,
      collector: this.collector,
      choice: this.choice,
      messages: this.messages,
      isLeaving: () => this.ownDeparture !== undefined,
      hasLeft: (entryVmId) => this.left.has(entryVmId),
    });
  }

  start(): void {
    this.subscriptions.push(this.options.timer.every(HEARTBEAT_MS, () => this.beat()));
    this.beat();
  }

  stop(): void {
    this.subscriptions.splice(0).forEach((subscription) => subscription.cancel());
    this.publisher.stop();
  }

  /** Announces at once that this VM accepts no new callers. */
  announceLeaving(): void {
    const { timer, self, bootId } = this.options;
    const now = timer.now();
    this.ownDeparture ??= {
      entryVmId: self.entryVmId,
      bootId,
      since: now,
      stoppedAt: timer.wallClock(),
      isClosed: false,
      heardAt: now,
    };
    this.publisher.sendAll();
  }

  /** Announces at once that this VM, which is leaving, accepts no connections. */
  announceClosing(): void {
    if (this.ownDeparture === undefined) return;
    this.ownDeparture.isClosed = true;
    this.publisher.sendAll();
  }

  /** The planned stop of this VM; undefined while it serves. */
  get departure(): Departure | undefined {
    return this.ownDeparture;
  }

  get(workerId: string): WorkerLoad {
    const { online, batch } = this.sum(workerId);
    return { workerId, slots: this.options.slotsOf(workerId), ageMs: 0, online, batch };
  }

  beginRequest(workerId: string): void {
    this.local.addOnline(workerId, 1);
    this.publish(this.isNearlyFull(workerId));
  }

  endRequest(workerId: string): void {
    this.local.addOnline(workerId, -1);
    this.publish(false);
  }

  beginBatch(runId: string, workerId: string, dueAt: number): void {
    this.local.beginRun(runId, workerId, dueAt);
    this.publish(false);
  }

  endBatch(runId: string): void {
    this.local.endRun(runId);
    // The planner gives the slot to an item that waits.
    this.publish(this.local.waiting.length > 0);
  }

  /** Sets this VM's batch items that wait for a slot, and the workers that it avoids for them. */
  setWaiting(waiting: readonly WaitingCount[], avoided: readonly string[]): void {
    const hasChanged =
      String(waiting) !== String(this.local.waiting) ||
      String(avoided) !== String(this.local.avoided);
    const wasEmpty = this.local.waiting.length === 0;
    this.local.waiting = waiting;
    this.local.avoided = avoided;
    if (hasChanged) this.publish(wasEmpty);
  }

  localInFlight(workerId: string): number {
    return this.local.get(workerId).online;
  }

  /** Lists the ids of other VMs that are alive and not leaving. */
  listServing(): string[] {
    const { self } = this.options;
    const ids = this.isCollecting ? this.collector.listAlive() : this.alive;
    return ids.filter((id) => id !== self.entryVmId && !this.left.has(id));
  }

  /** Returns whether the given run of an entry VM has announced its shutdown. */
  hasLeft(entryVmId: string, bootId: string): boolean {
    return this.left.hasRun(entryVmId, bootId);
  }

  /** Lists the other VMs that began to leave within the given time and do not serve again yet. */
  listLeaving(maxAgeMs: number): readonly Departure[] {
    const { timer, self } = this.options;
    return this.left
      .listSince(timer.now() - maxAgeMs)
      .filter(({ entryVmId }) => entryVmId !== self.entryVmId);
  }

  /** True if the loads of this fleet are collected by group, so that counts are older. */
  get isGrouped(): boolean {
    return this.publisher.isGrouped;
  }

  /** True if this VM plans the batch slots of the fleet. */
  get isPlanner(): boolean {
    return this.publisher.plannerId === this.options.self.entryVmId;
  }

  /** Batch work of all VMs; complete only at the planner. */
  listFleetBatch(): [entryVmId: string, work: BatchWork][] {
    const own: [string, BatchWork] = [this.options.self.entryVmId, this.local.getBatchWork()];
    return [own, ...this.collector.listFleetBatch()];
  }

  /** Sends slots and preemptions to a VM, which may be this one. */
  sendPlan(entryVmId: string, starts: Plan['starts'], cuts: Plan['cuts']): void {
    const plan = this.messages.createPlan(starts, cuts);
    if (entryVmId === this.options.self.entryVmId) this.receive(plan);
    else this.options.send(plan, [entryVmId]);
  }

  /** Calls the handler with each plan for this VM. */
  onPlan(handler: (plan: Plan) => void): Subscription {
    this.planHandlers.add(handler);
    return { cancel: () => this.planHandlers.delete(handler) };
  }

  /** Calls the handler when an online request may have to wait for a batch item. */
  onUrgent(handler: () => void): Subscription {
    this.urgentHandlers.add(handler);
    return { cancel: () => this.urgentHandlers.delete(handler) };
  }

  /** Calls the handler with the requests that another VM has lost at workers that crashed, or may have. */
  onLosses(handler: LossHandler): Subscription {
    this.lossHandlers.add(handler);
    return { cancel: () => this.lossHandlers.delete(handler) };
  }

  /** Tells all other VMs at once; a lost message is not sent again. */
  announceLosses(lost: RequestLoss[], suspected: RequestLoss[] = []): void {
    const { listOthers, send } = this.options;
    send(
      { kind: MessageKind.Losses, lost, ...(suspected.length > 0 ? { suspected } : {}) },
      listOthers().map(({ entryVmId }) => entryVmId),
    );
  }

  /** Calls the handler with each message about the limits of teams. */
  onLimits(handler: (message: LimitMessage) => void): Subscription {
    this.limitHandlers.add(handler);
    return { cancel: () => this.limitHandlers.delete(handler) };
  }

  sendLimits(entryVmId: string, message: LimitMessage): void {
    this.options.send(message, [entryVmId]);
  }

  receive(message: LoadMessage): void {
    const receiveLimits = (limits: LimitMessage): void =>
      this.limitHandlers.forEach((handler) => handler(limits));
    const handlers: {
      [Kind in MessageKind]: (message: Extract<LoadMessage, { kind: Kind }>) => void;
    } = {
      [MessageKind.Report]: (report) => this.receiveReport(report),
      [MessageKind.Totals]: (totals) => this.receiveTotals(totals),
      [MessageKind.View]: (view) => this.receiveView(view),
      [MessageKind.Losses]: ({ lost, suspected = [] }) =>
        this.lossHandlers.forEach((handler) => handler(lost, suspected)),
      [MessageKind.Plan]: (plan) => this.planHandlers.forEach((handler) => handler(plan)),
      [MessageKind.Usage]: receiveLimits,
      [MessageKind.Shares]: receiveLimits,
    };
    const handler = handlers[message.kind] as (message: LoadMessage) => void;
    handler(message);
  }

  private receiveReport(report: Report): void {
    this.collector.receiveReport(report);
    const departures = readDeparture(report, this.options.timer.now());
    this.recordLeaving(report.isLeaving ? [] : [report.entryVmId], departures);
    this.publisher.publishGroup(report.isUrgent);
    if (report.isUrgent) this.callUrgentHandlers();
  }

  private receiveTotals(totals: Totals): void {
    this.collector.receiveTotals(totals);
    const departures = decodeDepartures(totals, this.options.timer.now());
    this.recordLeaving(totals.members ?? [], departures);
    this.publisher.publishFleet();
    if (totals.isUrgent) this.callUrgentHandlers();
  }

  private receiveView(view: View): void {
    const replaced = this.choice.recordView(view.collectorId);
    if (replaced !== undefined) this.publisher.detach(replaced);
    if (this.choice.current !== view.collectorId) return;
    const self = this.options.self.entryVmId;
    this.view = {
      counts: new Map(view.workers.map(([id, online, batch]) => [id, { online, batch }])),
      includedReport: view.reported.find(([id]) => id === self)?.[1],
      receivedAt: this.options.timer.now(),
    };
    this.results.receive(view.results);
    if (view.alive !== undefined) this.alive = view.alive;
    this.recordLeaving(view.alive ?? [], decodeDepartures(view, this.options.timer.now()));
  }

  /** Records which VMs are leaving; one that serves again after a restart no longer is. */
  private recordLeaving(serving: readonly string[], departures: readonly Departure[]): void {
    serving.forEach((entryVmId) => this.left.remove(entryVmId));
    departures.forEach((departure) => this.left.add(departure));
  }

  /** True if this VM sums the loads itself, because it is its own collector or has none yet. */
  private get isCollecting(): boolean {
    const { view } = this;
    const isViewLive =
      view !== undefined && this.options.timer.now() - view.receivedAt < PEER_TIMEOUT_MS;
    return this.choice.isOwnCollector || !isViewLive;
  }

  private sum(workerId: string): WorkCount {
    if (this.isCollecting) {
      const others = this.collector.get(workerId);
      const own = this.local.get(workerId);
      return { online: others.online + own.online, batch: others.batch + own.batch };
    }
    const { counts, includedReport } = this.view!;
    const total = counts.get(workerId) ?? NO_WORK;
    const change = this.local.changeSince(includedReport, workerId);
    return {
      online: Math.max(0, total.online + change.online),
      batch: Math.max(0, total.batch + change.batch),
    };
  }

  private isNearlyFull(workerId: string): boolean {
    const { slots, online, batch } = this.get(workerId);
    return batch > 0 && slots - online - batch <= LOW_FREE_SLOTS;
  }

  /** Sends the changed counts to all that sum them up. */
  private publish(isUrgent: boolean): void {
    this.publisher.publishOwn(isUrgent);
    if (isUrgent && this.choice.isOwnCollector) this.callUrgentHandlers();
  }

  private callUrgentHandlers(): void {
    this.urgentHandlers.forEach((handler) => handler());
  }

  private beat(): void {
    const former = this.choice.update();
    if (former !== undefined) this.publisher.detach(former);
    this.collector.prune();
    this.left.prune(this.options.timer.now() - FORGET_AFTER_MS);
    this.publisher.beat();
  }
}
