/** Start of a process: listeners and signals first, then the program. */
import type { CacheOutcome } from './code-cache.js';
import { EarlyListener } from './early-listener.js';
import { EarlySignals, type SignalSource } from './early-signals.js';
import { loadProgram } from './program-loader.js';

export interface BootState {
  /** Listeners by address; none if the program is started without a boot program. */
  listeners: ReadonlyMap<string, EarlyListener>;
  signals: EarlySignals;
  cache: CacheOutcome;
}

export interface BootOptions {
  /** Addresses to listen on, as host:port. */
  addresses: readonly string[];
  /** Signals that the program handles. */
  signals: readonly NodeJS.Signals[];
  signalSource: SignalSource;
  programFile: string;
  cacheFile: string;
}

/** What a program exports. */
export interface BootableProgram {
  start: (state: BootState) => Promise<void>;
}

/**
 * Loads and starts the program; resolves once it has started. If it fails, the listeners and the connections
 * that are not handed over are closed, and the error is thrown.
 */
export const boot = async (options: BootOptions): Promise<void> => {
  const signals = new EarlySignals(options.signalSource, options.signals);
  const listeners = new Map(
    options.addresses.map((address) => [address, new EarlyListener(address)]),
  );
  await Promise.all([...listeners.values()].map(({ opened }) => opened));
  try {
    const program = loadProgram<BootableProgram>(options.programFile, options.cacheFile);
    await program.exports.start({ listeners, signals, cache: program.cache });
  } catch (thrown) {
    listeners.forEach((listener) => listener.close());
    throw thrown;
  }
};
