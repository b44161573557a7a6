import type { Reply } from '@jujubelanding/errors';
import type { Vm } from '@jujubelanding/types';

/** The VM list at one moment; the platform updates it with a lag. */
export interface VmListReadResult {
  /** Entity tag of this content. */
  tag: string;
  /** Absent when the content is still that of the tag sent. */
  vms?: Vm[];
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
  /** Returns the rate that all loads together may use. */
  readRateLimit(): Reply<{ bytesPerSecond: number }>;
}
