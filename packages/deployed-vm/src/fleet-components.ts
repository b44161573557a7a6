/** Creates the components through which the entry VMs know each other and share their loads and watches. */
import type { Ownership } from '@jujubelanding/batch-ledger';
import { EntryVmRegistry, LeaseKeeper } from '@jujubelanding/entry-vm-registry';
import { FleetLoad, rankCandidates, type LoadMessage } from '@jujubelanding/fleet-load';
import { PromptQuarantine } from '@jujubelanding/prompt-quarantine';
import { ResultWindow } from '@jujubelanding/routing';
import { SharedCopy, type RelayedStore } from '@jujubelanding/store-relay';
import type { WorkerRegistry } from '@jujubelanding/worker-registry';
import type { DeployedVmOptions } from './options.js';
import { Contract } from './settings.js';

/**
 * Shares of the time within which a configuration must be in force. A VM that reads the copy of another
 * one learns within the maximum age and one wait that this copy is outdated, and then reads the store.
 */
const MAX_COPY_AGE_SHARE = 0.6;
const COPY_WAIT_SHARE = 0.2;

/**
 * The same shares where the hubs of the zones read the copy of the root. Both levels know the same age, so
 * the hubs must fall back first; otherwise all VMs would read the store when the root is lost. The difference
 * is enough for a hub to notice a root that does not answer, and to read the store once.
 */
const MAX_ROOT_COPY_AGE_SHARE = 0.55;
const MAX_HUB_COPY_AGE_SHARE = 0.75;

/** Number of slots assumed for a worker whose entry has not been read. */
const DEFAULT_SLOTS = 8;

/**
 * Time for which a VM that is not heard from remains a possible hub. VMs that lose their collector are
 * missing from the views of the others for a second, and a change of hubs sends them to the store.
 */
const ALIVE_GRACE_MS = 1500;

export type SendMessage = (message: LoadMessage, addresses: readonly string[]) => void;

/** Creates the components for the lease and registration of this VM and the load of all VMs. */
export const createFleet = (
  { settings, timer, store, createLog, keys }: DeployedVmOptions,
  self: Ownership,
  workers: WorkerRegistry,
  sendMessage: SendMessage,
) => {
  const fleet = {} as {
    loads: FleetLoad;
    lease: LeaseKeeper;
    registry: EntryVmRegistry;
    /** Results of this VM; undefined if workers are not compared by them. */
    results: ResultWindow | undefined;
  };
  const results = settings.contracts?.includes(Contract.Health)
    ? new ResultWindow(timer)
    : undefined;
  fleet.results = results;
  fleet.loads = new FleetLoad({
    timer,
    bootId: self.bootId,
    self: {
      entryVmId: self.entryVmId,
      availabilityZone: settings.availabilityZone,
      capacity: settings.capacity,
    },
    listOthers: () => fleet.registry.peers(),
    send: (message, receiverIds) => {
      const addresses = receiverIds
        .map((id) => fleet.registry.find(id)?.peerAddress)
        .filter((address) => address !== undefined);
      sendMessage(message, addresses);
    },
    slotsOf: (id) => workers.find(id)?.slots ?? DEFAULT_SLOTS,
    readResults: results && ((isListed) => results.read(isListed)),
  });
  fleet.lease = new LeaseKeeper({
    store,
    timer,
    log: createLog('lease'),
    onLease: () => {
      void fleet.registry.register();
    },
  });
  fleet.registry = new EntryVmRegistry({
    store,
    timer,
    log: createLog('registry'),
    lease: () => fleet.lease,
    liveness: () => fleet.loads,
    prefix: `${keys.followedPrefix}vm/`,
    self: {
      ...self,
      availabilityZone: settings.availabilityZone,
      capacity: settings.capacity,
      callerAddress: settings.callerAddress ?? '',
      peerAddress: settings.peerAddress,
    },
  });
  return fleet;
};

export type Fleet = ReturnType<typeof createFleet>;

