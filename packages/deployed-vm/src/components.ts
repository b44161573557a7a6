/** Creates the components of an entry VM and connects them. */
import { AdmissionQueue } from '@jujubelanding/admission-queue';
import { Gateway } from '@jujubelanding/gateway';
import { JobExecution } from '@jujubelanding/ledger-execution';
import { Admission } from '@jujubelanding/planned-stop';
import { ChangeKind } from '@jujubelanding/platform';
import { RelayedStore, WatchHub, type SharedCopy } from '@jujubelanding/store-relay';
import { Router } from '@jujubelanding/routing';
import {
  StoreFollower,
  type FollowedChange,
  type StoreFollowerOptions,
} from '@jujubelanding/store-follower';
import { SlotPlanner } from '@jujubelanding/slot-planning';
import { WorkerRegistry } from '@jujubelanding/worker-registry';
import { BatchJobApi } from './batch-job-api.js';
import { ConfigurationState } from './configuration-state.js';
import { ConnectionLimiter } from './connection-limiter.js';
import {
  createFleet,
  createQuarantine,
  createSharedCopies,
  type Fleet,
  type SharedCopies,
  type SendMessage,
} from './fleet-components.js';
import { createLimits } from './limit-components.js';
import { createJobs } from './job-components.js';
import { StartupGate } from './startup-gate.js';
import type { DeployedVmOptions } from './options.js';
import { RetirementReporter } from './retirement-reporter.js';
import { createSpeeds, SpeedObserver } from './speed-observer.js';
import { StopCoordinator } from './stop-coordinator.js';
import { computeCallerDrain, computeStopTime } from './stop-times.js';
import { createChooser } from './worker-chooser.js';

/** Wait of a watch of the store, so that an idle copy that is current is always below the maximum age. */
const WATCH_WAIT_SHARE = 0.5;

/**
 * Pause between watches of worker entries, which change about once a second each, so that changes share
 * a call. A leaving worker must get no more requests two seconds after it announced that it leaves.
 */
const WORKER_WATCH_PAUSE_MS = 900;

/** Pause between watches of jobs, so that changes share a call. Every VM must know a new job within 1 s. */
const JOB_WATCH_PAUSE_MS = 450;

/**
 * Maximum time between two answers to the watches of jobs. Readers of results take a table of jobs that is
 * younger than 0.8 s as current; otherwise each of their calls reads the store.
 */
const JOB_WATCH_MS = 700;

/**
 * Share of the drain time of a worker in which it gets requests if its service has no other worker; the
 * rest is a margin for requests that are tried again.
 */
const LAST_RESORT_SHARE = 0.5;

const createWorkers = (options: DeployedVmOptions): WorkerRegistry => {
  const { timer, createLog, keys, decodeWorker, settings, backends } = options;
  const workers = new WorkerRegistry({
    timer,
    log: createLog('workers'),
    prefix: keys.workerPrefix,
    decode: decodeWorker,
    lastResortMs: settings.workerDrainMs * LAST_RESORT_SHARE,
  });
  backends.onLeaving((worker) => workers.recordLeaving(worker));
  return workers;
};

/** Timeout of an online request's first event. Slow workers need 100 ms; callers expect it within 300 ms. */
const FIRST_EVENT_TIMEOUT_MS = 400;

const createOperatorHandler =
  (
    { keys }: DeployedVmOptions,
    configuration: ConfigurationState,
    retirement: RetirementReporter,
  ): StoreFollowerOptions['onChanges'] =>
  (changes) => {
    for (const { kind, entry } of changes) {
      if (kind === ChangeKind.Delete) continue;
      if (entry.key === keys.configuration) configuration.apply(entry.value);
      else if (entry.key.startsWith(keys.retirementPrefix)) {
        retirement.request(entry.key.slice(keys.retirementPrefix.length));
      }
    }
  };

