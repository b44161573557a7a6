/** An entry VM on the platform: starts and stops its components. */
import type { Registration } from '@jujubelanding/entry-vm-registry';
import { openLoadSocket, type LoadSocket } from '@jujubelanding/fleet-load';
import type { Reply } from '@jujubelanding/errors';
import type { CallerExchange, CallerIdentity, InboundRequest } from '@jujubelanding/gateway';
import type { EntryPointResponse } from '@jujubelanding/interfaces';
import type { Log } from '@jujubelanding/log';
import type { StopStep } from '@jujubelanding/planned-stop';
import { openRelayServer, type RelayServer } from '@jujubelanding/store-relay';
import type { Subscription } from '@jujubelanding/timer';
import type { DeployedVmOptions } from './options.js';
import { createComponents } from './components.js';
import { selectEntryPoints } from './entry-point-selection.js';
import { computeEntryPointLifetime, STAYING_LIFETIME_MS } from './stop-times.js';

/** Interval at which the ages of the local copies are reported as a metric. */
const AGE_REPORT_INTERVAL_MS = 1000;

export class DeployedVm {
  private readonly components: ReturnType<typeof createComponents>;

  private readonly log: Log;

  private loadSocket: LoadSocket | undefined;

  private relayServer: RelayServer | undefined;

  private readonly subscriptions: Subscription[] = [];

  private isLeaving = false;

  /** Ids of the VMs that the last answer to a look-up named. */
  private lastNamed = { serving: '', staying: '' };

  constructor(private readonly options: DeployedVmOptions) {
    this.log = options.createLog('vm');
    this.components = createComponents(options, (message, addresses) => {
      this.loadSocket?.send(message, addresses);
    });
  }

  async start(): Promise<void> {
    const { settings, createLog } = this.options;
    const { loads, lease, registry, router, execution, planner, retention, quota, quarantine } =
      this.components;
    const opened = await openLoadSocket(settings.peerAddress, createLog('datagrams'), (message) => {
      loads.receive(message);
    });
    if (opened.isOk()) this.loadSocket = opened.value;
    else this.log.write('datagrams-not-open', { message: opened.error.message });
    this.relayServer = openRelayServer(
      settings.peerAddress,
      this.options.store,
      () => this.components.store.isDirect,
      (prefix, mustBeDirect) => this.components.findHub(prefix, mustBeDirect),
    );
    this.listFollowers().forEach((follower) => follower.start());
    lease.start();
    registry.start();
    loads.start();
    router.start();
    execution.start();
    planner.start();
    retention.start();
    quarantine.start();
    this.components.teamLimits.start();
    this.subscriptions.push(
      quota.start(),
      this.options.timer.every(AGE_REPORT_INTERVAL_MS, () => this.reportDataAges()),
    );
    const { entryVmId: vm, availabilityZone: zone, storeAddress: store } = settings;
    this.log.write('start', { vm, zone, store });
  }

  handle(exchange: CallerExchange): Promise<void> {
    return this.components.gateway.handle(exchange);
  }

  /** Returns who makes a call about a batch job. */
  identifyJobCaller(request: InboundRequest): Reply<CallerIdentity> {
    return this.components.gateway.identify(request);
  }

  /** True while this VM may receive callers. */
  isReady(): boolean {
    const { configuration, workers } = this.components;
    return !this.isLeaving && configuration.table !== undefined && workers.all().length > 0;
  }

  chooseEntryPoints(): EntryPointResponse | undefined {
    const { settings } = this.options;
    // Without the registrations this VM would name only itself.
    if (!this.components.jobFollower.isLoaded) return undefined;
    const serving = this.listServing();
    const staying = this.components.stop.listStaying(serving.length);
    if (serving.length + staying.length === 0) return undefined;
    this.logEntryPoints(serving, staying);
    const entryPoints = selectEntryPoints([...serving, ...staying], settings.entryVmId).map(
      ({ callerAddress, availabilityZone }) => ({ address: callerAddress, availabilityZone }),
    );
    const lifetimeMs = computeEntryPointLifetime(settings);
    return {
      entryPoints,
      lifetimeMs: this.components.stop.isFleetShort(serving.length)
        ? Math.min(STAYING_LIFETIME_MS, lifetimeMs)
        : lifetimeMs,
    };
  }

  /** Decides what this VM does next after {@link leave} was called. */
  decideStop(isListening: boolean, requestsInProgress: number): StopStep {
    return this.components.stop.decide(isListening, requestsInProgress);
  }

  /** Tells the other VMs that this VM accepts no connections any more. */
  announceClosing(): void {
    this.components.loads.announceClosing();
  }

  /** Removes this VM from the entry points and releases its jobs; requests are still served. */
  async leave(): Promise<void> {
    const { registry, loads, execution, lease, admission } = this.components;
    this.isLeaving = true;
    admission.beginStop();
    registry.leave();
    loads.announceLeaving();
    await execution.stop();
    // Releases what this VM still owns; its new registration tells VMs that start now that it is leaving.
    await lease.release();
  }

  /** Stops all components and closes all connections. */
  async close(): Promise<void> {
    const { loads, router, lease, execution, planner, registry, retention, store, quarantine } =
      this.components;
    this.subscriptions.splice(0).forEach((subscription) => subscription.cancel());
    retention.stop();
    quarantine.stop();
    this.components.teamLimits.stop();
    store.close();
    registry.stop();
    execution.close();
    planner.stop();
    lease.close();
    this.listFollowers().forEach((follower) => follower.stop());
    loads.stop();
    router.stop();
    this.loadSocket?.close();
    this.relayServer?.close();
    await this.options.backends.close();
  }

  /** Lists the VMs that serve callers; this one only once it is ready. */
  private listServing(): Registration[] {
    const self = this.options.settings.entryVmId;
    return this.components.registry
      .listServing()
      .filter(({ callerAddress }) => callerAddress !== '')
      .filter(({ entryVmId }) => entryVmId !== self || this.isReady());
  }

  /** Logs the VMs that callers get, when they change. */
  private logEntryPoints(serving: readonly Registration[], staying: readonly Registration[]): void {
    const listIds = (vms: readonly Registration[]): string =>
      vms
        .map(({ entryVmId }) => entryVmId)
        .toSorted()
        .join();
    const named = { serving: listIds(serving), staying: listIds(staying) };
    const { lastNamed } = this;
    if (named.serving === lastNamed.serving && named.staying === lastNamed.staying) return;
    this.lastNamed = named;
    this.log.write('entry-points', named);
  }

  /** Reports the time since the store last answered for the configuration, the workers and the jobs. */
  private reportDataAges(): void {
    const { operatorFollower, workerFollower, jobFollower } = this.components;
    const followers = {
      configuration: operatorFollower,
      workers: workerFollower,
      jobs: jobFollower,
    };
    Object.entries(followers).forEach(([subject, follower]) => {
      this.options.metrics.gauge('store.age', follower.ageMs(), { subject });
    });
  }

  private listFollowers() {
    const { operatorFollower, workerFollower, jobFollower } = this.components;
    return [operatorFollower, workerFollower, jobFollower];
  }
}