/**
 * Creates a function that finds the VM with the first rank among this one and the others in use, in a zone or
 * in the fleet. It returns the address of that VM, or undefined if it is this one.
 */
const createHubFinder = (
  { settings, timer }: Pick<DeployedVmOptions, 'settings' | 'timer'>,
  { loads, registry }: Pick<Fleet, 'loads' | 'registry'>,
) => {
  const { entryVmId, availabilityZone, capacity } = settings;
  const aliveAt = new Map<string, number>();
  return (zone?: string): string | undefined => {
    const now = timer.now();
    loads.listServing().forEach((id) => aliveAt.set(id, now));
    aliveAt.forEach((at, id) => {
      if (now - at > ALIVE_GRACE_MS) aliveAt.delete(id);
    });
    const peers = registry
      .peers()
      .filter(
        (vm) =>
          aliveAt.has(vm.entryVmId) &&
          !loads.hasLeft(vm.entryVmId, vm.bootId) &&
          (zone === undefined || vm.availabilityZone === zone),
      );
    const [first] = rankCandidates([{ entryVmId, availabilityZone, capacity }, ...peers]);
    if (first?.entryVmId === entryVmId) return undefined;
    return registry.find(first!.entryVmId)?.peerAddress;
  };
};

/**
 * Creates the readers through which the VMs share watches of the store. The VMs of a zone read the copy of
 * its hub. The hubs follow the operator's prefix themselves, so that a configuration depends on few VMs; the
 * other prefixes change often, and only the root follows them for all hubs.
 */
export const createSharedCopies = (
  options: Pick<DeployedVmOptions, 'settings' | 'timer' | 'createLog' | 'readCopyOf'>,
  direct: RelayedStore,
  fleet: Pick<Fleet, 'loads' | 'registry'>,
): { operator: SharedCopy; fleet: SharedCopy } => {
  const { settings, timer, createLog, readCopyOf } = options;
  const { availabilityZone, configurationApplyMs } = settings;
  const findHub = createHubFinder(options, fleet);
  const common = {
    timer,
    log: createLog('copy'),
    direct,
    readCopyOf,
    findHost: () => findHub(availabilityZone),
    maxWaitMs: configurationApplyMs * COPY_WAIT_SHARE,
  };
  return {
    operator: new SharedCopy({ ...common, maxAgeMs: configurationApplyMs * MAX_COPY_AGE_SHARE }),
    fleet: new SharedCopy({
      ...common,
      maxAgeMs: configurationApplyMs * MAX_HUB_COPY_AGE_SHARE,
      root: {
        findAddress: () => findHub(),
        maxAgeMs: configurationApplyMs * MAX_ROOT_COPY_AGE_SHARE,
      },
    }),
  };
};

export type SharedCopies = ReturnType<typeof createSharedCopies>;

/** Creates the component through which the VMs find prompts that crash workers. */
export const createQuarantine = (
  { timer, store, createLog, metrics, keys, settings, backends }: DeployedVmOptions,
  { lease, loads }: Fleet,
  workers: Pick<WorkerRegistry, 'find'>,
): PromptQuarantine => {
  const quarantine = new PromptQuarantine({
    timer,
    log: createLog('quarantine'),
    metrics,
    store,
    lease: () => lease,
    evidencePrefix: `${keys.followedPrefix}crash/`,
    blockPrefix: `${keys.followedPrefix}blocked/`,
    probePrefix: `${keys.followedPrefix}probe/`,
    self: settings.entryVmId,
    listServing: () => loads.listServing(),
    announce: (lost, suspected) => loads.announceLosses(lost, suspected),
    runIdOf: (workerId, startedAt = 0) => `${workerId}@${startedAt}`,
    checkRun: async (workerId, startedAt) => {
      const worker = workers.find(workerId);
      // A later run proves nothing about the one that lost the request.
      const isSameRun = worker !== undefined && worker.startedAt === startedAt;
      return isSameRun ? backends.connect(worker) : undefined;
    },
  });
  loads.onLosses((lost, suspected) => quarantine.applyLosses(lost, suspected));
  return quarantine;
};
