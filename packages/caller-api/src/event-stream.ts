/** Server-sent events as a response body. */

export interface EventStream {
  response: Response;
  /** Aborted when the caller goes away. */
  signal: AbortSignal;
  send(data: string, event?: string): void;
  close(): void;
  /** Breaks the response off, so that it can't be taken for complete. */
  fail(thrown: unknown): void;
}

/** Opens a stream; events sent after the caller has gone are dropped. */
export const openEventStream = (callerSignal: AbortSignal): EventStream => {
  const abort = new AbortController();
  const encoder = new TextEncoder();
  let controller!: ReadableStreamDefaultController<Uint8Array>;
  let isOpen = true;
  const leave = (): void => {
    isOpen = false;
    abort.abort();
  };
  const body = new ReadableStream<Uint8Array>({
    start: (opened) => {
      controller = opened;
    },
    cancel: leave,
  });
  if (callerSignal.aborted) leave();
  else callerSignal.addEventListener('abort', leave, { once: true });
  const end = (run: () => void): void => {
    callerSignal.removeEventListener('abort', leave);
    if (isOpen) run();
    isOpen = false;
  };
  return {
    response: new Response(body, {
      headers: { 'content-type': 'text/event-stream; charset=utf-8', 'cache-control': 'no-cache' },
    }),
    signal: abort.signal,
    send: (data, event) => {
      const name = event === undefined ? '' : `event: ${event}\n`;
      if (isOpen) controller.enqueue(encoder.encode(`${name}data: ${data}\n\n`));
    },
    close: () => end(() => controller.close()),
    fail: (thrown) => end(() => controller.error(thrown)),
  };
};
