/** The one place where the parts of an entry VM on the platform are created and connected. */
import { JobStore, JobTable, KeySpace, ResultReader } from '@jujubelanding/batch-ledger';
import { EntryVmRegistry, LeaseKeeper } from '@jujubelanding/entry-vm-registry';
import { FleetLoad, openDatagrams, type Datagrams } from '@jujubelanding/fleet-load';
import { Gateway, type BatchRequests, type CallerExchange } from '@jujubelanding/gateway';
import type { EntryPointAnswer } from '@jujubelanding/interfaces';
import { JobExecution } from '@jujubelanding/ledger-execution';
import type { Log } from '@jujubelanding/log';
import type { Metrics } from '@jujubelanding/metrics';
import {
  ChangeKind,
  type ForwardingBackends,
  type TransactionalStore,
} from '@jujubelanding/platform';
import type { Random } from '@jujubelanding/random';
import { RouteTable, type RoutingConfiguration } from '@jujubelanding/route-table';
import { Router } from '@jujubelanding/routing';
import { createLoadAwareChooser, DEFAULT_BOUNDS } from '@jujubelanding/routing';
import { StoreFollower, type FollowedChange } from '@jujubelanding/store-follower';
import type { Timer } from '@jujubelanding/timer';
import { WorkerRegistry, type RegisteredWorker } from '@jujubelanding/worker-registry';
import type { Result } from 'neverthrow';
import { BatchCalls } from './batch-calls.js';
import { Retirement } from './retirement.js';
import type { DeployedSettings } from './settings.js';

/** Names of keys in the store. */
export interface StoreKeys {
  /** Written by the operator. */
  operatorPrefix: string;
  configuration: string;
  retirementPrefix: string;
  retirementStatusPrefix: string;
  /** Written by workers. */
  workerPrefix: string;
  /** Written by this system and followed by all entry VMs. */
  followedPrefix: string;
  /** Written by this system and read on demand. */
  demandPrefix: string;
}

export interface DeployedVmOptions {
  settings: DeployedSettings;
  timer: Timer;
  random: Random;
  store: TransactionalStore;
  backends: ForwardingBackends;
  metrics: Metrics;
  createLog: (part: string) => Log;
  keys: StoreKeys;
  decodeConfiguration: (value: string) => Result<RoutingConfiguration, string>;
  decodeWorker: (id: string, value: string) => RegisteredWorker | undefined;
  retiredValue: string;
  /** Creates the handler of submissions from the calls of batch jobs. */
  createBatchRequests: (calls: BatchCalls) => BatchRequests;
  onConfiguration: (table: RouteTable) => void;
}

/** Time for which a watch of rarely changed keys waits; a silent connection shows after it. */
const QUIET_WATCH_MS = 1100;

/** Entries of workers change about once a second each; a call covers the changes of this time. */
const WORKER_PAUSE_MS = 500;

/** Changes of jobs within this time share a call. */
const JOB_PAUSE_MS = 120;

/** Callers keep the addresses this long, and some three times as long. */
const ENTRY_POINT_LIFETIME_MS = 2000;

/** Addresses in one answer; callers use no more. */
const MAX_ENTRY_POINTS = 64;

/** Requests of a worker whose entry is not known. */
const DEFAULT_SLOTS = 8;

/** Engines admit in order of arrival, so that a batch item takes a slot like any other request. */
const CHOOSER_BOUNDS = { ...DEFAULT_BOUNDS, batchWeight: 1 };

export class DeployedVm {
  readonly batchCalls: BatchCalls;

  readonly gateway: Gateway;

  private table: RouteTable | undefined;

  private readonly lease: LeaseKeeper;

  private readonly registry: EntryVmRegistry;

  private readonly loads: FleetLoad;

  private readonly workers: WorkerRegistry;

  private readonly jobs: JobTable;

  private readonly execution: JobExecution;

  private readonly retirement: Retirement;

  private readonly followers: StoreFollower[];

  private readonly router: Router;

