/** Runs an entry VM with the system timer, network connections and disk. */
import { createEntryVm, type EntryVm } from '@jujubelanding/entry-vm';
import { FaultCode, type Reply } from '@jujubelanding/errors';
import type { EntryVmIo } from '@jujubelanding/interfaces';
import { createLog } from '@jujubelanding/log';
import { computeCallerBounds } from '@jujubelanding/memory-budget';
import { createStatsdMetrics, silentMetrics } from '@jujubelanding/metrics';
import { createPeerNetwork, type PeerTransport } from '@jujubelanding/peer-transport';
import {
  createBackendServersClient,
  createKeyValueClient,
  createVmListClient,
  createWeightStoreClient,
  instrumentKeyValueStore,
} from '@jujubelanding/platform-clients';
import { createSystemRandom } from '@jujubelanding/random';
import { NodeDisk } from '@jujubelanding/segments';
import type { DaemonSettings } from '@jujubelanding/settings';
import { SystemTimer } from '@jujubelanding/timer';
import { err, ok } from 'neverthrow';
import { CallerServer } from './caller-server.js';

/** Addresses that the daemon listens on. */
export interface BoundAddresses {
  callerAddress: string;
  peerAddress: string;
}

/** Creates the clients of the platform services and the transport between entry VMs. */
const createConnections = (settings: DaemonSettings) => {
  const timer = new SystemTimer();
  const { entryVmId, availabilityZone, statsdAddress, keyValueAddress } = settings;
  const metrics =
    statsdAddress === undefined
      ? silentMetrics
      : createStatsdMetrics(statsdAddress, { entryVm: entryVmId, availabilityZone });
  const keyValue = createKeyValueClient({ address: keyValueAddress, timer });
  const clients = {
    store: instrumentKeyValueStore(keyValue, timer, metrics),
    vmList: createVmListClient({ address: settings.vmListAddress, timer }),
    weightStore: createWeightStoreClient({ address: settings.weightStoreAddress, timer }),
    backendServers: createBackendServersClient({ timer }),
  };
  const transport = createPeerNetwork({
    address: settings.peerAddress,
    fleetKey: settings.fleetKey,
    log: createLog('peer-transport'),
    timer,
    guard: {
      maxConnections: computeCallerBounds(settings).peerConnections,
      unreadTimeoutMs: settings.unreadTimeoutMs,
      metrics,
    },
  });
  return { timer, clients, metrics, transport };
};

type Connections = ReturnType<typeof createConnections>;

const createIo = (
  { timer, clients, metrics, transport }: Connections,
  disk: NodeDisk | undefined,
): EntryVmIo => ({
  timer,
  random: createSystemRandom(),
  ...clients,
  network: transport.network,
  ...(disk === undefined ? {} : { disk }),
  createLog,
  metrics,
});

/**
 * Opens the data folder and removes temporary files that a crashed process left behind; otherwise they
 * would fill the disk over many crashes.
 */
const openDisk = async (dataFolder: string): Promise<NodeDisk> => {
  const disk = new NodeDisk(dataFolder);
  const cleaned = await disk.removeTemporaryFiles();
  // If the folder does not exist yet, the first write creates it.
  if (cleaned.isErr() && cleaned.error.code !== FaultCode.NotFound) {
    const { code, message } = cleaned.error;
    createLog('daemon').write('temporary-files-not-removed', { code, message });
  }
  return disk;
};

export class Daemon {
  private readonly connections: Connections;

  private readonly server: CallerServer;

  private entryVm: EntryVm | undefined;

  constructor(private readonly settings: DaemonSettings) {
    this.connections = createConnections(settings);
    const { timer, metrics } = this.connections;
    const log = createLog('caller-server');
    this.server = new CallerServer({ timer, metrics, log, settings });
  }

  async start(): Reply<BoundAddresses> {
    const { dataFolder } = this.settings;
    const disk = dataFolder === undefined ? undefined : await openDisk(dataFolder);
    const peer = await this.transport().start();
    if (peer.isErr()) return err(peer.error);
    const caller = await this.server.open(this.settings.callerAddress);
    if (caller.isErr()) return err(caller.error);
    const boundAddresses = { peerAddress: peer.value, callerAddress: caller.value };
    const io = createIo(this.connections, disk);
    this.entryVm = createEntryVm({ ...this.settings, ...boundAddresses }, io);
    this.entryVm.start();
    const { app } = this.entryVm;
    this.server.setApplication((request, bindings) => app.fetch(request, bindings));
    return ok(boundAddresses);
  }

  /** Stops after all requests in progress have ended. */
  async stop(): Promise<void> {
    this.server.retireConnections();
    await this.entryVm?.stop(() => this.server.close());
    await this.transport().stop();
    const { clients, metrics } = this.connections;
    await Promise.all(Object.values(clients).map((client) => client.close()));
    await metrics.close();
  }

  private transport(): PeerTransport {
    return this.connections.transport;
  }
}
