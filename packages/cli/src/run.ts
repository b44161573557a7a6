/** Parses and runs one command line. */
import type { Readable } from 'node:stream';
import type { Random } from '@jujubelanding/random';
import type { Timer } from '@jujubelanding/timer';
import { Client } from './client/client.js';
import { createTransport } from './client/transport.js';
import { type Arguments, type Command, Credential } from './command-line/command.js';
import { Flag, FLAG_DEFINITIONS } from './command-line/flags.js';
import { createCommandHelp, createHelp } from './command-line/help.js';
import { type Environment, parseCommandLine } from './command-line/parse.js';
import { checkEntryVms, parseDurationFlag } from './command-line/values.js';
import { COMMANDS } from './commands/index.js';
import { ExitCode } from './exit-code.js';
import { OutputFormat, type Output, reportUsageErrors } from './output/output.js';

/** The process resources that the tool uses, replaceable in tests. */
export interface ProcessIo {
  timer: Timer;
  random: Random;
  standardInput: Readable;
  /** Terminal for the progress bar; absent if standard error is not a terminal. */
  terminal?: NodeJS.WritableStream;
  version: string;
  write(text: string): void;
  drain(): Promise<void>;
  writeError(text: string): void;
}

const CREDENTIAL_FLAGS: Record<Credential, Flag | undefined> = {
  [Credential.Operator]: Flag.Token,
  [Credential.Team]: Flag.TeamKey,
  [Credential.None]: undefined,
};

const checkCredential = (command: Command, args: Arguments): string[] => {
  const flag = CREDENTIAL_FLAGS[command.credential];
  if (flag === undefined || args.values[flag] !== undefined) return [];
  return [`--${flag} (${FLAG_DEFINITIONS[flag].variable}): missing; this command needs it`];
};

const runCommand = async (
  command: Command,
  args: Arguments,
  entryVms: string[],
  output: Output,
  { timer, random }: ProcessIo,
): Promise<ExitCode> => {
  const timeout = parseDurationFlag(args, Flag.Timeout);
  const errors = [
    ...(command.isLocal === true ? [] : checkEntryVms(entryVms)),
    ...checkCredential(command, args),
    ...(timeout.isErr() ? [timeout.error] : []),
  ];
  if (errors.length > 0) return reportUsageErrors(output, errors);
  const credentialFlag = CREDENTIAL_FLAGS[command.credential];
  const credential = credentialFlag === undefined ? undefined : args.values[credentialFlag];
  const timeoutMs = timeout.unwrapOr(undefined) ?? command.defaultTimeoutMs;
  const transport = createTransport(timer);
  const client = new Client({
    entryVms,
    timer,
    random,
    transport,
    ...(credential === undefined ? {} : { authorization: `Bearer ${credential}` }),
    ...(timeoutMs === undefined ? {} : { timeoutMs }),
  });
  try {
    return await command.run(args, client, output);
  } finally {
    await transport.close();
  }
};

/** Runs a command line and returns the exit code without exiting the process. */
export const runCommandLine = async (
  argv: readonly string[],
  environment: Environment,
  io: ProcessIo,
): Promise<ExitCode> => {
  const parsed = parseCommandLine(argv, environment, io.standardInput, COMMANDS);
  // Errors in the command line itself are also reported in the requested format.
  const isJson = parsed.isOk()
    ? parsed.value.args.switches.has(Flag.Json)
    : argv.includes(`--${Flag.Json}`);
  const output: Output = {
    format: isJson ? OutputFormat.Json : OutputFormat.Table,
    ...(io.terminal === undefined ? {} : { terminal: io.terminal }),
    write: (text) => io.write(text),
    drain: () => io.drain(),
    writeError: (text) => io.writeError(text),
  };
  if (parsed.isErr()) return reportUsageErrors(output, parsed.error);
  const { name, command, args, entryVms } = parsed.value;
  if (args.switches.has(Flag.Version)) {
    output.write(`${io.version}\n`);
    return ExitCode.Ok;
  }
  if (name === undefined || command === undefined || args.switches.has(Flag.Help)) {
    output.write(
      name === undefined || command === undefined
        ? createHelp(COMMANDS)
        : createCommandHelp(name, command),
    );
    return ExitCode.Ok;
  }
  return runCommand(command, args, entryVms, output, io);
};
