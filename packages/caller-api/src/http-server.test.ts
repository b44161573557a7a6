import test from 'ava';
import { request } from 'node:http';
import type { AddressInfo } from 'node:net';
import { serve } from '@hono/node-server';
import { FaultCode, Outcome } from '@jujubelanding/errors';
import { err } from 'neverthrow';
import { ApiUnderTest } from './fixtures/api.js';

const FAULT = { code: FaultCode.Cancelled, outcome: Outcome.OutcomeUnknown, step: '', message: '' };

for (const stream of [true, false]) {
  test(`a closed connection cancels the dispatch and frees its permits, stream ${stream}`, async (t) => {
    const api = new ApiUnderTest();
    const begun = new Promise<AbortSignal>((resolve) => {
      api.generate = (_request, send, signal) => {
        if (stream) send('one');
        resolve(signal);
        return new Promise((end) => {
          signal.addEventListener('abort', () => end(err(FAULT)));
        });
      };
    });
    const server = serve({ fetch: api.fetch, port: 0, hostname: '127.0.0.1' });
    await new Promise((resolve) => {
      server.once('listening', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const headers = { authorization: 'Bearer key-a', 'content-type': 'application/json' };
    const path = '/v1/chat/completions';
    const call = request({ host: '127.0.0.1', port, path, method: 'POST', headers });
    call.on('error', () => {});
    const messages = [{ role: 'user', content: 'hello' }];
    call.end(JSON.stringify({ model: 'base', stream, messages }));
    const signal = await begun;
    const aborted = new Promise((resolve) => {
      signal.addEventListener('abort', resolve);
    });
    call.destroy();
    await aborted;
    await api.timer.settle();
    t.is(api.held, 0);
    server.close();
  });
}
