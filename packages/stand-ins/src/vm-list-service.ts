/** VM list whose changes become visible to readers after a lag. */
import type { VmList } from '@jujubelanding/platform';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import type { Vm } from '@jujubelanding/types';
import { ok } from 'neverthrow';
import { Counters } from './counters.js';
import { createLinkFaults, Link, type LinkFaults } from './link.js';

const TIMEOUT_MS = 2000;

export interface VmListServiceOptions {
  timer: Timer;
  random: Random;
  /** Time until a change becomes visible. */
  lagMs?: number;
}

export interface VmListClient extends VmList {
  readonly faults: LinkFaults;
}

export class VmListService {
  readonly faults = createLinkFaults();

  readonly counters = new Counters();

  lagMs: number;

  private readonly vms = new Map<string, Vm>();

  private version = 0;

  /** Part of each tag, so that the tags of two runs of the service differ. */
  private readonly runId: string;

  constructor(private readonly options: VmListServiceOptions) {
    this.lagMs = options.lagMs ?? 0;
    this.runId = options.random.createId();
  }

  /** Adds or replaces an entry. */
  set(vm: Vm): void {
    this.applyAfterLag(() => this.vms.set(vm.id, vm));
  }

  remove(vmId: string): void {
    this.applyAfterLag(() => this.vms.delete(vmId));
  }

  createClient(name: string): VmListClient {
    const faults = createLinkFaults();
    const link = new Link({
      timer: this.options.timer,
      random: this.options.random,
      peer: `vm-list(${name})`,
      faults: [this.faults, faults],
      timeoutMs: TIMEOUT_MS,
    });
    return {
      faults,
      read: (knownTag) => link.call('readVmList', () => ok(this.read(knownTag))),
    };
  }

  read(knownTag?: string): { tag: string; vms?: Vm[] } {
    this.counters.add('read');
    const tag = `${this.runId}-${this.version}`;
    return tag === knownTag ? { tag } : { tag, vms: [...this.vms.values()] };
  }

  private applyAfterLag(apply: () => void): void {
    const change = (): void => {
      apply();
      this.version += 1;
    };
    if (this.lagMs <= 0) change();
    else this.options.timer.after(this.lagMs, change);
  }
}
