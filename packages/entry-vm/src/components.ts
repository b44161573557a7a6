/** Composition root: constructs and connects the components of an entry VM. */
import { createAdminApi } from '@jujubelanding/admin-api';
import { CapacityPolicyName, createCapacityPolicy } from '@jujubelanding/batch-capacity';
import { BatchExecutor } from '@jujubelanding/batch-execution';
import { BatchJobService, createReferenceReader, JobOwner } from '@jujubelanding/batch-jobs';
import { createCallerApi } from '@jujubelanding/caller-api';
import { ClaimsController } from '@jujubelanding/claims';
import { ConfigurationController } from '@jujubelanding/configuration';
import { DirectoryController } from '@jujubelanding/directory';
import { EntryPointsController } from '@jujubelanding/entry-points';
import type { EntryVmIo, EntryVmSettings } from '@jujubelanding/interfaces';
import { TeamLimitsController, createShardLimitPort } from '@jujubelanding/limits';
import { MembershipController } from '@jujubelanding/membership';
import { OnlineAdmissionController, OnlineDispatchController } from '@jujubelanding/online';
import { PeerQuarantine } from '@jujubelanding/peer-quarantine';
import { PlacementController } from '@jujubelanding/placement';
import { Router } from '@jujubelanding/routing';
import { ReplicatedSegmentStore } from '@jujubelanding/segments';
import { ShardsController } from '@jujubelanding/shards';
import { OwnedWorkersController, WorkerLoadsController } from '@jujubelanding/worker-load';

/** Creates the components that track the state of the fleet. */
const createFleetState = (settings: EntryVmSettings, io: EntryVmIo) => {
  const directory = new DirectoryController({ io });
  const membership = new MembershipController({ io, settings, directory });
  const shards = new ShardsController({ io, settings, membership });
  const configuration = new ConfigurationController({
    io,
    settings,
    membership,
    shards,
    directory,
  });
  const entryPoints = new EntryPointsController({ io, settings, membership });
  return { directory, membership, shards, configuration, entryPoints };
};

type FleetState = ReturnType<typeof createFleetState>;

/** Creates the components that serve online requests. */
const createOnlineComponents = (settings: EntryVmSettings, io: EntryVmIo, state: FleetState) => {
  const { entryVmId, availabilityZone, maxOnlineInFlight, claimRetentionMs } = settings;
  const { directory, membership, shards } = state;
  // The router depends on the owned workers, which in turn pass cache events to the router. The
  // reference that resolves this cycle is set below.
  const routerReference: { router?: Router } = {};
  const ownedWorkers = new OwnedWorkersController({
    io,
    entryVmId,
    ...state,
    onCacheEvents: (workerId, events, afterSequence) =>
      routerReference.router?.applyCacheEvents(workerId, events, afterSequence),
  });
  const loads = new WorkerLoadsController({ io, entryVmId, ...state, ownedWorkers });
  const router = new Router({
    io,
    availabilityZone,
    directory,
    loads,
    readReportedOnline: (workerId) => loads.reportedOnline(workerId),
  });
  routerReference.router = router;
  const port = createShardLimitPort({ io, entryVmId, ...state });
  const limits = new TeamLimitsController({ io, port });
  const { countLiveVms } = port;
  const overload = new OnlineAdmissionController({
    io,
    maxOnlineInFlight,
    directory,
    loads,
    countLiveVms,
  });
  const claims = new ClaimsController({ io, entryVmId, retentionMs: claimRetentionMs, shards });
  const quarantine = new PeerQuarantine({ io, membership, directory });
  const dispatcher = new OnlineDispatchController({ io, ...state, router, loads, quarantine });
  return { ownedWorkers, loads, router, limits, overload, claims, quarantine, dispatcher };
};

type OnlineComponents = ReturnType<typeof createOnlineComponents>;

/** Creates the components that run batch jobs. */
const createBatchComponents = (
  settings: EntryVmSettings,
  io: EntryVmIo,
  state: FleetState,
  online: OnlineComponents,
) => {
  const segments = new ReplicatedSegmentStore({
    io,
    settings,
    membership: state.membership,
    listReferences: createReferenceReader(io.store, settings.entryVmId),
  });
  const jobOwner = new JobOwner({ io, settings, ...state, segments });
  const batchJobs = new BatchJobService({ io, ...state, segments, owner: jobOwner });
  const executor = new BatchExecutor({
    io,
    ...state,
    workers: online.ownedWorkers,
    segments,
    policy: createCapacityPolicy(CapacityPolicyName.Adaptive),
    owner: jobOwner,
  });
  const placement = new PlacementController({ io, ...state, loads: online.loads });
  return { segments, jobOwner, batchJobs, executor, placement };
};

/** Creates all components of an entry VM without starting them. */
export const createComponents = (settings: EntryVmSettings, io: EntryVmIo) => {
  const state = createFleetState(settings, io);
  const online = createOnlineComponents(settings, io, state);
  const batch = createBatchComponents(settings, io, state, online);
  return { ...state, ...online, ...batch };
};

export type Components = ReturnType<typeof createComponents>;

/** Creates the HTTP application of an entry VM. */
export const createApp = (
  settings: EntryVmSettings,
  io: EntryVmIo,
  components: Components,
  isReady: () => boolean,
) =>
  createCallerApi({
    io,
    ...components,
    isReady,
    admin: createAdminApi({ io, settings, ...components }),
  });
