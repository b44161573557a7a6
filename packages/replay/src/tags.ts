/** Tags in prompts and bodies by which the observer knows requests again at the backend servers. */

/** Contained in the prompt of an item that the engines can never complete. */
const FAILURE_MARKER = '[[always-fails]]';

const REQUEST_TAG = /\[request=([^\s\]]+)(?: key=([^\s\]]+))?\]/;
const ITEM_TAG = /\[job=([^\s\]]+) item=(\d+)\]/;

export interface RequestTag {
  /** Event id; within a burst followed by a slash and the position. */
  request: string;
  key?: string;
}

/** Appends the tag of an online request. */
export const tagRequest = (text: string, { request, key }: RequestTag): string =>
  `${text} [request=${request}${key === undefined ? '' : ` key=${key}`}]`;

/** Returns the prompt of a batch item. */
export const createItemPrompt = (
  job: { id: string; prompt: string; failing: readonly number[] },
  item: number,
): string => {
  const marker = job.failing.includes(item) ? FAILURE_MARKER : '';
  return `${job.prompt} [job=${job.id} item=${item}]${marker}`;
};

export const readRequestTag = (text: string): RequestTag | undefined => {
  const match = REQUEST_TAG.exec(text);
  if (match === null) return undefined;
  const [, request, key] = match;
  return { request: request!, ...(key === undefined ? {} : { key }) };
};

/** Returns the id of the job to which a prompt belongs. */
export const readJobTag = (text: string): string | undefined => ITEM_TAG.exec(text)?.[1];
