/** Machines, services and models of the simulated fleet. */
import { FencingMode } from '@jujubelanding/types';

export const TEAM_KEY = 'team-key';

export const ENTRY_VM_COUNT = 5;

export const AVAILABILITY_ZONES = ['jhb-east', 'jhb-west', 'pta-north', 'ekurhuleni'];

/** Groups of availability zones that a network partition separates; both have all models. */
export const REGIONS: readonly [readonly string[], readonly string[]] = [
  ['jhb-east', 'jhb-west'],
  ['pta-north', 'ekurhuleni'],
];

/** A segment with three copies survives the loss of two disks at once. */
export const SEGMENT_COPIES = 3;

export const DISK_VM_COUNT = 4;

export const WEIGHT_BYTES_PER_SECOND = 200e6;

export const WEIGHT_BYTES = 400e6;

export interface WorkerSpec {
  id: string;
  service: string;
  fencing: FencingMode;
}

/** Model engines of both fencing modes. */
export const ENGINE_WORKERS: WorkerSpec[] = [
  { id: 'advisor-1', service: 'glass-advisor', fencing: FencingMode.Checked },
  { id: 'advisor-2', service: 'glass-advisor', fencing: FencingMode.Checked },
  { id: 'advisor-3', service: 'glass-advisor', fencing: FencingMode.Checked },
  { id: 'writer-1', service: 'match-writer', fencing: FencingMode.Ignored },
  { id: 'writer-2', service: 'match-writer', fencing: FencingMode.Ignored },
];

export const PLAIN_SERVICE = 'stock-ledger';

export const PLAIN_SERVICE_WORKERS = ['ledger-1', 'ledger-2'];

/** Model that each engine service offers. */
export const MODEL_BY_SERVICE: Record<string, string> = {
  'glass-advisor': 'advisor',
  'match-writer': 'writer',
};

/** Small, so that online requests and batch items compete for slots. */
export const ENGINE_SLOTS = 4;
