/** Records signals until the program handles them, so that none ends the process while it starts. */
export interface SignalSource {
  on(signal: NodeJS.Signals, handler: () => void): unknown;
}

export class EarlySignals {
  private readonly recorded: NodeJS.Signals[] = [];

  private handler: ((signal: NodeJS.Signals) => void) | undefined;

  constructor(source: SignalSource, signals: readonly NodeJS.Signals[]) {
    signals.forEach((signal) => {
      source.on(signal, () => {
        if (this.handler === undefined) this.recorded.push(signal);
        else this.handler(signal);
      });
    });
  }

  /** Calls the handler for the recorded signals and all later ones. */
  handOver(handler: (signal: NodeJS.Signals) => void): void {
    this.handler = handler;
    this.recorded.splice(0).forEach((signal) => handler(signal));
  }
}
