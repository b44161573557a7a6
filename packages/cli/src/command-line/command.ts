/** The interface that all commands implement. */
import type { Readable } from 'node:stream';
import type { Client } from '../client/client.js';
import type { ExitCode } from '../exit-code.js';
import type { Output } from '../output/output.js';
import type { Flag } from './flags.js';

/** The arguments of one command, checked against its definition. */
export interface Arguments {
  /** As many as the command defines, or more where it allows. */
  positional: string[];
  values: Partial<Record<Flag, string>>;
  switches: ReadonlySet<Flag>;
  standardInput: Readable;
}

/** Whose credential a command sends. */
export enum Credential {
  Operator = 'operator',
  Team = 'team',
  None = 'none',
}

export interface Command {
  description: string;
  /** Names of the positional arguments; one that ends with `...` stands for one or more. */
  positional: readonly string[];
  /** True where the command sends nothing to entry VMs. */
  isLocal?: boolean;
  /** Accepted flags besides the global ones. */
  flags: readonly Flag[];
  credential: Credential;
  /** Time for the whole command unless `--timeout` is given; unlimited when absent. */
  defaultTimeoutMs?: number;
  run(args: Arguments, client: Client, output: Output): Promise<ExitCode>;
}

/** Time for commands that neither wait nor stream. */
export const DEFAULT_TIMEOUT_MS = 60_000;
