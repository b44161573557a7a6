import type { Reply } from '@jujubelanding/errors';
import type { Vm } from '@jujubelanding/types';

/** Result of a conditional read of the VM list, which the platform updates with a delay. */
export interface VmListReadResult {
  /** Entity tag of this content. */
  tag: string;
  /** Absent if the content is unchanged since the given tag. */
  vms?: Vm[];
  /** Number of invalid entries, which are not part of `vms`; absent if there are none. */
  skipped?: number;
}

export interface VmList {
  read(knownTag?: string): Reply<VmListReadResult>;
}

export interface WeightDescription {
  name: string;
  bytes: number;
}

export interface WeightStore {
  describe(name: string): Reply<WeightDescription>;
  /** Returns the maximum total transfer rate of all concurrent weight loads. */
  readRateLimit(): Reply<{ bytesPerSecond: number }>;
}
