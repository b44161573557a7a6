/** Calls of clients. */
import { Buffer } from 'node:buffer';
import { Agent, request as httpRequest } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';

export const HOST = 'ficu95.example';

/** Sends a request on a connection of its own, as clients do for calls about batch jobs. */
export function call(address, method, target, headers, body, timeoutMs = 5000) {
  return new Promise((resolve, reject) => {
    const [host, port] = address.split(':');
    const agent = new Agent({ keepAlive: false });
    const request = httpRequest({
      host,
      port,
      method,
      path: target,
      headers: { Host: HOST, ...headers },
      agent,
    });
    const timeout = setTimeout(() => request.destroy(new Error('no answer in time')), timeoutMs);
    request.on('error', (error) => {
      clearTimeout(timeout);
      reject(error);
    });
    request.on('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', reject);
      response.on('close', () => {
        clearTimeout(timeout);
        const text = Buffer.concat(chunks).toString('utf8');
        resolve({
          status: response.statusCode,
          headers: response.headers,
          text,
          isComplete: response.complete,
        });
      });
    });
    request.end(body);
  });
}
