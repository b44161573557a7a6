/** Lookup tables over one content of the VM list. */
import { type PeerAddress, type Vm, VmRole, VmState, type Worker } from '@jujubelanding/types';

export interface VmIndex {
  workers: readonly Worker[];
  workersById: ReadonlyMap<string, Worker>;
  /** Workers that take new work, by service. */
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

/** Builds the lookup tables; entries are ordered by id, so that equal lists give equal listings. */
export const buildVmIndex = (vms: readonly Vm[]): VmIndex => {
  const sorted = vms.toSorted((a, b) => (a.id < b.id ? -1 : 1));
  const workers = sorted
    .filter(({ role, service }) => role === VmRole.BackendServer && service !== undefined)
    .map(toWorker);
  const liveByService = new Map<string, Worker[]>();
  for (const worker of workers.filter(({ state }) => state === VmState.Live)) {
    const group = liveByService.get(worker.service) ?? [];
    group.push(worker);
    liveByService.set(worker.service, group);
  }
  return {
    workers,
    workersById: new Map(workers.map((worker) => [worker.id, worker])),
    liveWorkersByService: liveByService,
    entryVms: sorted
      .filter(({ role }) => role === VmRole.EntryVm)
      .map(({ id, address }) => ({ entryVmId: id, peerAddress: address })),
  };
};

export const EMPTY_VM_INDEX = buildVmIndex([]);

/** Returns the listing with all workers as leaving: nothing is known about who takes new work. */
export const markWorkersLeaving = ({ workers, entryVms }: VmIndex): VmIndex => {
  const suspended = workers.map((worker) => ({ ...worker, state: VmState.Leaving }));
  return {
    workers: suspended,
    workersById: new Map(suspended.map((worker) => [worker.id, worker])),
    liveWorkersByService: new Map(),
    entryVms,
  };
};
