/** Headers that apply to one connection only and are not forwarded. */
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

/** Returns the headers to forward; the values of repeated headers are joined. */
export const selectForwardedHeaders = (
  headers: Record<string, string | string[]>,
): Record<string, string> => {
  const forwarded = Object.entries(headers).filter(([name]) => !CONNECTION_HEADERS.has(name));
  return Object.fromEntries(
    forwarded.map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : value]),
  );
};
