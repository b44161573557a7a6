/** Stand-in of a client: one request at a time on a channel, which is kept or new. */
import { Buffer } from 'node:buffer';
import { Agent, request as sendRequest } from 'node:http';

/** Creates an agent whose channels are kept for many requests. */
export const keepChannels = (count) => new Agent({ keepAlive: true, maxSockets: count });

/**
 * Sends a request and resolves with what the client sees. `isComplete` is true if the answer ended as its
 * framing says.
 */
export const call = ({ address, method = 'POST', path, host, headers = {}, body, agent, waitMs }) =>
  new Promise((resolve) => {
    const [hostname, port] = address.split(':');
    const options = {
      hostname,
      port: Number(port),
      method,
      path,
      agent: agent ?? false,
      headers: { Host: host, ...headers, ...(body ? { 'Content-Length': body.length } : {}) },
    };
    const chunks = [];
    const seen = { status: undefined, headers: {}, isComplete: false };
    const finish = () => resolve({ ...seen, body: Buffer.concat(chunks).toString() });
    const request = sendRequest(options, (response) => {
      seen.status = response.statusCode;
      seen.headers = response.headers;
      response.on('data', (chunk) => chunks.push(chunk));
      response.once('end', () => {
        seen.isComplete = response.complete;
      });
      response.once('error', () => {});
      response.once('close', finish);
    });
    request.once('error', (error) => {
      seen.error = error.code ?? error.message;
      finish();
    });
    if (waitMs !== undefined) request.setTimeout(waitMs, () => request.destroy());
    request.end(body);
  });
