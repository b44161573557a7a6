/** `explain`: tells the story of a request, item, job or worker from log files. */
import { type Command, Credential } from '../../command-line/command.js';
import { ExitCode } from '../../exit-code.js';
import { readText } from '../../input/files.js';
import { reportUsage, writeAnswer } from '../../output/output.js';
import { formatTable } from '../../output/table.js';
import { estimateClocks } from './clocks.js';
import { parseLogLine, type LogLine } from './log-line.js';

interface StoryLine extends LogLine {
  /** Time without the estimated difference of the VM's clock. */
  correctedTime: number;
}

const mentions = (id: string, { fields }: LogLine): boolean =>
  Object.values(fields).some((value) => value === id);

const tell = (id: string, lines: readonly LogLine[], clocks: Map<string, number>): StoryLine[] =>
  lines
    .filter((line) => mentions(id, line))
    .map((line) => ({ ...line, correctedTime: line.time - (clocks.get(line.vm) ?? 0) }))
    .toSorted((a, b) => a.correctedTime - b.correctedTime);

const describe = (id: string, { fields }: StoryLine): string =>
  Object.entries(fields)
    .filter(([, value]) => value !== id)
    .map(([key, value]) => `${key}=${value}`)
    .join(' ');

const formatStory = (id: string, story: readonly StoryLine[], clocks: Map<string, number>) => {
  const start = story[0]!.correctedTime;
  const rows = story.map((line) => [
    `+${Math.round(line.correctedTime - start)} ms`,
    line.vm,
    line.event,
    describe(id, line),
  ]);
  const vms = [...new Set(story.map(({ vm }) => vm))];
  const notes = vms.map((vm) => {
    const ahead = clocks.get(vm);
    const text = ahead === undefined ? 'unknown' : `${Math.round(ahead)} ms ahead`;
    return `clock of ${vm}: ${text}\n`;
  });
  return [`${formatTable(['TIME', 'VM', 'EVENT', 'DETAILS'], rows)}\n`, ...notes].join('');
};

export const explain: Command = {
  description: 'Tells the story of a request, item, job or worker from log files.',
  positional: ['ID', 'FILE...'],
  isLocal: true,
  flags: [],
  credential: Credential.None,
  run: async (args, _client, output) => {
    const [id, ...files] = args.positional;
    const texts = await Promise.all(files.map((file) => readText(file, args)));
    const faults = texts.flatMap((text) => (text.isErr() ? [text.error] : []));
    if (faults.length > 0) return reportUsage(output, faults);
    const lines = texts
      .flatMap((text) => text.unwrapOr('').split('\n'))
      .map(parseLogLine)
      .filter((line) => line !== undefined);
    const clocks = estimateClocks(lines);
    const story = tell(id!, lines, clocks);
    if (story.length === 0) {
      return reportUsage(output, [`${id}: not mentioned in ${lines.length} log lines`]);
    }
    writeAnswer(output, { clocks: Object.fromEntries(clocks), story }, () =>
      formatStory(id!, story, clocks),
    );
    return ExitCode.Ok;
  },
};
