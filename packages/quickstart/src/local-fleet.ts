/** Runs entry VMs and emulators of the platform services as processes on loopback. */
import { mkdtemp, rm } from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import { request } from 'undici';
import { Program } from './program.js';

export interface LocalFleetOptions {
  /** Directory with the built programs. */
  programsDirectory: string;
  entryVms: number;
  engines: number;
  /** Number of engines that start without a model; these are the last ones. */
  enginesWithoutModel?: number;
  logSelection?: string;
  /** Returns additional environment variables for the entry VM with an index, counted from 0. */
  entryVmEnvironment?: (index: number) => NodeJS.ProcessEnv;
}

export const OPERATOR_TOKEN = 'quickstart-operator';

const FLEET_KEY = 'quickstart-fleet-key';

export const MODEL_SERVICE_NAME = 'glass-advisor';

export const PLAIN_SERVICE_NAME = 'stock-ledger';

export const MODEL_NAME = 'advisor';

const WEIGHT_BYTES = 50_000_000;

const AVAILABILITY_ZONES = ['jhb-east', 'jhb-west', 'pta-north', 'ekurhuleni'];

const ENTRY_POINT_LIFETIME = '1s';

/** Faster than a real engine, so that the batch job of the quickstart takes little time. */
const ENGINE_SETTINGS = { slots: 8, stepBaseMs: 8, stepPerStreamMs: 0.5 };

const putJson = async (url: string, body: unknown): Promise<void> => {
  const headers = { 'content-type': 'application/json' };
  const response = await request(url, { method: 'PUT', headers, body: JSON.stringify(body) });
  await response.body.dump();
  if (response.statusCode >= 300) throw new Error(`PUT ${url} returned ${response.statusCode}`);
};

export class LocalFleet {
  private readonly emulators: Program[] = [];

  readonly engines: Program[] = [];

  readonly entryVms: Program[] = [];

  /** Address of each model engine, by worker id. */
  readonly engineAddresses = new Map<string, string>();

  private platformAddresses = { keyValue: '', vmList: '', weightStore: '' };

  private dataFolder = '';

  private nextEntryVmIndex = 0;

  constructor(private readonly options: LocalFleetOptions) {}

  async start(): Promise<void> {
    this.dataFolder = await mkdtemp(path.join(os.tmpdir(), 'jujubelanding-'));
    const [keyValue, vmList, weightStore] = await Promise.all([
      this.startEmulator('key-value', []),
      this.startEmulator('vm-list', ['--lag-ms', '100']),
      this.startEmulator('weight-store', []),
    ]);
    this.platformAddresses = { keyValue, vmList, weightStore };
    await putJson(`http://${weightStore}/v1/weights/advisor-1`, { bytes: WEIGHT_BYTES });
    const indexes = Array.from({ length: this.options.engines }, (_, index) => index);
    await Promise.all([
      ...indexes.map((index) => this.startEngine(index)),
      this.startPlainService(),
    ]);
    for (let count = 0; count < this.options.entryVms; count += 1) {
      await this.startNextEntryVm();
    }
  }

  /** Sets the injected faults of the key-value service through its `PUT /faults`. */
  setKeyValueFaults(faults: Record<string, unknown>): Promise<void> {
    return putJson(`http://${this.platformAddresses.keyValue}/faults`, faults);
  }

  registerBackendServer(id: string, service: string, address: string): Promise<void> {
    return this.registerVm(id, 'backendServer', AVAILABILITY_ZONES[0]!, address, service);
  }

  /** Returns the addresses at which the entry VMs accept callers. */
  listCallerAddresses(): string[] {
    return this.entryVms.map(({ listening }) => listening.callerAddress!);
  }

  /** Stops the entry VMs gracefully, then the emulators; returns the exit codes of the entry VMs. */
  async stop(): Promise<number[]> {
    const codes = await Promise.all(this.entryVms.map((program) => program.stop()));
    await Promise.all(this.emulators.map((program) => program.stop()));
    await rm(this.dataFolder, { recursive: true, force: true });
    return codes;
  }

  /** Starts an entry VM under an unused id. */
  startNextEntryVm(): Promise<Program> {
    this.nextEntryVmIndex += 1;
    return this.startEntryVm(this.nextEntryVmIndex - 1);
  }

  /** Starts an entry VM with its data folder, which may exist from an earlier process. */
  async startEntryVm(index: number): Promise<Program> {
    const id = `entry-${index}`;
    const zone = AVAILABILITY_ZONES[index % AVAILABILITY_ZONES.length]!;
    const program = new Program(
      id,
      path.join(this.options.programsDirectory, 'jujubelandingd.js'),
      [
        ...['--entry-vm-id', id, '--availability-zone', zone],
        ...['--peer-address', '127.0.0.1:0', '--caller-address', '127.0.0.1:0'],
        ...['--key-value-address', this.platformAddresses.keyValue],
        ...['--vm-list-address', this.platformAddresses.vmList],
        ...['--weight-store-address', this.platformAddresses.weightStore],
        ...['--fleet-key', FLEET_KEY, '--operator-token', OPERATOR_TOKEN],
        ...['--data-folder', path.join(this.dataFolder, id)],
        ...['--entry-point-lifetime', ENTRY_POINT_LIFETIME],
        ...['--log-selection', this.options.logSelection ?? 'jujubelanding:none'],
      ],
      this.options.entryVmEnvironment?.(index),
    );
    this.entryVms.push(program);
    await program.awaitListening();
    await this.registerVm(id, 'entryVm', zone, program.listening.peerAddress!);
    return program;
  }

  private async startEmulator(name: string, parameters: string[]): Promise<string> {
    const program = await this.startProgram(name, parameters);
    return program.listening.address!;
  }

  private async startProgram(name: string, parameters: string[]): Promise<Program> {
    const script = path.join(this.options.programsDirectory, 'stand-ins.js');
    const program = new Program(name, script, [name, '--port', '0', ...parameters]);
    this.emulators.push(program);
    await program.awaitListening();
    return program;
  }

  private async startEngine(index: number): Promise<void> {
    const id = `advisor-${index}`;
    const { engines, enginesWithoutModel = 0 } = this.options;
    const models = index < engines - enginesWithoutModel ? [MODEL_NAME] : [];
    const engine = await this.startProgram('model-engine', [
      ...['--worker-id', id, '--weight-store', this.platformAddresses.weightStore],
      ...['--settings', JSON.stringify({ ...ENGINE_SETTINGS, models })],
    ]);
    this.engines.push(engine);
    const address = engine.listening.address!;
    this.engineAddresses.set(id, address);
    const zone = AVAILABILITY_ZONES[index % AVAILABILITY_ZONES.length]!;
    await this.registerVm(id, 'backendServer', zone, address, MODEL_SERVICE_NAME);
  }

  private async startPlainService(): Promise<void> {
    const address = await this.startEmulator('plain-service', ['--worker-id', 'ledger-0']);
    await this.registerBackendServer('ledger-0', PLAIN_SERVICE_NAME, address);
  }

  private registerVm(
    id: string,
    role: string,
    availabilityZone: string,
    address: string,
    service?: string,
  ): Promise<void> {
    const vm = { id, role, state: 'live', availabilityZone, address };
    return putJson(
      `http://${this.platformAddresses.vmList}/v1/vms/${id}`,
      service === undefined ? vm : { ...vm, service },
    );
  }
}
