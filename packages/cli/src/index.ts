/** The command-line tool as a library, callable without starting a process. */
export { ExitCode, getExitCode } from './exit-code.js';
export { type ProcessIo, runCommandLine } from './run.js';
export { COMMANDS } from './commands/index.js';
export { type Arguments, type Command, Credential } from './command-line/command.js';
export { Flag, FLAG_DEFINITIONS } from './command-line/flags.js';
export { Client, type ClientOptions, type ClientRequest, Repetition } from './client/client.js';
export { createTransport, type Transport } from './client/transport.js';
export { OutputFormat, type Output } from './output/output.js';
