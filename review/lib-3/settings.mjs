/** Settings of an entry VM as the platform gives them, and bounds as on the sheet of smgta-landing. */

export const HEARTBEAT_MS = 1200;

export const ZONES = ['zone-a', 'zone-b', 'zone-c', 'zone-d'];
export const CALLER_HOST = 'stock.example';

/** Bounds as on the sheet of smgta-landing. */
export const BOUNDS = {
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

export const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
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

/** Returns the content of the settings file; the template of the deploy file renders it as JSON. */
export const createSettings = (name, ip, zone, ports, storeAddress) => {
  const [front, readiness, directory, control, peer] = ports;
  return {
    nodeName: name,
    role: 'entry-vm',
    machineClass: 'front',
    serves: ['front', 'directory'],
    ip,
    zone,
    region: 'region-1',
    portRange: [peer, peer + 1],
    seeds: [],
    bootstrap: true,
    inTolerance: false,
    discovery: 'platform',
    entry: 'directory',
    heartbeatMs: HEARTBEAT_MS,
    contracts: CONTRACTS,
    zones: Object.fromEntries(ZONES.map((known) => [known, 'region-1'])),
    listen: {
      front: `${ip}:${front}`,
      readiness: `${ip}:${readiness}`,
      control: `${ip}:${control}`,
      directory: `${ip}:${directory}`,
    },
    limits: { cpuShare: 0.675, cores: 1, memoryMb: 350, maxFds: 4100, linkMbps: 1000, diskMb: 0 },
    faultTolerance: { machines: 1, zones: 0, regions: 0 },
    bounds: BOUNDS,
    provider: {
      address: storeAddress,
      form: 'kv',
      writesPerS: 400,
      readsPerS: 2000,
      retentionS: 20,
      valueBytes: 1_048_576,
      ttlMinMs: 1000,
    },
  };
};