  private readonly log: Log;

  private datagrams: Datagrams | undefined;

  private isLeaving = false;

  constructor(private readonly options: DeployedVmOptions) {
    const { settings, timer, random, store, backends, metrics, createLog, keys } = options;
    this.log = createLog('vm');
    const bootId = random.createId();
    const self = { entryVmId: settings.entryVmId, bootId };
    this.workers = new WorkerRegistry({
      timer,
      log: createLog('workers'),
      prefix: keys.workerPrefix,
      decode: options.decodeWorker,
    });
    this.loads = new FleetLoad({
      timer,
      ...self,
      send: (message) => {
        const addresses = this.registry.peers().map(({ peerAddress }) => peerAddress);
        this.datagrams?.send(message, addresses);
      },
      slotsOf: (id) => this.workers.find(id)?.slots ?? DEFAULT_SLOTS,
    });
    this.lease = new LeaseKeeper({
      store,
      timer,
      log: createLog('lease'),
      onLease: () => void this.registry.register(),
    });
    this.registry = new EntryVmRegistry({
      store,
      timer,
      log: createLog('registry'),
      lease: () => this.lease,
      liveness: () => this.loads,
      prefix: `${keys.followedPrefix}vm/`,
      self: {
        ...self,
        availabilityZone: settings.availabilityZone,
        callerAddress: settings.callerAddress ?? '',
        peerAddress: settings.peerAddress,
      },
    });
    const keySpace = new KeySpace(keys.followedPrefix, keys.demandPrefix);
    const jobsLog = createLog('jobs');
    this.jobs = new JobTable(keySpace, jobsLog);
    const jobFollower = new StoreFollower({
      store,
      timer,
      log: createLog('store'),
      prefix: keys.followedPrefix,
      watchMs: QUIET_WATCH_MS,
      pauseMs: JOB_PAUSE_MS,
      onChanges: (changes) => this.applyFollowed(changes),
    });
    this.followers = [
      jobFollower,
      new StoreFollower({
        store,
        timer,
        log: createLog('store'),
        prefix: keys.operatorPrefix,
        watchMs: QUIET_WATCH_MS,
        pauseMs: 0,
        onChanges: (changes) => this.applyOperator(changes),
      }),
      new StoreFollower({
        store,
        timer,
        log: createLog('store'),
        prefix: keys.workerPrefix,
        watchMs: QUIET_WATCH_MS,
        pauseMs: WORKER_PAUSE_MS,
        onChanges: (changes) => this.workers.apply(changes),
        onContact: (isReachable) => this.workers.setReachable(isReachable),
      }),
    ];
    const jobStore = new JobStore({
      store,
      timer,
      log: jobsLog,
      keys: keySpace,
      table: this.jobs,
      applyOwn: (changes) => jobFollower.apply(changes),
      self,
      leaseId: () => this.lease.current,
      onLeaseEnded: (leaseId) => this.lease.replace(leaseId),
    });
    const reader = new ResultReader({
      store,
      timer,
      keys: keySpace,
      table: this.jobs,
      jobs: jobStore,
      tableAgeMs: () => jobFollower.ageMs(),
    });
    const { loads } = this;
    this.execution = new JobExecution({
      timer,
      random,
      log: createLog('execution'),
      metrics,
      table: this.jobs,
      jobs: jobStore,
      reader,
      loads,
      directory: this.workers,
      backends,
      readTable: () => this.table,
      self,
      availabilityZone: settings.availabilityZone,
    });
    this.retirement = new Retirement({
      store,
      timer,
      log: createLog('retirement'),
      self: self.entryVmId,
      listServing: () => loads.listServing(),
      statusKey: (vmId) => `${keys.retirementStatusPrefix}${vmId}`,
      completedValue: options.retiredValue,
    });
    this.router = new Router({
      io: { timer, random, createLog, metrics },
      availabilityZone: settings.availabilityZone,
      directory: this.workers,
      loads,
      chooser: createLoadAwareChooser(CHOOSER_BOUNDS),
    });
    this.batchCalls = new BatchCalls({
      timer,
      log: createLog('batch'),
      metrics,
      jobs: jobStore,
      reader,
      acknowledgeMs: settings.acknowledgeMs,
    });
    this.gateway = new Gateway({
      timer,
      random,
      router: this.router,
      loads,
      backends,
      metrics,
      log: createLog('gateway'),
      readTable: () => this.table,
      batch: options.createBatchRequests(this.batchCalls),
    });
  }