/** Creates the followers of store keys, and the components that handle entries of the operator. */
const createFollowers = (
  options: DeployedVmOptions,
  workers: WorkerRegistry,
  fleet: Fleet,
  copies: SharedCopies,
  hasStorePath: () => boolean,
  applyLocalChanges: (changes: FollowedChange[]) => void,
  onConfigurationApplied: () => void,
) => {
  const { settings, timer, store, createLog, keys } = options;
  const configuration = new ConfigurationState({
    log: createLog('configuration'),
    decode: options.decodeConfiguration,
    onChange: (table) => {
      options.onConfiguration(table);
      onConfigurationApplied();
    },
  });
  const retirement = new RetirementReporter({
    store,
    timer,
    log: createLog('retirement'),
    self: settings.entryVmId,
    listServing: () => fleet.loads.listServing(),
    statusKey: (vmId) => `${keys.retirementStatusPrefix}${vmId}`,
    completedValue: options.retiredValue,
  });
  const hubs = new Map<string, { hub: WatchHub; copy: SharedCopy }>();
  const watchMs = settings.configurationApplyMs * WATCH_WAIT_SHARE;
  const follow = (
    copy: SharedCopy,
    overrides: Partial<StoreFollowerOptions> & Pick<StoreFollowerOptions, 'prefix' | 'onChanges'>,
  ) => {
    const hub = new WatchHub(timer);
    const follower = new StoreFollower({
      store: copy,
      timer,
      log: createLog('store'),
      watchMs,
      pauseMs: 0,
      onAnswer: (changes, revision, isList) => hub.recordAnswer(changes, revision, isList),
      ...overrides,
    });
    hub.attach(follower);
    hubs.set(overrides.prefix, { hub, copy });
    return follower;
  };
  const findHub = (prefix: string, mustBeDirect: boolean): WatchHub | undefined => {
    const found = hubs.get(prefix);
    if (found === undefined) return undefined;
    const { hub, copy } = found;
    // Hubs do better to read the store than to wait for the calls of a root that has lost its own path.
    const mayServe = mustBeDirect ? copy.isDirect && hasStorePath() : copy.isHub;
    return mayServe ? hub : undefined;
  };
  return {
    findHub,
    configuration,
    operatorFollower: follow(copies.operator, {
      prefix: keys.operatorPrefix,
      onChanges: createOperatorHandler(options, configuration, retirement),
    }),
    workerFollower: follow(copies.fleet, {
      prefix: keys.workerPrefix,
      pauseMs: WORKER_WATCH_PAUSE_MS,
      onChanges: (changes) => workers.apply(changes),
      onContact: (isReachable) => workers.setReachable(isReachable),
    }),
    jobFollower: follow(copies.fleet, {
      prefix: keys.followedPrefix,
      watchMs: Math.min(watchMs, JOB_WATCH_MS),
      pauseMs: JOB_WATCH_PAUSE_MS,
      onChanges: applyLocalChanges,
    }),
  };
};

/** Creates the store that uses the direct path, or a peer while the direct path does not work. */
const createStore = (
  { store, relay, timer, random, createLog }: DeployedVmOptions,
  listPeers: () => readonly string[],
): RelayedStore =>
  new RelayedStore({ direct: store, relay, listPeers, timer, random, log: createLog('store') });

/** Creates the components that decide on requests and on the end of this VM while it is stopped. */
const createStop = (
  { settings, timer, createLog }: DeployedVmOptions,
  { loads, registry }: Fleet,
) => {
  const stop = new StopCoordinator({ settings, timer, loads, registry });
  const admission = new Admission({
    timer,
    log: createLog('stop'),
    stopMs: computeStopTime(settings),
    callerDrainMs: computeCallerDrain(settings),
    readFleet: () => stop.readFleet(),
  });
  return { stop, admission };
};

