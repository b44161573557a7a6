export enum RequestPart {
  /** Id that is sent in a header and compared with the one in the response. */
  Id = 'id',
  /** Path with query. */
  Target = 'target',
  HeaderName = 'header-name',
  HeaderValue = 'header-value',
}

export interface CheckedRequest {
  id: string;
  target: string;
  headers: Readonly<Record<string, string | readonly string[]>>;
}

/** A part of a request that HTTP cannot carry. */
export interface InvalidPart {
  part: RequestPart;
  /** Name of the header, for headers. */
  name?: string;
  value: string;
  /** Describes valid values. */
  allowed: string;
}

/** Valid values, as in RFC 9110, section 5, with the bytes 128 to 255 as Latin-1 characters. */
const PATTERNS: Record<RequestPart, RegExp> = {
  // Receivers strip spaces and tabs around a value, so that an id with them would come back as another one.
  [RequestPart.Id]: /^[\x21-\x7e\x80-\xff]([\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?$/,
  [RequestPart.Target]: /^\/[\x21-\xff]*$/,
  [RequestPart.HeaderName]: /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/,
  [RequestPart.HeaderValue]: /^[\t\x20-\x7e\x80-\xff]*$/,
};

const ALLOWED: Record<RequestPart, string> = {
  [RequestPart.Id]: 'Latin-1 characters without control characters, and no space at either end',
  [RequestPart.Target]: 'a slash, and Latin-1 characters without spaces and control characters',
  [RequestPart.HeaderName]: "letters, digits and !#$%&'*+-.^_`|~",
  [RequestPart.HeaderValue]: 'Latin-1 characters without control characters',
};

const check = (part: RequestPart, value: string, name?: string): InvalidPart | undefined =>
  PATTERNS[part].test(value)
    ? undefined
    : { part, ...(name === undefined ? {} : { name }), value, allowed: ALLOWED[part] };

const checkHeader = (name: string, value: string | readonly string[]): InvalidPart | undefined => {
  const values = typeof value === 'string' ? [value] : value;
  const invalidName = check(RequestPart.HeaderName, name, name);
  if (invalidName !== undefined) return invalidName;
  const invalidValue = values.find((text) => check(RequestPart.HeaderValue, text) !== undefined);
  return invalidValue === undefined
    ? undefined
    : check(RequestPart.HeaderValue, invalidValue, name);
};

/** Returns the first part of a request that HTTP cannot carry; undefined if the request can be sent. */
export const findInvalidPart = ({
  id,
  target,
  headers,
}: CheckedRequest): InvalidPart | undefined => {
  const invalid = check(RequestPart.Id, id) ?? check(RequestPart.Target, target);
  if (invalid !== undefined) return invalid;
  for (const [name, value] of Object.entries(headers)) {
    const invalidHeader = checkHeader(name, value);
    if (invalidHeader !== undefined) return invalidHeader;
  }
  return undefined;
};
