/** Computes the differences between two objects, field by field. */

export interface Difference {
  path: string;
  /** Absent if the field is added. */
  before?: unknown;
  /** Absent if the field is removed. */
  after?: unknown;
}

const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const serialize = (value: unknown): string =>
  JSON.stringify(value, (_, nested: unknown) =>
    isObject(nested) ? Object.fromEntries(Object.entries(nested).toSorted()) : nested,
  );

/** Lists the fields that differ; the order of keys is ignored. */
export const findDifferences = (before: unknown, after: unknown, path = ''): Difference[] => {
  if (isObject(before) && isObject(after)) {
    return [...new Set([...Object.keys(before), ...Object.keys(after)])]
      .toSorted()
      .flatMap((key) =>
        findDifferences(before[key], after[key], path === '' ? key : `${path}.${key}`),
      );
  }
  if (before === after || serialize(before) === serialize(after)) return [];
  return [
    {
      path,
      ...(before === undefined ? {} : { before }),
      ...(after === undefined ? {} : { after }),
    },
  ];
};

/** Formats a difference as one line of a diff. */
export const formatDifference = ({ path, before, after }: Difference): string => {
  if (before === undefined) return `  + ${path}: ${JSON.stringify(after)}`;
  if (after === undefined) return `  - ${path}: ${JSON.stringify(before)}`;
  return `  ~ ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
};
