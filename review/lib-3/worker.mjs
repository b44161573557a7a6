/**
 * Process of a stand-in worker. It runs requests in its slots, reads their prompts, and sends one event each
 * step. Its settings are the first argument, as JSON. It reports what it does to its parent process.
 */
import { setImmediate } from 'node:timers';
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';

const settings = JSON.parse(process.argv[2]);
const { id, host, slots, queue, prefillMs, stepMs, events, isFramed, crashPart, crashAt } =
  settings;

/** Requests with this prefix of the path take longer. */
const { longPath, longStepMs } = settings;

const report = (message) => process.send?.(message);

/** Reports before the process kills itself, as a crash would otherwise lose the report. */
const crash = (request) => {
  process.send({ type: 'crash', request }, () => process.kill(process.pid, 'SIGKILL'));
};

/** Streams of which at least one event has been sent, with the number of their last event. */
const streams = new Map();

let running = 0;
const waiting = [];

const takeSlot = () => {
  if (running < slots) {
    running += 1;
    return undefined;
  }
  return new Promise((resolve) => {
    waiting.push(resolve);
  });
};

const freeSlot = () => {
  const next = waiting.shift();
  if (next === undefined) running -= 1;
  else next();
};

const readParts = (headers) =>
  (headers['jujubelanding-prompt-prefix'] ?? '').split(',').map((part) => part.split(':')[0]);

/** Data of an event; the same whichever worker sends it. */
const dataOf = (request, number) => `${request}-${number}`;

const stream = async (response, request, after, mayCrash, intervalMs) => {
  // The head is sent at once; the first event follows when the prompt has been read.
  response.flushHeaders();
  report({ type: 'head', request, after });
  await sleep(prefillMs);
  if (mayCrash && crashAt === 'head') {
    crash(request);
    return;
  }
  for (let number = after + 1; number <= events && !response.destroyed; number += 1) {
    response.write(`id: ${number}\ndata: ${dataOf(request, number)}\n\n`);
    streams.set(response, number);
    report({ type: 'event', request, number });
    if (mayCrash) {
      await sleep(intervalMs);
      crash(request);
      return;
    }
    if (number < events) await sleep(intervalMs);
  }
  streams.delete(response);
  const isWhole = !response.destroyed;
  response.end();
  report({ type: 'end', request, isWhole });
};

const answer = async (message, response) => {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  const { headers } = message;
  const request = headers['jujubelanding-attempt-id'];
  const parts = readParts(headers);
  const after = Number(headers['last-event-id'] ?? 0);
  report({ type: 'arrival', request, parts, after, bytes: Buffer.concat(chunks).length });
  const refusal = { 'jujubelanding-attempt-id': request, 'jujubelanding-not-executed': '1' };
  const load = `${running},${waiting.length},${slots}`;
  if (headers['jujubelanding-expect-instance'] !== id) {
    response.writeHead(421, refusal).end();
    return;
  }
  if (running >= slots && waiting.length >= queue) {
    response.writeHead(503, { ...refusal, 'jujubelanding-instance-load': load }).end();
    return;
  }
  const slot = takeSlot();
  if (slot !== undefined) await slot;
  if (!response.destroyed) {
    report({ type: 'begin', request, after });
    response.useChunkedEncodingByDefault = isFramed;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'jujubelanding-attempt-id': request,
      'jujubelanding-response-signature': `signed.${id}.${request}`,
      'jujubelanding-instance-load': load,
      ...(isFramed ? {} : { connection: 'close' }),
    });
    const mayCrash = crashPart !== undefined && parts.slice(0, -1).includes(crashPart);
    const isLong = longPath !== undefined && message.url.startsWith(longPath);
    await stream(response, request, after, mayCrash, isLong ? longStepMs : stepMs);
  }
  freeSlot();
};

const server = createServer((message, response) => {
  response.on('error', () => {});
  void answer(message, response).catch(() => response.destroy());
});
server.keepAliveTimeout = 30_000;
server.listen(0, host, () => {
  report({ type: 'ready', address: `${host}:${server.address().port}` });
});
/** Ends the process inside an event of each stream that has sent any; others have sent their head only. */
process.on('message', ({ type }) => {
  if (type !== 'crash') return;
  streams.forEach((number, response) => response.write(`id: ${number + 1}\nda`));
  setImmediate(() => crash(undefined));
});
process.on('disconnect', () => process.exit(0));
