/** Comparison of a stated outcome with what happened. */

export interface Difference {
  expected: string;
  actual: string;
}

type FieldValue = string | number | boolean | undefined;

const formatFields = (values: Record<string, FieldValue | readonly FieldValue[]>): string =>
  Object.entries(values)
    .map(([name, value]) => `${name}=${Array.isArray(value) ? value.join('|') : String(value)}`)
    .join(' ');

/** Compares the fields that are stated; a list states that any of its values is right. */
export const compareFields = (
  expected: Record<string, FieldValue | readonly FieldValue[]>,
  actual: Record<string, FieldValue>,
): Difference | undefined => {
  const stated = Object.entries(expected).filter(([, value]) => value !== undefined);
  const isMet = stated.every(([name, value]) =>
    Array.isArray(value) ? value.includes(actual[name]) : actual[name] === value,
  );
  if (isMet) return undefined;
  return {
    expected: formatFields(Object.fromEntries(stated)),
    actual: formatFields(Object.fromEntries(stated.map(([name]) => [name, actual[name]]))),
  };
};

/** Compares a value with its upper bound; a missing value does not meet it. */
export const compareUpperBound = (
  name: string,
  limit: number,
  actual: number | undefined,
): Difference | undefined => {
  if (actual !== undefined && actual <= limit) return undefined;
  return { expected: `${name}<=${limit}`, actual: `${name}=${actual ?? 'none'}` };
};
