/** Formats key=value lines and the Markdown tables of the capacity page. */
import { formatLine } from '@jujubelanding/log';
import { BUDGETS, CostModel, Resource, type Cost } from './costs.js';
import { fitLine } from './fit.js';
import { projectKeyValue } from './key-value-projection.js';
import type { Results } from './results.js';
import { DESIGN, TODAY, type Scenario } from './scenario.js';
import type { Series } from './series.js';

export const formatNumber = (value: number): string => {
  if (value === 0) return '0';
  const size = Math.abs(value);
  if (size >= 1000) return Math.round(value).toLocaleString('en-US');
  if (size >= 100) return value.toFixed(0);
  return Number(value.toPrecision(3)).toString();
};

const formatPercent = (ratio: number): string => `${formatNumber(ratio * 100)}%`;

export const formatSeries = (series: Series): string =>
  formatLine('slope', {
    id: series.id,
    kind: series.kind,
    unit: series.unit,
    size: series.size,
    points: series.points.map(({ size, value }) => `${size}:${value.toPrecision(4)}`),
    slope: series.fit.slope.toPrecision(4),
    intercept: series.fit.intercept.toPrecision(4),
    r2: series.fit.r2.toFixed(4),
    maxResidual: series.fit.maxResidual.toFixed(3),
    exponent: series.fit.exponent.toFixed(2),
  });

const createTable = (head: string[], rows: string[][]): string =>
  [head, head.map(() => '---'), ...rows].map((row) => `| ${row.join(' | ')} |`).join('\n');

const createSlopeTable = ({ series, spread }: Results): string =>
  createTable(
    [
      'series',
      'unit',
      'against',
      'points',
      'slope',
      'intercept',
      'R²',
      'max. residual',
      'exponent',
      'spread',
    ],
    series.map(({ id, unit, size, points, fit }) => [
      `\`${id}\``,
      unit,
      size,
      points.map((point) => `${point.size}: ${formatNumber(point.value)}`).join('; '),
      formatNumber(fit.slope),
      formatNumber(fit.intercept),
      fit.r2.toFixed(3),
      formatPercent(fit.maxResidual),
      fit.exponent.toFixed(2),
      spread?.[id] === undefined ? '' : formatPercent(spread[id]),
    ]),
  );

const createSourceTable = ({ series }: Results): string =>
  createTable(
    ['series', 'what', 'kind', 'modules run (under `packages/`)'],
    series.map(({ id, title, kind, source }) => [`\`${id}\``, title, kind, `\`${source}\``]),
  );

const createCostTable = (costs: Cost[]): string =>
  createTable(
    ['role', 'part', 'value', 'unit', 'fit residual', 'slope'],
    costs.map(({ role, part, resource, value, error, series }) => [
      role,
      part,
      formatNumber(value),
      resource,
      series.length === 0 ? 'one reading' : formatPercent(error),
      series.map((id) => `\`${id}\``).join(', '),
    ]),
  );

/**
 * Sums the costs of a VM that has all roles, without the data path, the notices of the busiest owner
 * and the bytes to the key-value service.
 */
export const sumCosts = (costs: Cost[]): { resource: Resource; sum: number; budget: number }[] =>
  Object.values(Resource).map((resource) => ({
    resource,
    sum: costs
      .filter((cost) => cost.resource === resource && cost.isControl)
      .filter(({ part }) => part !== 'notices, busiest' && !part.includes('key-value'))
      .reduce((sum, { value }) => sum + value, 0),
    budget: BUDGETS[resource],
  }));

const createBudgetTable = (costs: Cost[]): string =>
  createTable(
    ['resource', 'sum of all control roles on one VM', 'budget', 'ratio'],
    sumCosts(costs).map(({ resource, sum, budget }) => [
      resource,
      formatNumber(sum),
      formatNumber(budget),
      formatNumber(sum / budget),
    ]),
  );

const createCallTable = ({ keyValue }: Results): string =>
  createTable(
    [
      'case',
      'size',
      'reads/s',
      'writes/s',
      'pending watches',
      'reads by purpose',
      'writes by purpose',
    ],
    keyValue.map((counts) => [
      counts.case,
      String(counts.size),
      formatNumber(counts.readsPerSecond),
      formatNumber(counts.writesPerSecond),
      String(counts.pendingWatches),
      ...[counts.reads, counts.writes].map((byPurpose) =>
        Object.entries(byPurpose)
          .map(([purpose, rate]) => `${purpose} ${formatNumber(rate)}`)
          .join('; '),
      ),
    ]),
  );

const createGrowthTable = ({ keyValue }: Results): string =>
  createTable(
    ['case', 'calls', 'per unit of size', 'exponent', 'max. residual'],
    [...new Set(keyValue.map((counts) => counts.case))].flatMap((name) =>
      (['readsPerSecond', 'writesPerSecond'] as const).map((calls) => {
        const counts = keyValue.filter((entry) => entry.case === name);
        const fit = fitLine(counts.map((entry) => ({ size: entry.size, value: entry[calls] })));
        return [
          name,
          calls,
          formatNumber(fit.slope),
          fit.exponent.toFixed(2),
          formatPercent(fit.maxResidual),
        ];
      }),
    ),
  );

const createLossTable = ({ losses }: Results): string =>
  createTable(
    [
      'entry VMs',
      'shards lost',
      'acquisition calls',
      'job reads',
      'claim reads',
      'time without owner, ms',
    ],
    losses.map((loss) =>
      [
        loss.entryVms,
        loss.shardsLost,
        loss.acquisitionCalls,
        loss.jobReads,
        loss.claimReads,
        loss.unownedMs,
      ].map(String),
    ),
  );

const createProjectionTable = (results: Results, scenario: Scenario): string =>
  createTable(
    ['purpose', 'reads/s', 'writes/s', 'from'],
    projectKeyValue(results, scenario).map(({ purpose, reads, writes, from }) => [
      purpose,
      formatNumber(reads),
      formatNumber(writes),
      from,
    ]),
  );

/** Creates the tables by the name of their marker in the page. */
export const createTables = (results: Results): Record<string, string> => {
  const today = new CostModel(results, TODAY).compute();
  const design = new CostModel(results, DESIGN).compute();
  return {
    'today-budget': createBudgetTable(today),
    'today-costs': createCostTable(today),
    'today-key-value': createProjectionTable(results, TODAY),
    'design-budget': createBudgetTable(design),
    'design-costs': createCostTable(design),
    'design-key-value': createProjectionTable(results, DESIGN),
    slopes: createSlopeTable(results),
    sources: createSourceTable(results),
    'key-value-counts': createCallTable(results),
    'key-value-growth': createGrowthTable(results),
    losses: createLossTable(results),
  };
};

/** Replaces the tables between the markers of a page. */
export const fillPage = (page: string, tables: Record<string, string>): string =>
  Object.entries(tables).reduce(
    (text, [name, table]) =>
      text.replace(
        new RegExp(`(<!-- ${name} -->\\n)[\\s\\S]*?(<!-- end -->)`),
        (_, start: string, end: string) => `${start}\n${table}\n\n${end}`,
      ),
    page,
  );
