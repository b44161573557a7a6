/** Faults that last for long: steps that end short faults leave them in place. */
import type { Subscription } from '@jujubelanding/timer';
import type { Fleet } from '@jujubelanding/simulation';

export interface LongFault {
  /** Causes the fault; called again after other faults have ended and entry VMs have started. */
  apply: () => void;
  end: () => void;
}

/** At most one long fault is in place, so that an end never takes away a part of another one. */
export class LongFaultScheduler {
  private current: LongFault | undefined;

  private expiry: Subscription | undefined;

  constructor(private readonly fleet: Fleet) {}

  isActive(): boolean {
    return this.current !== undefined;
  }

  /** Starts a fault unless another one lasts. */
  start(fault: LongFault, durationMs: number): void {
    if (this.current !== undefined) return;
    this.current = fault;
    fault.apply();
    this.expiry = this.fleet.timer.after(durationMs, () => this.end());
  }

  reapply(): void {
    this.current?.apply();
  }

  end(): void {
    const fault = this.current;
    this.expiry?.cancel();
    this.current = undefined;
    fault?.end();
  }
}