/** Creates all components without starting them. */
export const createComponents = (platformOptions: DeployedVmOptions, sendMessage: SendMessage) => {
  const peers: { list: () => readonly string[] } = { list: () => [] };
  const store = createStore(platformOptions, () => peers.list());
  const options = { ...platformOptions, store };
  const { settings, timer, random, createLog, metrics, keys } = options;
  const { entryVmId, availabilityZone, acknowledgeMs } = settings;
  const self = { entryVmId, bootId: random.createId() };
  const workers = createWorkers(options);
  const fleet = createFleet(options, self, workers, sendMessage);
  const { loads, results } = fleet;
  const { stop, admission } = createStop(options, fleet);
  peers.list = () => fleet.registry.listPeerAddresses();
  const vmPrefix = `${keys.followedPrefix}vm/`;
  const followers: { jobs?: StoreFollower; configuration?: ConfigurationState } = {};
  const readTable = () => followers.configuration?.table;
  const countEntryVms = () => stop.countOthers() + 1;
  const backends = new ConnectionLimiter({
    backends: options.backends,
    maxConnectionsOf: (service) => readTable()?.findService(service)?.maxConnections,
    countEntryVms,
  });
  const batch = createJobs(options, self, fleet, () => followers.jobs, countEntryVms);
  const quarantine = createQuarantine(options, fleet, workers);
  const teamLimits = createLimits(options, self, fleet, readTable);
  // Without the followed keys, requests that crash workers would not be known as such.
  const startupGate = new StartupGate(
    timer,
    () =>
      readTable() !== undefined && workers.all().length > 0 && followers.jobs?.isLoaded === true,
  );
  workers.onChange(() => startupGate.releaseIfReady());
  const followed = createFollowers(
    options,
    workers,
    fleet,
    createSharedCopies(platformOptions, store, fleet),
    () => store.isDirect,
    (changes) => {
      const isVm = ({ entry }: FollowedChange): boolean => entry.key.startsWith(vmPrefix);
      changes.filter(isVm).forEach((change) => fleet.registry.apply(change));
      batch.table.apply(changes);
      batch.quota.apply(changes);
      quarantine.apply(changes);
      startupGate.releaseIfReady();
    },
    () => startupGate.releaseIfReady(),
  );
  followers.jobs = followed.jobFollower;
  followers.configuration = followed.configuration;
  const io = { timer, random, createLog, metrics };
  const speeds = createSpeeds(workers);
  const router = new Router({
    io,
    speeds,
    availabilityZone,
    directory: workers,
    loads,
    chooser: createChooser(loads),
    silenceMs: FIRST_EVENT_TIMEOUT_MS,
    results: results && { window: results, readFleet: () => loads.results.readFleet() },
  });
  const execution = new JobExecution({
    ...io,
    ...batch,
    log: createLog('execution'),
    loads,
    quarantine,
    readPromptParts: options.readPromptParts,
    directory: workers,
    backends,
    readTable,
    isTableLoaded: () => followed.jobFollower.isLoaded,
    results: results && {
      record: (service, workerId, isFailure) => results.record(service, workerId, isFailure),
      listOnProbation: () => router.listOnProbation(),
    },
    bootIdOf: (id) => fleet.registry.find(id)?.bootId,
    self,
  });
  const planner = new SlotPlanner({
    timer,
    random,
    metrics,
    log: createLog('planner'),
    loads,
    directory: workers,
    zoneOf: (id) => fleet.registry.find(id)?.availabilityZone ?? availabilityZone,
    isReady: () => followed.jobFollower.isLoaded,
  });
  const batchJobApi = new BatchJobApi({
    ...io,
    ...batch,
    log: createLog('batch'),
    acknowledgeMs,
    admission,
  });
  const queue = new AdmissionQueue({
    ...io,
    log: createLog('admission-queue'),
    directory: workers,
    loads,
    isHealthy: (workerId) => router.readWeight(workerId) >= 1,
    hasTeams: () => readTable()?.hasTeams ?? false,
    countVms: countEntryVms,
  });
  const gateway = new Gateway({
    ...io,
    router,
    loads,
    quarantine,
    // Batch items differ from online requests in length, so their response times are not observed.
    backends: new SpeedObserver({ backends, speeds, timer, loads, metrics }),
    log: createLog('gateway'),
    readTable,
    configurationAgeMs: () => followed.operatorFollower.ageMs(),
    waitUntilReady: () => startupGate.wait(),
    batch: options.createBatchRequests(batchJobApi),
    admission,
    queue,
    limits: teamLimits.limits,
  });
  return {
    ...fleet,
    ...followed,
    ...batch,
    store,
    stop,
    admission,
    workers,
    router,
    execution,
    planner,
    quarantine,
    teamLimits,
    gateway,
  };
};
