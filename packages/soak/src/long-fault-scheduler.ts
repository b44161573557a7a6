/** Long faults, which the steps that end short faults do not end. */
import type { Subscription } from '@jujubelanding/timer';
import type { Fleet } from '@jujubelanding/simulation';

export interface LongFault {
  /** Injects the fault; called again after other faults have ended and entry VMs have restarted. */
  apply: () => void;
  end: () => void;
}

/** Runs at most one long fault at a time, so that ending one never undoes part of another. */
export class LongFaultScheduler {
  private current: LongFault | undefined;

  private expiry: Subscription | undefined;

  constructor(private readonly fleet: Fleet) {}

  isActive(): boolean {
    return this.current !== undefined;
  }

  /** Starts a fault, unless another one is active. */
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
