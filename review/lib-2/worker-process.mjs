/** A worker as a process of its own, so that it can crash; told what to do by its first message. */
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { Worker } from './worker.mjs';

/** Writes the head at once, and the first event once the prompt has been read. */
const writeStream = ({ id, lastEventId, response, head, worker }, options) => {
  const { events, firstEventMs, gapMs, isFramed } = options;
  if (!isFramed) {
    // The answer has neither a length nor chunks, and ends with its connection.
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  response.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' });
  response.flushHeaders();
  process.send({ kind: 'run', item: id, lastEventId, worker: worker.id });
  let next = (lastEventId ?? 0) + 1;
  const send = () => {
    if (response.destroyed) return;
    if (next > events) {
      response.end();
      return;
    }
    if (next === (lastEventId ?? 0) + 1) {
      process.send({ kind: 'first-event', item: id, event: next, worker: worker.id });
    }
    response.write(`id: ${next}\ndata: ${next} of ${id}\n\n`);
    next += 1;
    setTimeout(send, gapMs);
  };
  setTimeout(send, firstEventMs);
};

process.once('message', async (options) => {
  const worker = new Worker(options.id, {
    ...options,
    answer: (arrival) => writeStream(arrival, options),
  });
  await worker.listen(options.port);
  process.send({ kind: 'listening', entry: worker.describe() });
});
process.on('disconnect', () => process.exit());
