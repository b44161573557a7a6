/** A child process that prints the address on which it listens. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';

const START_LIMIT_MS = 20_000;

const STOP_LIMIT_MS = 20_000;

/** Reported for a program that was ended by a signal. */
const EXIT_KILLED = 1;

type Listening = Readonly<Record<string, string>>;

const parseListening = (line: string): Listening =>
  Object.fromEntries(
    line
      .split(' ')
      .slice(1)
      .map((pair) => pair.split('=') as [string, string]),
  );

export class Program {
  private readonly child: ChildProcess;

  private values: Listening | undefined;

  /** Starts the process; `awaitListening` tells when it can be used. */
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
    // Not inherited: a process that outlives this one would keep the reader of its output waiting.
    this.child.stderr!.on('data', (chunk: Buffer) => process.stderr.write(chunk));
  }

  /** Waits for the `listening` line. */
  awaitListening(): Promise<void> {
    return new Promise((resolve, reject) => {
      const limit = setTimeout(() => {
        this.kill();
        reject(new Error(`${this.name} did not start within ${START_LIMIT_MS} ms`));
      }, START_LIMIT_MS);
      this.child.once('exit', (code) => {
        clearTimeout(limit);
        reject(new Error(`${this.name} ended with code ${code}`));
      });
      createInterface({ input: this.child.stdout! }).on('line', (line) => {
        if (!line.startsWith('listening ')) return;
        clearTimeout(limit);
        this.values = parseListening(line);
        resolve();
      });
    });
  }

  get isListening(): boolean {
    return this.values !== undefined;
  }

  /** Values of the line `listening key=value ...`. */
  get listening(): Listening {
    if (this.values === undefined) throw new Error(`${this.name} is not listening yet`);
    return this.values;
  }

  get processId(): number {
    return this.child.pid!;
  }

  /** Asks the program to stop and returns its exit code; ends it after a limit. */
  stop(): Promise<number> {
    const { exitCode, signalCode } = this.child;
    if (exitCode !== null) return Promise.resolve(exitCode);
    if (signalCode !== null) return Promise.resolve(EXIT_KILLED);
    return new Promise((resolve) => {
      const limit = setTimeout(() => this.child.kill('SIGKILL'), STOP_LIMIT_MS);
      this.child.once('exit', (code) => {
        clearTimeout(limit);
        resolve(code ?? EXIT_KILLED);
      });
      this.child.kill('SIGTERM');
    });
  }

  /** Ends the program without a planned stop. */
  kill(): void {
    this.child.kill('SIGKILL');
  }
}
