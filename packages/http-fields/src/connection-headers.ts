/** Headers that apply to one connection only and are not forwarded, beside those that `Connection` names. */
export const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Returns the names of headers that the `Connection` header declares as belonging to the connection. */
const listConnectionOptions = (entries: readonly [string, unknown][]): string[] =>
  entries
    .filter(([name]) => name.toLowerCase() === 'connection')
    .flatMap(([, value]) => String(value).split(','))
    .map((option) => option.trim().toLowerCase());

/**
 * Returns the headers to forward, by lowercase name: without those that concern one connection, and without
 * the omitted ones. Of names that differ in case only, the last one counts.
 */
export const selectEndToEndHeaders = <T>(
  headers: Readonly<Record<string, T | undefined>>,
  ...omitted: readonly string[]
): Record<string, T> => {
  const entries = Object.entries(headers);
  const excluded = new Set([...omitted, ...listConnectionOptions(entries)]);
  const selected = entries
    .map(([name, value]): [string, T | undefined] => [name.toLowerCase(), value])
    .filter(
      (entry): entry is [string, T] =>
        entry[1] !== undefined && !CONNECTION_HEADERS.has(entry[0]) && !excluded.has(entry[0]),
    );
  return Object.fromEntries(selected);
};
