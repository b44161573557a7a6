/** Command that measures how costs grow and writes the tables and charts of the capacity page. */
import { readFile, writeFile } from 'node:fs/promises';
import { formatLine } from '@jujubelanding/log';
import meow from 'meow';
import { writeCharts } from './charts.js';
import { createTables, fillPage, formatSeries } from './report.js';
import { computeSpread, measureAll, type Results } from './results.js';

const SEED = 1;

const cli = meow(
  `
  Usage
    $ npm run capacity -- [options]

  Options
    --json FILE      results (default docs/capacity.json)
    --charts FOLDER  charts (default docs/charts)
    --page FILE      page in which to replace the tables
    --earlier FILE   results of an earlier run, to report the spread between both
    --results FILE   results to report again, without measuring
    --quick          fewer and smaller sizes
`,
  {
    importMeta: import.meta,
    flags: {
      json: { type: 'string', default: 'docs/capacity.json' },
      charts: { type: 'string', default: 'docs/charts' },
      page: { type: 'string' },
      earlier: { type: 'string' },
      results: { type: 'string' },
      quick: { type: 'boolean', default: false },
    },
  },
);

const printCounts = (results: Results): void => {
  for (const { case: name, size, readsPerSecond, writesPerSecond, ...counts } of results.keyValue) {
    const { pendingWatches, processorPercent } = counts;
    const rates = { reads: readsPerSecond, writes: writesPerSecond };
    console.log(
      formatLine('keyValue', { case: name, size, ...rates, pendingWatches, processorPercent }),
    );
  }
  results.losses.forEach((loss) => console.log(formatLine('loss', { ...loss })));
};

const readResults = async (file: string): Promise<Results> =>
  JSON.parse(await readFile(file, 'utf8')) as Results;

const loadOrMeasureResults = async (): Promise<Results> => {
  const { results, quick } = cli.flags;
  if (results !== undefined) return readResults(results);
  return measureAll({ seed: SEED, quick }, (series) => console.log(formatSeries(series)));
};

const run = async (): Promise<void> => {
  const { json, charts, page, earlier } = cli.flags;
  const results = await loadOrMeasureResults();
  if (earlier !== undefined) {
    results.spread = computeSpread(results, await readResults(earlier));
  }
  printCounts(results);
  const tables = createTables(results);
  Object.entries(tables).forEach(([name, table]) => console.log(`\n<!-- ${name} -->\n${table}`));
  await writeFile(json, `${JSON.stringify(results, null, 2)}\n`);
  const names = await writeCharts(charts, results.series);
  names.forEach((name) => console.log(formatLine('chart', { name })));
  if (page !== undefined) await writeFile(page, fillPage(await readFile(page, 'utf8'), tables));
};

await run();
// Timers of the measured controllers would keep the process alive.
process.exit(0);
