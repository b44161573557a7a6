/** Splits a byte stream into complete server-sent events. */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Maximum event size; longer data is not considered an event. */
const MAX_EVENT_BYTES = 256 * 1024;

/** Bytes of the longest sequence that ends an event. */
const END_LENGTH = 3;

const ID_LINE = /^id: ?(\d+)\r?$/m;

export interface FramedEvent {
  /** Undefined if the event has no numeric id. */
  id: number | undefined;
  /** All bytes of the event, including the empty line that ends it. */
  bytes: Buffer;
}

/** Returns the index after the empty line that ends an event, or -1 if there is none. */
const findEnd = (bytes: Buffer, start: number): number => {
  let index = bytes.indexOf(LINE_FEED, start);
  while (index >= 0) {
    if (bytes[index + 1] === LINE_FEED) return index + 2;
    if (bytes[index + 1] === CARRIAGE_RETURN && bytes[index + 2] === LINE_FEED) return index + 3;
    index = bytes.indexOf(LINE_FEED, index + 1);
  }
  return -1;
};

export class EventFramer {
  private remainder: Buffer = Buffer.alloc(0);

  /** True if an incomplete event is buffered. */
  get hasPartialEvent(): boolean {
    return this.remainder.length > 0;
  }

  /** Returns the events that the chunk completes, or undefined if an event is too long. */
  push(chunk: Buffer): FramedEvent[] | undefined {
    const bytes = this.remainder.length === 0 ? chunk : Buffer.concat([this.remainder, chunk]);
    const events: FramedEvent[] = [];
    let start = 0;
    // The end of an event may have begun in the last bytes of the remainder.
    const searchFrom = Math.max(0, this.remainder.length - END_LENGTH);
    for (let end = findEnd(bytes, searchFrom); end > 0; end = findEnd(bytes, start)) {
      const event = bytes.subarray(start, end);
      const id = ID_LINE.exec(event.toString('latin1'))?.[1];
      events.push({ id: id === undefined ? undefined : Number(id), bytes: event });
      start = end;
    }
    this.remainder = bytes.subarray(start);
    return this.remainder.length > MAX_EVENT_BYTES ? undefined : events;
  }
}
