/** Settings of an entry VM of a small deployment, on free ports of loopback. */
import { createServer } from 'node:net';

/** Values of the bounds on the sheets of the small sites. */
const BOUNDS = {
  seedDelayS: 3,
  addrReuseS: 2,
  contactMs: 3000,
  ackMs: 4000,
  syncS: 4.6,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  skewMaxMs: 5000,
  recoveryS: 12,
  eventDelayMs: 120,
  retryAfterS: 0,
  deadlineS: 18,
  resultTtlS: 120,
  cancelMs: 3000,
  settleMs: 1000,
  quotaBurst: 0.1,
  ttl_max_s: 5,
};

const CONTRACTS = [
  'base',
  'drain',
  'config',
  'cost',
  'recover',
  'batch',
  'stream',
  'engine',
  'platform',
];

const LIMITS = {
  cpuShare: 0.675,
  cores: 1,
  memoryMb: 350,
  maxFds: 4100,
  linkMbps: 1000,
  diskMb: 0,
};

const PROVIDER = {
  form: 'kv',
  writesPerS: 400,
  readsPerS: 2000,
  retentionS: 20,
  valueBytes: 1_048_576,
  ttlMinMs: 1000,
};

/** Ports below the range from which the system takes those of outgoing connections. */
const FIRST_PORT = 20_000;
const LAST_PORT = 30_000;

/** Ports of a VM: callers, readiness, entry points, and two for other VMs and metrics. */
const PORTS = 5;

const taken = new Set();

const isFree = (port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });

/** Returns consecutive ports that are free now and that no other VM got. */
const findPorts = async () => {
  for (;;) {
    const first = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    const ports = Array.from({ length: PORTS }, (_, index) => first + index);
    const free = await Promise.all(ports.map((port) => !taken.has(port) && isFree(port)));
    if (free.every(Boolean)) {
      ports.forEach((port) => taken.add(port));
      return ports;
    }
  }
};

/** Returns the settings; values are those of the sheets of the small sites. */
export const createSettings = async (name, zone, storeAddress) => {
  const [front, readiness, directory, first] = await findPorts();
  return {
    nodeName: name,
    role: 'entry-vm',
    machineClass: 'front',
    serves: ['front', 'directory'],
    ip: '127.0.0.1',
    zone,
    region: 'za-gauteng',
    portRange: [first, first + 15],
    seeds: [],
    bootstrap: true,
    inTolerance: false,
    discovery: 'platform',
    entry: 'directory',
    heartbeatMs: 1200,
    contracts: CONTRACTS,
    listen: {
      front: `127.0.0.1:${front}`,
      readiness: `127.0.0.1:${readiness}`,
      directory: `127.0.0.1:${directory}`,
    },
    limits: LIMITS,
    bounds: BOUNDS,
    provider: { address: storeAddress, ...PROVIDER },
  };
};
