/** A child process that prints the address on which it listens. */
import { spawn, type ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';

const START_LIMIT_MS = 20_000;

const STOP_LIMIT_MS = 20_000;

/** Reported for a program that was ended by a signal. */
const EXIT_KILLED = 1;

export class Program {
  private constructor(
    readonly name: string,
    private readonly child: ChildProcess,
    /** Values of the line `listening key=value ...`. */
    readonly listening: Readonly<Record<string, string>>,
  ) {}

  /** Starts a program and waits for its `listening` line. */
  static start(
    name: string,
    script: string,
    parameters: readonly string[],
    environment: NodeJS.ProcessEnv = {},
  ): Promise<Program> {
    const child = spawn(process.execPath, [script, ...parameters], {
      stdio: ['ignore', 'pipe', 'inherit'],
      env: { ...process.env, ...environment },
    });
    return new Promise((resolve, reject) => {
      const limit = setTimeout(() => {
        child.kill('SIGKILL');
        reject(new Error(`${name} did not start within ${START_LIMIT_MS} ms`));
      }, START_LIMIT_MS);
      child.once('exit', (code) => reject(new Error(`${name} ended with code ${code}`)));
      createInterface({ input: child.stdout }).on('line', (line) => {
        if (!line.startsWith('listening ')) return;
        clearTimeout(limit);
        const pairs = line.split(' ').slice(1);
        const listening = Object.fromEntries(
          pairs.map((pair) => pair.split('=') as [string, string]),
        );
        resolve(new Program(name, child, listening));
      });
    });
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
