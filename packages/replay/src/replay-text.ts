/** Replays one trace and reports the result as output lines and an exit code. */
import { parseTrace } from './trace/parse-trace.js';
import { runTrace, type LocatedDifference } from './run-trace.js';
import type { ReplayHarnessOptions } from './replay-harness.js';

export enum ExitCode {
  AsExpected = 0,
  Different = 1,
  Invalid = 2,
}

export interface ReplayReport {
  exitCode: ExitCode;
  lines: string[];
}

const describeDifference = (file: string, difference: LocatedDifference): string => {
  const { line, expectation, expected, actual } = difference;
  const subject = 'event' in expectation ? ` event=${expectation.event}` : '';
  const kind = `expect=${expectation.expect}${subject}`;
  return `${file}:${line}: ${kind} expected ${expected} actual ${actual}`;
};

/** Replays the text of a trace; the output lines contain the file name. */
export const replayText = async (
  file: string,
  text: string,
  options: ReplayHarnessOptions = {},
): Promise<ReplayReport> => {
  const parsed = parseTrace(text);
  if (parsed.isErr()) {
    const { line, reason } = parsed.error;
    return { exitCode: ExitCode.Invalid, lines: [`${file}:${line}: ${reason}`] };
  }
  const { name, events, expectations, differences } = await runTrace(parsed.value, options);
  const summary =
    `trace=${name} events=${events} expectations=${expectations} ` +
    `differences=${differences.length}`;
  return {
    exitCode: differences.length > 0 ? ExitCode.Different : ExitCode.AsExpected,
    lines: [...differences.map((difference) => describeDifference(file, difference)), summary],
  };
};
