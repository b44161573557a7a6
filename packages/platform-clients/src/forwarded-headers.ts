/** Headers that belong to one connection and are not passed on. */
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

/** Returns the headers that are passed on, repeated ones joined. */
export const selectForwardedHeaders = (
  headers: Record<string, string | string[]>,
): Record<string, string> => {
  const kept = Object.entries(headers).filter(([name]) => !CONNECTION_HEADERS.has(name));
  return Object.fromEntries(
    kept.map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : value]),
  );
};
