/** Comparison of an expected outcome with the actual one. */

export interface Difference {
  expected: string;
  actual: string;
}

type FieldValue = string | number | boolean | undefined;

const formatFields = (values: Record<string, FieldValue | readonly FieldValue[]>): string =>
  Object.entries(values)
    .map(([name, value]) => `${name}=${Array.isArray(value) ? value.join('|') : String(value)}`)
    .join(' ');

/** Compares the expected fields that are defined; a list accepts any of its values. */
export const compareFields = (
  expected: Record<string, FieldValue | readonly FieldValue[]>,
  actual: Record<string, FieldValue>,
): Difference | undefined => {
  const defined = Object.entries(expected).filter(([, value]) => value !== undefined);
  const isMet = defined.every(([name, value]) =>
    Array.isArray(value) ? value.includes(actual[name]) : actual[name] === value,
  );
  if (isMet) return undefined;
  return {
    expected: formatFields(Object.fromEntries(defined)),
    actual: formatFields(Object.fromEntries(defined.map(([name]) => [name, actual[name]]))),
  };
};

/** Compares a value with its upper bound; an undefined value is a difference. */
export const compareUpperBound = (
  name: string,
  limit: number,
  actual: number | undefined,
): Difference | undefined => {
  if (actual !== undefined && actual <= limit) return undefined;
  return { expected: `${name}<=${limit}`, actual: `${name}=${actual ?? 'none'}` };
};
