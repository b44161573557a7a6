/** A child process that prints the addresses on which it listens. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';

const START_TIMEOUT_MS = 20_000;

const STOP_TIMEOUT_MS = 20_000;

/** Exit code reported for a program that was ended by a signal. */
const KILLED_EXIT_CODE = 1;

type ListeningAddresses = Readonly<Record<string, string>>;

const parseListening = (line: string): ListeningAddresses =>
  Object.fromEntries(
    line
      .split(' ')
      .slice(1)
      .map((pair) => pair.split('=') as [string, string]),
  );

export class Program {
  private readonly child: ChildProcess;

  private listeningAddresses: ListeningAddresses | undefined;

  /** Starts the process; it is ready once `awaitListening` resolves. */
  constructor(
    readonly name: string,
    script: string,
    parameters: readonly string[],
    environment: NodeJS.ProcessEnv = {},
  ) {
    this.child = spawn(process.execPath, [script, ...parameters], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...environment },
    });
    // Piped instead of inherited, because a process that outlives this one would keep standard error open
    // and block its reader.
    this.child.stderr!.on('data', (chunk: Buffer) => process.stderr.write(chunk));
  }

  /** Waits for the `listening` line. */
  awaitListening(): Promise<void> {
    return new Promise((resolve, reject) => {
      const timeout = setTimeout(() => {
        this.kill();
        reject(new Error(`${this.name} did not start within ${START_TIMEOUT_MS} ms`));
      }, START_TIMEOUT_MS);
      this.child.once('exit', (code) => {
        clearTimeout(timeout);
        reject(new Error(`${this.name} ended with code ${code}`));
      });
      createInterface({ input: this.child.stdout! }).on('line', (line) => {
        if (!line.startsWith('listening ')) return;
        clearTimeout(timeout);
        this.listeningAddresses = parseListening(line);
        resolve();
      });
    });
  }

  get isListening(): boolean {
    return this.listeningAddresses !== undefined;
  }

  /** Addresses from the line `listening key=value ...`. */
  get listening(): ListeningAddresses {
    if (this.listeningAddresses === undefined) throw new Error(`${this.name} is not listening yet`);
    return this.listeningAddresses;
  }

  get processId(): number {
    return this.child.pid!;
  }

  /** Sends SIGTERM and returns the exit code; sends SIGKILL after a timeout. */
  stop(): Promise<number> {
    const { exitCode, signalCode } = this.child;
    if (exitCode !== null) return Promise.resolve(exitCode);
    if (signalCode !== null) return Promise.resolve(KILLED_EXIT_CODE);
    return new Promise((resolve) => {
      const timeout = setTimeout(() => this.child.kill('SIGKILL'), STOP_TIMEOUT_MS);
      this.child.once('exit', (code) => {
        clearTimeout(timeout);
        resolve(code ?? KILLED_EXIT_CODE);
      });
      this.child.kill('SIGTERM');
    });
  }

  /** Ends the program with SIGKILL. */
  kill(): void {
    this.child.kill('SIGKILL');
  }
}
