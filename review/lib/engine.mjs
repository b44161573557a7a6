/** What the engine stand-ins answer. */

export const EVENT_MS = 25;

export const createEvent = (id, number) => `id: ${number}\ndata: ${id} part ${number}\n\n`;

/** Bytes of a whole stream. */
export const createStream = (id, events) =>
  Array.from({ length: events }, (_, index) => createEvent(id, index + 1)).join('');

/** Output of a batch item whose whole stream was read. */
export const createOutput = (id, events) =>
  Array.from({ length: events }, (_, index) => `${id} part ${index + 1}`).join('\n');
