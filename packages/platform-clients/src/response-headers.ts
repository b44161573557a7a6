import { util } from 'undici';

/**
 * Decodes the names and values of response headers, which alternate, by lowercase name. Latin-1 keeps each
 * byte of a value, and is how values are encoded when they are sent on; undici itself decodes them as UTF-8.
 */
export const parseHeaders = (fields: readonly Buffer[]): Record<string, string | string[]> => {
  const headers = new Map<string, string | string[]>();
  for (let index = 0; index + 1 < fields.length; index += 2) {
    const name = util.headerNameToString(fields[index]!);
    const value = fields[index + 1]!.toString('latin1');
    const earlier = headers.get(name);
    headers.set(name, earlier === undefined ? value : [earlier, value].flat());
  }
  return Object.fromEntries(headers);
};
