/** Field types of the record schemas; each error message states the allowed values. */
import * as z from 'zod';

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;

const NAME_ERROR =
  'a name of 1 to 63 lower-case letters, digits, ".", "_" or "-" that starts with a letter or digit';

/** Allows only characters that are safe in keys and paths, of which record names become a part. */
export const nameField = (): z.ZodString =>
  z.string({ error: NAME_ERROR }).regex(NAME_PATTERN, { error: NAME_ERROR });

export const integerField = (min: number, max: number): z.ZodInt => {
  const error = `an integer from ${min} to ${max}`;
  return z.int({ error }).min(min, { error }).max(max, { error });
};

export const numberField = (min: number, max: number): z.ZodNumber => {
  const error = `a number from ${min} to ${max}`;
  return z.number({ error }).min(min, { error }).max(max, { error });
};

export const textField = (maxLength: number): z.ZodString => {
  const error = `a text of 1 to ${maxLength} characters`;
  return z.string({ error }).min(1, { error }).max(maxLength, { error });
};

export const booleanField = (): z.ZodBoolean => z.boolean({ error: 'true or false' });

export const choiceField = <T extends Record<string, string>>(choices: T) =>
  z.enum(choices, { error: `one of ${Object.values(choices).join(', ')}` });

export const listField = <T extends z.ZodType>(
  element: T,
  elementName: string,
  maxLength: number,
) => {
  const error = `a list of at most ${maxLength} ${elementName}`;
  return z.array(element, { error }).max(maxLength, { error });
};

export const patternField = (pattern: RegExp, error: string): z.ZodString =>
  z.string({ error }).regex(pattern, { error });
