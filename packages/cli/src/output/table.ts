/** Plain-text tables. */
import Table from 'cli-table3';

export type Cell = string | number | undefined;

const NO_BORDERS = {
  top: '',
  'top-mid': '',
  'top-left': '',
  'top-right': '',
  bottom: '',
  'bottom-mid': '',
  'bottom-left': '',
  'bottom-right': '',
  left: '',
  'left-mid': '',
  mid: '',
  'mid-mid': '',
  right: '',
  'right-mid': '',
  middle: '  ',
};

const EMPTY_CELL = '-';

const chooseAlignment = (cells: readonly Cell[]): 'left' | 'right' => {
  const filled = cells.filter((cell) => cell !== undefined);
  return filled.length > 0 && filled.every((cell) => typeof cell === 'number') ? 'right' : 'left';
};

/** Formats rows under column names; without borders, so that `grep` and `cut` can process the lines. */
export const formatTable = (
  columns: readonly string[],
  rows: readonly (readonly Cell[])[],
): string => {
  const table = new Table({
    head: [...columns],
    chars: NO_BORDERS,
    style: { head: [], border: [], 'padding-left': 0, 'padding-right': 0 },
    colAligns: columns.map((_, index) => chooseAlignment(rows.map((row) => row[index]))),
  });
  table.push(...rows.map((row) => row.map((cell) => cell ?? EMPTY_CELL)));
  const lines = table.toString().split('\n');
  return `${lines.map((line) => line.trimEnd()).join('\n')}\n`;
};
