/** Reads input files; `-` is standard input. */
import { createReadStream } from 'node:fs';
import { readFile } from 'node:fs/promises';
import { Readable } from 'node:stream';
import { buffer } from 'node:stream/consumers';
import { getErrorMessage } from '@jujubelanding/errors';
import { err, ok, type Result } from 'neverthrow';
import type { Arguments } from '../command-line/command.js';

const STANDARD_INPUT_PATH = '-';

/** Opens the input at its start; may be called several times. */
export type OpenInput = () => Readable;

/** Reads a complete file or standard input as text. */
export const readInputText = async (
  path: string,
  { standardInput }: Arguments,
): Promise<Result<string, string>> => {
  try {
    const content =
      path === STANDARD_INPUT_PATH ? await buffer(standardInput) : await readFile(path);
    return ok(content.toString('utf8'));
  } catch (thrown) {
    return err(`${path}: ${getErrorMessage(thrown)}`);
  }
};

/** Creates a function that opens a file repeatedly; standard input is buffered in memory. */
export const createInputOpener = async (path: string, args: Arguments): Promise<OpenInput> => {
  if (path !== STANDARD_INPUT_PATH) return () => createReadStream(path);
  const content = await buffer(args.standardInput);
  return () => Readable.from([content]);
};

/** Splits a stream into lines; the last line may lack its line break. */
export async function* readLines(stream: Readable): AsyncGenerator<string> {
  const decoder = new TextDecoder();
  let remainder = '';
  for await (const chunk of stream) {
    const lines = (remainder + decoder.decode(chunk as Uint8Array, { stream: true })).split('\n');
    remainder = lines.pop()!;
    yield* lines;
  }
  remainder += decoder.decode();
  if (remainder !== '') yield remainder;
}

/** Parses JSON and returns the error instead of throwing it. */
export const parseJson = (text: string): Result<unknown, string> => {
  try {
    return ok(JSON.parse(text));
  } catch (thrown) {
    return err(getErrorMessage(thrown));
  }
};
