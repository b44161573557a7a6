import { selectEndToEndHeaders } from '@jujubelanding/http-fields';

/** Returns the headers to forward; the values of repeated headers are joined. */
export const selectForwardedHeaders = (
  headers: Record<string, string | string[]>,
): Record<string, string> =>
  Object.fromEntries(
    Object.entries(selectEndToEndHeaders(headers)).map(([name, value]) => [
      name,
      Array.isArray(value) ? value.join(', ') : value,
    ]),
  );
