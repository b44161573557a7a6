/** Computes the generated text as a pure function of the request. */
import { computeChecksum, hashText } from '@jujubelanding/random';
import { FinishReason, type Generation, type Message } from '@jujubelanding/types';

/** Answers end naturally after 64 to 511 tokens, or at maxTokens if that is lower. */
const MIN_NATURAL_LENGTH = 64;
const NATURAL_LENGTH_RANGE = 448;

const CHARACTERS_PER_TOKEN = 4;

type Prompt = Pick<Generation, 'messages' | 'adapter'>;

export interface Answer {
  tokens: string[];
  finishReason: FinishReason;
}

/** Digits of a prompt digest; few, because the digest is hashed for each token. */
const PROMPT_DIGEST_LENGTH = 16;

/** Computes a digest of the inputs that determine the generated text. */
export const computePromptDigest = ({ messages, adapter }: Prompt): string =>
  computeChecksum(
    JSON.stringify([messages.map((message) => [message.role, message.content]), adapter ?? null]),
  ).slice(0, PROMPT_DIGEST_LENGTH);

/** Returns the token at an index of the answer. */
export const computeToken = (promptDigest: string, index: number): string =>
  ` ${hashText(`${promptDigest}:${index}`).toString(36).slice(0, 4)}`;

/** Returns the length in tokens at which the answer ends naturally. */
export const computeNaturalLength = (promptDigest: string): number =>
  MIN_NATURAL_LENGTH + (hashText(`${promptDigest}:length`) % NATURAL_LENGTH_RANGE);

/** Returns the complete answer of an engine to a request. */
export const computeAnswer = (prompt: Prompt & Pick<Generation, 'maxTokens'>): Answer => {
  const digest = computePromptDigest(prompt);
  const naturalLength = computeNaturalLength(digest);
  const length = Math.min(naturalLength, prompt.maxTokens);
  return {
    tokens: Array.from({ length }, (_, index) => computeToken(digest, index)),
    finishReason: naturalLength <= prompt.maxTokens ? FinishReason.Stop : FinishReason.Length,
  };
};

/** Estimates the number of tokens of a prompt from its characters. */
export const estimatePromptTokens = (messages: readonly Message[]): number =>
  Math.ceil(
    messages.reduce((sum, { role, content }) => sum + role.length + content.length + 2, 0) /
      CHARACTERS_PER_TOKEN,
  );

/** Converts the characters of cached blocks to a number of tokens. */
export const convertCharactersToTokens = (characters: number): number =>
  Math.floor(characters / CHARACTERS_PER_TOKEN);
