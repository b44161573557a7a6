/** Simulated machine that runs callbacks, queues them while paused and drops them once crashed. */

export enum HostState {
  Running = 'running',
  Paused = 'paused',
  Crashed = 'crashed',
}

export class Host {
  private current = HostState.Running;

  private held: (() => void)[] = [];

  private readonly crashHandlers = new Set<() => void>();

  constructor(
    readonly id: string,
    readonly availabilityZone: string,
  ) {}

  state(): HostState {
    return this.current;
  }

  /** Runs the callback now, queues it while the host is paused, or drops it if the host crashed. */
  deliver(callback: () => void): void {
    if (this.current === HostState.Crashed) return;
    if (this.current === HostState.Paused) {
      this.held.push(callback);
      return;
    }
    callback();
  }

  pause(): void {
    if (this.current === HostState.Running) this.current = HostState.Paused;
  }

  /** Runs the callbacks that were queued during the pause, in order. */
  resume(): void {
    if (this.current !== HostState.Paused) return;
    this.current = HostState.Running;
    const callbacks = this.held;
    this.held = [];
    callbacks.forEach((callback) => this.deliver(callback));
  }

  /** Ends the machine: no further callback runs, and open connections break. */
  crash(): void {
    if (this.current === HostState.Crashed) return;
    this.current = HostState.Crashed;
    this.held = [];
    this.crashHandlers.forEach((handler) => handler());
    this.crashHandlers.clear();
  }

  /** Registers a crash handler; the returned function removes it. */
  onCrash(handler: () => void): () => void {
    this.crashHandlers.add(handler);
    return () => this.crashHandlers.delete(handler);
  }
}
