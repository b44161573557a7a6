/** Command-line interface of the policy benchmark. */
import { writeFile } from 'node:fs/promises';
import meow from 'meow';
import type { RunResult } from './cases/bench-case.js';
import { CASES } from './cases/index.js';
import { formatReportLine, type Figures, type ReportLine } from './report.js';
import { runTasks } from './thread-pool.js';
import { Samples } from './statistics.js';

const cli = meow(
  `
  Usage
    $ npm run bench -- [options]

  Options
    --seed N      first seed (default 1)
    --seeds N     number of consecutive seeds (default 3)
    --seconds N   measured virtual seconds of each run (default 90)
    --case NAME   one of: ${Object.keys(CASES).join(', ')} (default: all)
    --json FILE   also write the lines as JSON
`,
  {
    importMeta: import.meta,
    flags: {
      seed: { type: 'number', default: 1 },
      seeds: { type: 'number', default: 3 },
      seconds: { type: 'number', default: 90 },
      case: { type: 'string', choices: Object.keys(CASES) },
      json: { type: 'string' },
    },
  },
);

const { seed: firstSeed, seeds: seedCount, seconds, json, case: selectedCase } = cli.flags;
const seeds = Array.from({ length: seedCount }, (_, index) => firstSeed + index);

/** Selects the runs of a variant; runs are ordered by variant, then by seed. */
const selectRunsOfVariant = (runs: readonly RunResult[], variant: number): readonly RunResult[] =>
  runs.slice(variant * seeds.length, (variant + 1) * seeds.length);

const poolSamples = (runs: readonly RunResult[]): Samples => {
  const samples = new Samples();
  runs.forEach(({ firstTokenMs = [] }) => samples.addAll(firstTokenMs));
  return samples;
};

const runCase = async (caseName: string): Promise<ReportLine[]> => {
  const { variants, summarize } = CASES[caseName]!;
  const tasks = variants.flatMap((variant) =>
    seeds.map((seed) => ({ caseName, variant, seed, seconds })),
  );
  const runs = await runTasks(tasks);
  const results = new Map<string, Figures[]>(
    variants.map((variant, index) => [
      variant,
      selectRunsOfVariant(runs, index).map(({ figures }) => figures),
    ]),
  );
  const pooled = new Map(
    variants.map((variant, index) => [variant, poolSamples(selectRunsOfVariant(runs, index))]),
  );
  const common = { virtualSeconds: seconds, seeds: `${seeds[0]!}..${seeds.at(-1)!}` };
  const lines = summarize(results, pooled).map((line) => ({
    ...line,
    fields: { ...common, ...line.fields },
  }));
  lines.forEach((line) => console.log(formatReportLine(line)));
  return lines;
};

const lines: ReportLine[] = [];
for (const name of selectedCase === undefined ? Object.keys(CASES) : [selectedCase]) {
  lines.push(...(await runCase(name)));
}
if (json !== undefined) {
  await writeFile(json, `${JSON.stringify({ firstSeed, seconds, lines }, null, 2)}\n`);
}
