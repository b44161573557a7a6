/**
 * Process of a stand-in worker that speaks HTTP on plain connections, so that it can send an answer twice.
 * Its settings are the first argument, as JSON. With `failEvery` it answers one run in so many with status
 * 500. With `copies` it sends each such answer a second time, late: when the next request on its connection
 * has come, in front of the answer to that one.
 */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:net';
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';

const { id, host, events, stepMs, failEvery, copies } = JSON.parse(process.argv[2]);

const report = (message) => process.send?.(message);

let runs = 0;

/** True for the middle run of each `failEvery`; a continued item counts as a run as well. */
const isFailureDue = () => {
  runs += 1;
  return failEvery !== undefined && runs % failEvery === Math.floor(failEvery / 2);
};

const formatHead = (status, fields) =>
  `HTTP/1.1 ${status}\r\n${fields.map((field) => `${field}\r\n`).join('')}\r\n`;

const formatFailure = (request) =>
  formatHead('500 Internal Server Error', [
    `Jujubelanding-Attempt-Id: ${request}`,
    `Jujubelanding-Response-Signature: signed.${id}.${request}`,
    'Content-Length: 6',
  ]).concat('failed');

const formatChunk = (text) => `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;

const stream = async (socket, request, after) => {
  socket.write(
    formatHead('200 OK', [
      `Jujubelanding-Attempt-Id: ${request}`,
      `Jujubelanding-Response-Signature: signed.${id}.${request}`,
      'Content-Type: text/event-stream',
      'Transfer-Encoding: chunked',
    ]),
  );
  for (let number = after + 1; number <= events && !socket.destroyed; number += 1) {
    socket.write(formatChunk(`id: ${number}\ndata: ${request}-${number}\n\n`));
    await sleep(stepMs);
  }
  socket.write('0\r\n\r\n');
};

const answer = async (socket, state, { request, after }) => {
  report({ type: 'begin', request, after });
  if (state.copy !== undefined) {
    report({ type: 'copy', request, of: state.copyOf });
    socket.write(state.copy);
    state.copy = undefined;
  }
  if (isFailureDue()) {
    report({ type: 'failure', request });
    const failure = formatFailure(request);
    if (copies) Object.assign(state, { copy: failure, copyOf: request });
    socket.write(failure);
    return;
  }
  await stream(socket, request, after);
  report({ type: 'end', request, isWhole: !socket.destroyed });
};

/** Returns the first whole request of the text and the rest; undefined if it is not complete. */
const parse = (text) => {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) return undefined;
  const [, ...fields] = text.slice(0, end).split('\r\n');
  const headers = new Map(
    fields.map((field) => {
      const colon = field.indexOf(':');
      return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()];
    }),
  );
  const bodyEnd = end + 4 + Number(headers.get('content-length') ?? 0);
  if (text.length < bodyEnd) return undefined;
  const request = headers.get('jujubelanding-attempt-id');
  const after = Number(headers.get('last-event-id') ?? 0);
  return { request, after, rest: text.slice(bodyEnd) };
};

const server = createServer((socket) => {
  const state = { copy: undefined, copyOf: undefined };
  let received = '';
  socket.setEncoding('latin1');
  socket.on('error', () => {});
  socket.on('data', (text) => {
    received += text;
    const parsed = parse(received);
    if (parsed === undefined) return;
    received = parsed.rest;
    void answer(socket, state, parsed);
  });
});
server.listen(0, host, () => {
  report({ type: 'ready', address: `${host}:${server.address().port}` });
});
process.on('disconnect', () => process.exit(0));
