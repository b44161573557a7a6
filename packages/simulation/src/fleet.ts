/** In-process fleet of entry VMs, emulated platform services and backend servers on virtual time. */
import { createEntryVm, type EntryVm } from '@jujubelanding/entry-vm';
import type { EntryVmIo, EntryVmSettings } from '@jujubelanding/interfaces';
import { silentLog, type Log } from '@jujubelanding/log';
import { silentMetrics } from '@jujubelanding/metrics';
import { computeChecksum, createRandom, type Random } from '@jujubelanding/random';
import { MemoryDisk } from '@jujubelanding/segments';
import {
  BackendServerGroup,
  KeyValueService,
  ModelEngine,
  PlainService,
  VmListService,
  WeightStoreService,
  type BackendServersClient,
  type EngineSettings,
  type KeyValueClient,
  type VmListClient,
  type WeightStoreClient,
} from '@jujubelanding/stand-ins';
import { VirtualTimer } from '@jujubelanding/timer';
import { VmRole, VmState } from '@jujubelanding/types';
import { bindBackendServersToHost, bindToHost } from './host-io.js';
import { Host, HostState } from './host.js';
import { HostTimer } from './host-timer.js';
import { Links } from './links.js';
import type { NetworkState } from './network-state.js';
import { SimulatedNetwork } from './network.js';

/** Token with which simulated operators authenticate. */
export const OPERATOR_TOKEN = 'operator-token';

export interface FleetOptions {
  seed: number;
  availabilityZones: string[];
  entryVmCount: number;
  /** Number of entry VMs that have a disk, counted from the first one. */
  diskVmCount: number;
  localDelayMs: number;
  remoteDelayMs: number;
  vmListLagMs: number;
  createLog?: (entryVmId: string) => (part: string) => Log;
  settings?: Partial<EntryVmSettings>;
  /** Called with each entry VM before it starts, for example to observe or replace its components. */
  prepare?: (node: FleetNode) => void;
}

/** One entry VM: its simulated machine, its clients of the platform and the running daemon. */
export interface FleetNode {
  settings: EntryVmSettings;
  disk: MemoryDisk | undefined;
  host: Host;
  store: KeyValueClient;
  vmList: VmListClient;
  weightStore: WeightStoreClient;
  backendServers: BackendServersClient;
  entryVm: EntryVm;
  /** Open connections of callers. */
  connections: Set<Promise<unknown>>;
}

const WEIGHT_STORE_BYTES_PER_SECOND = 200e6;

export class Fleet {
  readonly timer = new VirtualTimer();

  readonly random: Random;

  readonly keyValue: KeyValueService;

  readonly vmList: VmListService;

  readonly weightStore: WeightStoreService;

  readonly backendServers: BackendServerGroup;

  readonly links: Links;

  readonly networkState: NetworkState;

  /** Entry VMs by id, including crashed and stopped ones. */
  readonly nodes = new Map<string, FleetNode>();

  private readonly disks = new Map<string, MemoryDisk>();

  constructor(readonly options: FleetOptions) {
    const { timer } = this;
    this.random = createRandom(options.seed);
    const { random } = this;
    this.keyValue = new KeyValueService({ timer, random });
    this.vmList = new VmListService({ timer, random, lagMs: options.vmListLagMs });
    this.weightStore = new WeightStoreService({
      timer,
      random,
      bytesPerSecond: WEIGHT_STORE_BYTES_PER_SECOND,
    });
    this.backendServers = new BackendServerGroup({ timer, random });
    this.links = new Links(options.localDelayMs, options.remoteDelayMs);
    this.networkState = {
      timer,
      random,
      links: this.links,
      endpoints: new Map(),
      traffic: { calls: new Map(), datagrams: new Map() },
    };
  }

  /** Starts all entry VMs. */
  startEntryVms(): void {
    for (let index = 0; index < this.options.entryVmCount; index += 1) {
      this.startEntryVm(`entry-${index}`);
    }
  }

  /** Starts an entry VM, or restarts it at the same address after it crashed or stopped. */
  startEntryVm(entryVmId: string): FleetNode {
    const index = Number(entryVmId.slice('entry-'.length));
    const settings = this.createSettings(entryVmId, index);
    const host = new Host(entryVmId, settings.availabilityZone);
    this.links.setAvailabilityZone(entryVmId, settings.availabilityZone);
    const disk = index < this.options.diskVmCount ? this.getOrCreateDisk(entryVmId) : undefined;
    const store = this.keyValue.createClient(entryVmId);
    const vmList = this.vmList.createClient(entryVmId);
    const weightStore = this.weightStore.createClient(entryVmId);
    const backendServers = this.backendServers.createClient(entryVmId);
    const resources = { disk, store, vmList, weightStore, backendServers };
    const entryVm = createEntryVm(settings, this.createIo(host, settings, resources));
    const connections = new Set<Promise<unknown>>();
    const node = { settings, host, entryVm, connections, ...resources };
    this.options.prepare?.(node);
    this.nodes.set(entryVmId, node);
    this.vmList.set({
      id: entryVmId,
      role: VmRole.EntryVm,
      state: VmState.Live,
      availabilityZone: settings.availabilityZone,
      address: settings.peerAddress,
    });
    entryVm.start();
    return node;
  }

