/** Output of commands, as text or as JSON. */
import type { Fault } from '@jujubelanding/errors';
import { ExitCode, getExitCode } from '../exit-code.js';

export enum OutputFormat {
  Table = 'table',
  Json = 'json',
}

export interface Output {
  format: OutputFormat;
  /** Terminal for the progress bar; absent if standard error is not a terminal. */
  terminal?: NodeJS.WritableStream;
  write(text: string): void;
  /** Resolves when the written text has left the buffer; keeps large outputs out of memory. */
  drain(): Promise<void>;
  writeError(text: string): void;
}

/** Writes the result as one JSON document or as text. */
export const writeResult = (output: Output, value: unknown, createText: () => string): void => {
  output.write(
    output.format === OutputFormat.Json ? `${JSON.stringify(value, null, 2)}\n` : createText(),
  );
};

/** Writes an informational message to standard error; omitted in JSON format. */
export const writeInfo = (output: Output, text: string): void => {
  if (output.format === OutputFormat.Table) output.writeError(`${text}\n`);
};

const formatFault = (fault: Fault): string => {
  const origin = [fault.step, fault.peer].filter((part) => part).join(' at ');
  const details = Object.entries(fault.details ?? {}).map(([name, text]) => `  ${name}: ${text}`);
  const retry =
    fault.retryAfterMs === undefined
      ? []
      : [`  a retry may succeed after ${fault.retryAfterMs} ms`];
  const head = `${fault.code} (${fault.outcome}, ${origin}): ${fault.message}`;
  return [head, ...details, ...retry, ''].join('\n');
};

/** Writes a fault to standard error and returns its exit code. */
export const reportFault = (output: Output, fault: Fault): ExitCode => {
  output.writeError(
    output.format === OutputFormat.Json ? `${JSON.stringify({ fault })}\n` : formatFault(fault),
  );
  return getExitCode(fault);
};

/** Writes the errors in arguments or input to standard error. */
export const reportUsageErrors = (output: Output, errors: readonly string[]): ExitCode => {
  output.writeError(
    output.format === OutputFormat.Json
      ? `${JSON.stringify({ usage: errors })}\n`
      : errors.map((error) => `${error}\n`).join(''),
  );
  return ExitCode.Usage;
};
