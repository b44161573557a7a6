/** Splits a stream of bytes into whole events. */

const LINE_FEED = 0x0a;

/** Longest event; a longer one is no event of a worker. */
const MAX_EVENT_BYTES = 1024 * 1024;

const ID_LINE = /^id: ?(\d+)\r?$/m;

export interface FramedEvent {
  /** Absent where the event has no numeric id. */
  id: number | undefined;
  /** All bytes of the event, the empty line included. */
  bytes: Buffer;
}

export class EventFramer {
  private rest: Buffer = Buffer.alloc(0);

  /** True while part of an event has arrived. */
  get isInsideEvent(): boolean {
    return this.rest.length > 0;
  }

  /** Returns the events that the chunk completes; undefined when the bytes are no events. */
  push(chunk: Buffer): FramedEvent[] | undefined {
    const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const events: FramedEvent[] = [];
    let start = 0;
    for (let end = findEnd(bytes, start); end > 0; end = findEnd(bytes, start)) {
      const event = bytes.subarray(start, end);
      const id = ID_LINE.exec(event.toString('latin1'))?.[1];
      events.push({ id: id === undefined ? undefined : Number(id), bytes: event });
      start = end;
    }
    this.rest = bytes.subarray(start);
    return this.rest.length > MAX_EVENT_BYTES ? undefined : events;
  }
}

/** Returns the index after the empty line that ends an event, or -1. */
function findEnd(bytes: Buffer, start: number): number {
  let index = bytes.indexOf(LINE_FEED, start);
  while (index >= 0) {
    const next = bytes[index + 1];
    if (next === LINE_FEED) return index + 2;
    if (next === 0x0d && bytes[index + 2] === LINE_FEED) return index + 3;
    index = bytes.indexOf(LINE_FEED, index + 1);
  }
  return -1;
}
