/** Formats a query string from the fields that are set. */
export const createQuery = (fields: Record<string, string | number | undefined>): string => {
  const query = new URLSearchParams();
  Object.entries(fields).forEach(([name, value]) => {
    if (value !== undefined) query.set(name, String(value));
  });
  return query.toString();
};
