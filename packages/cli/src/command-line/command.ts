/** The interface that all commands implement. */
import type { Readable } from 'node:stream';
import type { Client } from '../client/client.js';
import type { ExitCode } from '../exit-code.js';
import type { Output } from '../output/output.js';
import type { Flag } from './flags.js';

/** Arguments of one command, validated against its definition. */
export interface Arguments {
  /** As many as the command defines, or more if its last argument is repeatable. */
  positional: string[];
  /** Values by flag; those of a repeated flag are joined with commas. */
  values: Partial<Record<Flag, string>>;
  /** The given flags that take no value. */
  switches: ReadonlySet<Flag>;
  standardInput: Readable;
}

/** The credential that a command sends. */
export enum Credential {
  Operator = 'operator',
  Team = 'team',
  None = 'none',
}

export interface Command {
  description: string;
  /** Names of the positional arguments; a trailing `...` marks one or more values. */
  positional: readonly string[];
  /** True if the command sends no requests to entry VMs. */
  isLocal?: boolean;
  /** Accepted flags besides the global ones. */
  flags: readonly Flag[];
  credential: Credential;
  /** Time limit of the command unless `--timeout` is given; no limit if absent. */
  defaultTimeoutMs?: number;
  run(args: Arguments, client: Client, output: Output): Promise<ExitCode>;
}

/** Time limit of commands that neither wait nor stream. */
export const DEFAULT_TIMEOUT_MS = 60_000;
