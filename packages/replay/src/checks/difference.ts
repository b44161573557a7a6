/** Comparison of a stated outcome with what happened. */

export interface Difference {
  expected: string;
  actual: string;
}

type Value = string | number | boolean | undefined;

const describe = (values: Record<string, Value | readonly Value[]>): string =>
  Object.entries(values)
    .map(([name, value]) => `${name}=${Array.isArray(value) ? value.join('|') : String(value)}`)
    .join(' ');

/** Compares the fields that are stated; a list states that any of its values is right. */
export const compare = (
  expected: Record<string, Value | readonly Value[]>,
  actual: Record<string, Value>,
): Difference | undefined => {
  const stated = Object.entries(expected).filter(([, value]) => value !== undefined);
  const isMet = stated.every(([name, value]) =>
    Array.isArray(value) ? value.includes(actual[name]) : actual[name] === value,
  );
  if (isMet) return undefined;
  return {
    expected: describe(Object.fromEntries(stated)),
    actual: describe(Object.fromEntries(stated.map(([name]) => [name, actual[name]]))),
  };
};

/** Compares a value with its upper bound; a missing value does not meet it. */
export const compareBound = (
  name: string,
  limit: number,
  actual: number | undefined,
): Difference | undefined => {
  if (actual !== undefined && actual <= limit) return undefined;
  return { expected: `${name}<=${limit}`, actual: `${name}=${actual ?? 'none'}` };
};