  async start(): Promise<void> {
    const { settings, createLog } = this.options;
    const opened = await openDatagrams(settings.peerAddress, createLog('datagrams'), (message) =>
      this.loads.receive(message),
    );
    if (opened.isOk()) this.datagrams = opened.value;
    else this.log.write('datagrams-not-open', { message: opened.error.message });
    this.followers.forEach((follower) => follower.start());
    this.lease.start();
    this.loads.start();
    this.router.start();
    this.execution.start();
    this.log.write('start', {
      vm: settings.entryVmId,
      zone: settings.availabilityZone,
      store: settings.storeAddress,
    });
  }

  handle(exchange: CallerExchange): Promise<void> {
    return this.gateway.handle(exchange);
  }

  /** True while callers may be sent here. */
  isReady(): boolean {
    return !this.isLeaving && this.table !== undefined && this.workers.all().length > 0;
  }

  chooseEntryPoints(): EntryPointAnswer | undefined {
    const serving = this.registry.listServing().filter((vm) => vm.callerAddress !== '');
    const { self } = { self: this.options.settings.entryVmId };
    const usable = serving.filter(({ entryVmId }) => entryVmId !== self || this.isReady());
    if (usable.length === 0) return undefined;
    return {
      entryPoints: usable
        .slice(0, MAX_ENTRY_POINTS)
        .map(({ callerAddress, availabilityZone }) => ({ address: callerAddress, availabilityZone })),
      lifetimeMs: ENTRY_POINT_LIFETIME_MS,
    };
  }

  /** Takes this VM out of the answers and hands its jobs over; requests go on being served. */
  async leave(): Promise<void> {
    this.isLeaving = true;
    this.registry.leave();
    this.loads.leave();
    await this.execution.stop();
    await this.lease.stop();
  }

  /** Ends everything. */
  async close(): Promise<void> {
    this.followers.forEach((follower) => follower.stop());
    this.loads.stop();
    this.router.stop();
    this.datagrams?.close();
    await this.options.backends.close();
  }

  private applyFollowed(changes: FollowedChange[]): void {
    const prefix = `${this.options.keys.followedPrefix}vm/`;
    changes
      .filter(({ entry }) => entry.key.startsWith(prefix))
      .forEach((change) => this.registry.apply(change));
    this.jobs.apply(changes);
  }

  private applyOperator(changes: FollowedChange[]): void {
    const { configuration, retirementPrefix } = this.options.keys;
    for (const { kind, entry } of changes) {
      if (kind === ChangeKind.Delete) continue;
      if (entry.key === configuration) this.applyConfiguration(entry.value);
      else if (entry.key.startsWith(retirementPrefix)) {
        this.retirement.request(entry.key.slice(retirementPrefix.length));
      }
    }
  }

  /** Puts a configuration in force unless it is older than the one in force. */
  private applyConfiguration(value: string): void {
    const decoded = this.options.decodeConfiguration(value);
    if (decoded.isErr()) {
      this.log.write('configuration-rejected', { message: decoded.error });
      return;
    }
    const { version } = decoded.value;
    const current = this.table?.version;
    if (current !== undefined && version <= current) {
      this.log.write('configuration-ignored', { version, inForce: current });
      return;
    }
    this.table = new RouteTable(decoded.value);
    this.options.onConfiguration(this.table);
    const { routes } = decoded.value;
    this.log.write('configuration', { version, former: current, routes: routes.length });
  }
}