  node(entryVmId: string): FleetNode {
    const node = this.nodes.get(entryVmId);
    if (node === undefined) throw new Error(`entry VM ${entryVmId} was never started`);
    return node;
  }

  /** Returns the entry VMs whose machines are running or paused. */
  listLiveNodes(): FleetNode[] {
    return [...this.nodes.values()].filter(({ host }) => host.state() !== HostState.Crashed);
  }

  crash(entryVmId: string): void {
    const { host, disk } = this.node(entryVmId);
    host.crash();
    disk?.crash();
  }

  /** Performs a planned stop of an entry VM, after which its process ends. */
  async stopEntryVm(entryVmId: string): Promise<void> {
    const { entryVm, host, connections } = this.node(entryVmId);
    await entryVm.stop(async () => {
      await Promise.all(connections);
    });
    host.crash();
  }

  addEngine(
    workerId: string,
    service: string,
    availabilityZone: string,
    settings: Partial<EngineSettings>,
  ): ModelEngine {
    const { timer, random } = this;
    const engine = new ModelEngine({
      timer,
      random,
      workerId,
      settings,
      fetchWeight: (name) => this.weightStore.transfer(name),
    });
    this.backendServers.addEngine(engine);
    this.setWorkerEntry(workerId, service, availabilityZone, VmState.Live);
    return engine;
  }

  addPlainService(workerId: string, service: string, availabilityZone: string): PlainService {
    const { timer, random } = this;
    const plainService = new PlainService({ timer, random, workerId });
    this.backendServers.addPlainService(workerId, plainService);
    this.setWorkerEntry(workerId, service, availabilityZone, VmState.Live);
    return plainService;
  }

  /** Adds or replaces a worker's entry in the VM list. */
  setWorkerEntry(
    workerId: string,
    service: string,
    availabilityZone: string,
    state: VmState,
  ): void {
    this.links.setAvailabilityZone(workerId, availabilityZone);
    this.vmList.set({
      id: workerId,
      role: VmRole.BackendServer,
      state,
      availabilityZone,
      address: `${workerId}:80`,
      service,
    });
  }

  advance(durationMs: number): Promise<void> {
    return this.timer.advance(durationMs);
  }

  private getOrCreateDisk(entryVmId: string): MemoryDisk {
    const disk = this.disks.get(entryVmId) ?? new MemoryDisk();
    this.disks.set(entryVmId, disk);
    return disk;
  }

  private createSettings(entryVmId: string, index: number): EntryVmSettings {
    const { availabilityZones } = this.options;
    return {
      entryVmId,
      availabilityZone: availabilityZones[index % availabilityZones.length]!,
      peerAddress: `${entryVmId}:7400`,
      callerAddress: `${entryVmId}:7500`,
      operatorTokenHash: computeChecksum(OPERATOR_TOKEN),
      maxOnlineInFlight: 1000,
      entryPointLifetimeMs: 5000,
      segmentCopies: 2,
      resultRetentionMs: 7 * 24 * 3_600_000,
      claimRetentionMs: 24 * 3_600_000,
      ...this.options.settings,
    };
  }

  private createIo(
    host: Host,
    settings: EntryVmSettings,
    resources: Pick<FleetNode, 'disk' | 'store' | 'vmList' | 'weightStore' | 'backendServers'>,
  ): EntryVmIo {
    const { networkState, random } = this;
    return {
      timer: new HostTimer(this.timer, host),
      random: createRandom(random.nextInt(2 ** 31)),
      store: bindToHost(host, resources.store),
      vmList: bindToHost(host, resources.vmList),
      weightStore: bindToHost(host, resources.weightStore),
      backendServers: bindBackendServersToHost(host, resources.backendServers),
      network: new SimulatedNetwork(networkState, host, settings.peerAddress),
      ...(resources.disk === undefined ? {} : { disk: bindToHost(host, resources.disk) }),
      createLog: this.options.createLog?.(settings.entryVmId) ?? (() => silentLog),
      metrics: silentMetrics,
    };
  }
}
