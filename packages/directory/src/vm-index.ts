/** Index of one version of the VM list. */
import { type PeerAddress, type Vm, VmRole, VmState, type Worker } from '@jujubelanding/types';

export interface VmIndex {
  workers: readonly Worker[];
  workersById: ReadonlyMap<string, Worker>;
  /** Workers that accept new work, by service. */
  liveWorkersByService: ReadonlyMap<string, Worker[]>;
  entryVms: readonly PeerAddress[];
}

const toWorker = ({ id, service, address, availabilityZone, state }: Vm): Worker => ({
  id,
  service: service ?? '',
  address,
  availabilityZone,
  state,
});

/** Builds the index; entries are sorted by id, so that equal lists give equal indexes. */
export const buildVmIndex = (vms: readonly Vm[]): VmIndex => {
  const sorted = vms.toSorted((a, b) => (a.id < b.id ? -1 : 1));
  const workers = sorted
    .filter(({ role, service }) => role === VmRole.BackendServer && service !== undefined)
    .map(toWorker);
  const liveWorkersByService = new Map<string, Worker[]>();
  for (const worker of workers.filter(({ state }) => state === VmState.Live)) {
    const serviceWorkers = liveWorkersByService.get(worker.service) ?? [];
    serviceWorkers.push(worker);
    liveWorkersByService.set(worker.service, serviceWorkers);
  }
  return {
    workers,
    workersById: new Map(workers.map((worker) => [worker.id, worker])),
    liveWorkersByService,
    entryVms: sorted
      .filter(({ role }) => role === VmRole.EntryVm)
      .map(({ id, address }) => ({ entryVmId: id, peerAddress: address })),
  };
};

export const EMPTY_VM_INDEX = buildVmIndex([]);

/** Marks all workers as leaving, for when it is not known which of them still accept new work. */
export const markWorkersLeaving = ({ workers, entryVms }: VmIndex): VmIndex => {
  const leavingWorkers = workers.map((worker) => ({ ...worker, state: VmState.Leaving }));
  return {
    workers: leavingWorkers,
    workersById: new Map(leavingWorkers.map((worker) => [worker.id, worker])),
    liveWorkersByService: new Map(),
    entryVms,
  };
};
