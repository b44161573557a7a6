/**
 * Process of a stand-in worker. It runs requests in its slots, reads their prompts, and sends one event each
 * step. Its settings are the first argument, as JSON. It reports what it does to its parent process.
 */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';

const settings = JSON.parse(process.argv[2]);
const { id, host, slots, queue, prefillMs, stepMs, events, isFramed } = settings;

/** Requests with this prefix of the path have fewer events. */
const { shortPath, shortEvents } = settings;

/** Requests with more tokens are refused, as if the worker were full. */
const { memoryTokens = Infinity } = settings;

const report = (message) => process.send?.(message);

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

/** Returns the tokens of the prompt and the maximum output together. */
const countTokens = (headers) =>
  (headers['jujubelanding-token-usage'] ?? '0').split(',').reduce((sum, n) => sum + Number(n), 0);

/** Data of an event; the same whichever worker sends it. */
const dataOf = (request, number) => `${request}-${number}`;

const stream = async (response, request, after, count) => {
  // The head is sent at once; the first event follows when the prompt has been read.
  response.flushHeaders();
  report({ type: 'head', request, after });
  await sleep(prefillMs);
  for (let number = after + 1; number <= count && !response.destroyed; number += 1) {
    response.write(`id: ${number}\ndata: ${dataOf(request, number)}\n\n`);
    report({ type: 'event', request, number });
    if (number < count) await sleep(stepMs);
  }
  const isWhole = !response.destroyed;
  response.end();
  report({ type: 'end', request, isWhole });
};

const answer = async (message, response) => {
  const chunks = [];
  for await (const chunk of message) chunks.push(chunk);
  const { headers } = message;
  const request = headers['jujubelanding-attempt-id'];
  const after = Number(headers['last-event-id'] ?? 0);
  report({ type: 'arrival', request, after, bytes: Buffer.concat(chunks).length });
  const refusal = { 'jujubelanding-attempt-id': request, 'jujubelanding-not-executed': '1' };
  const load = `${running},${waiting.length},${slots}`;
  if (headers['jujubelanding-expect-instance'] !== id) {
    response.writeHead(421, refusal).end();
    return;
  }
  const isTooLarge = countTokens(headers) > memoryTokens;
  if (isTooLarge || (running >= slots && waiting.length >= queue)) {
    report({ type: 'refusal', request });
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
    const isShort = shortPath !== undefined && message.url.startsWith(shortPath);
    const count = isShort ? shortEvents : events;
    await stream(response, request, after, count);
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
process.on('disconnect', () => process.exit(0));
