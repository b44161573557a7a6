/** Renders one SVG chart per main cost slope, without a browser. */
import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { parse, View } from 'vega';
import { compile, type TopLevelSpec } from 'vega-lite';
import { predict } from './fit.js';
import type { Series } from './series.js';

/** Series that have a chart, and the budget that the chart shows as a line. */
export const CHARTS: readonly { id: string; budget?: number }[] = [
  { id: 'membership.bytesOut', budget: 6000 },
  { id: 'membership.processor', budget: 3.5 },
  { id: 'notices.bytes', budget: 6000 },
  { id: 'notices.ownerBytes', budget: 6000 },
  { id: 'limits.bytes', budget: 6000 },
  { id: 'routing.choice' },
  { id: 'proxy.request' },
  { id: 'jobs.grant' },
  { id: 'jobs.recordBytes', budget: 1024 * 1024 },
  { id: 'claims.bytes' },
  { id: 'configuration.changeByMembers' },
  { id: 'shards.processor', budget: 3.5 },
];

const createChartSpec = (
  { title, size, unit, points, fit }: Series,
  budget?: number,
): TopLevelSpec => {
  const x = { field: 'size', type: 'quantitative' as const, title: size };
  const y = { field: 'value', type: 'quantitative' as const, title: unit };
  const fitted = points.map((point) => ({ size: point.size, value: predict(fit, point.size) }));
  const budgetLine =
    budget === undefined ? [] : points.map((point) => ({ ...point, value: budget }));
  return {
    $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
    title,
    width: 420,
    height: 240,
    background: 'white',
    layer: [
      {
        data: { values: points },
        mark: { type: 'point', filled: true, size: 60 },
        encoding: { x, y },
      },
      { data: { values: fitted }, mark: { type: 'line', strokeWidth: 1 }, encoding: { x, y } },
      {
        data: { values: budgetLine },
        mark: { type: 'line', color: 'firebrick', strokeDash: [4, 4] },
        encoding: { x, y },
      },
    ],
  };
};

export const renderChart = async (series: Series, budget?: number): Promise<string> => {
  const { spec } = compile(createChartSpec(series, budget));
  const view = new View(parse(spec), { renderer: 'none' });
  return view.toSVG();
};

/** Writes the charts; returns their file names. */
export const writeCharts = async (folder: string, series: readonly Series[]): Promise<string[]> => {
  await mkdir(folder, { recursive: true });
  const names: string[] = [];
  for (const { id, budget } of CHARTS) {
    const found = series.find((candidate) => candidate.id === id);
    if (found === undefined) continue;
    const name = `${id}.svg`;
    await writeFile(join(folder, name), await renderChart(found, budget));
    names.push(name);
  }
  return names;
};
