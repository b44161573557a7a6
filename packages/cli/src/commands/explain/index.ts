/** `explain ID FILE...`: shows the log lines of a request, item, job or worker in order of time. */
import { type Command, Credential } from '../../command-line/command.js';
import { ExitCode } from '../../exit-code.js';
import { readInputText } from '../../input/files.js';
import { reportUsageErrors, writeResult } from '../../output/output.js';
import { formatTable } from '../../output/table.js';
import { estimateClockOffsets } from './clock-offsets.js';
import { parseLogLine, type LogLine } from './log-line.js';

interface CorrectedLogLine extends LogLine {
  /** Time of the line minus the estimated clock offset of its VM. */
  correctedTime: number;
}

const hasFieldValue = (id: string, { fields }: LogLine): boolean =>
  Object.values(fields).some((value) => value === id);

const buildTimeline = (
  id: string,
  lines: readonly LogLine[],
  clockOffsets: Map<string, number>,
): CorrectedLogLine[] =>
  lines
    .filter((line) => hasFieldValue(id, line))
    .map((line) => ({ ...line, correctedTime: line.time - (clockOffsets.get(line.vm) ?? 0) }))
    .toSorted((a, b) => a.correctedTime - b.correctedTime);

const formatFields = (id: string, { fields }: CorrectedLogLine): string =>
  Object.entries(fields)
    .filter(([, value]) => value !== id)
    .map(([key, value]) => `${key}=${value}`)
    .join(' ');

const formatTimeline = (
  id: string,
  timeline: readonly CorrectedLogLine[],
  clockOffsets: Map<string, number>,
) => {
  const start = timeline[0]!.correctedTime;
  const rows = timeline.map((line) => [
    `+${Math.round(line.correctedTime - start)} ms`,
    line.vm,
    line.event,
    formatFields(id, line),
  ]);
  const vms = [...new Set(timeline.map(({ vm }) => vm))];
  const clockLines = vms.map((vm) => {
    const offsetMs = clockOffsets.get(vm);
    const text = offsetMs === undefined ? 'unknown' : `${Math.round(offsetMs)} ms ahead`;
    return `clock of ${vm}: ${text}\n`;
  });
  return [`${formatTable(['TIME', 'VM', 'EVENT', 'DETAILS'], rows)}\n`, ...clockLines].join('');
};

export const explain: Command = {
  description: 'Shows the log lines of a request, item, job or worker in order of time.',
  positional: ['ID', 'FILE...'],
  isLocal: true,
  flags: [],
  credential: Credential.None,
  run: async (args, _client, output) => {
    const [id, ...files] = args.positional;
    const texts = await Promise.all(files.map((file) => readInputText(file, args)));
    const errors = texts.flatMap((text) => (text.isErr() ? [text.error] : []));
    if (errors.length > 0) return reportUsageErrors(output, errors);
    const lines = texts
      .flatMap((text) => text.unwrapOr('').split('\n'))
      .map(parseLogLine)
      .filter((line) => line !== undefined);
    const clockOffsets = estimateClockOffsets(lines);
    const timeline = buildTimeline(id!, lines, clockOffsets);
    if (timeline.length === 0) {
      return reportUsageErrors(output, [`${id}: not found in ${lines.length} log lines`]);
    }
    writeResult(output, { clocks: Object.fromEntries(clockOffsets), story: timeline }, () =>
      formatTimeline(id!, timeline, clockOffsets),
    );
    return ExitCode.Ok;
  },
};
