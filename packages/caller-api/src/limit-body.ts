/** Middleware that receives the bodies of online requests within the limits of the team and the process. */
import { FaultCode, type Fault } from '@jujubelanding/errors';
import { LINGER_MS } from '@jujubelanding/memory-budget';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import type { ServerResponse } from 'node:http';
import { readLimitedBody } from './request-body.js';
import {
  createRefusal,
  REQUEST_ID_HEADER,
  respondFault,
  type CallerApiOptions,
  type Middleware,
  type RequestContext,
} from './request-context.js';

/**
 * Sends a fault to a request whose body is not read any further. The connection stays open for a while,
 * because a connection that closes with bytes unread loses the response.
 */
export const respondUnread = async (
  { io }: CallerApiOptions,
  context: RequestContext,
  outgoing: ServerResponse,
  fault: Fault,
): Promise<Response> => {
  const response = respondFault(context, fault);
  const { status } = response;
  const body = await response.text();
  if (!outgoing.destroyed) {
    outgoing.writeHead(status, {
      ...Object.fromEntries(response.headers),
      [REQUEST_ID_HEADER]: context.get('requestId'),
      connection: 'close',
      'content-length': Buffer.byteLength(body),
    });
    outgoing.write(body);
    io.timer.after(LINGER_MS, () => outgoing.destroy());
  }
  // The status is for the metrics. A clone, because the server sends responses of its own class without a
  // look at the mark that they were sent.
  return new Response(null, { status, headers: RESPONSE_ALREADY_SENT.headers }).clone();
};

/** Requests that are passed to the application directly come without a Node message. */
const limitDirectBody: Middleware = async (context, next) => {
  const body = await readLimitedBody(context.req.raw, context.get('team').spec.maxBodyBytes);
  if (body.isErr()) return respondFault(context, body.error);
  context.set('body', body.value);
  return next();
};

export const createLimitBody =
  (options: CallerApiOptions): Middleware =>
  async (context, next) => {
    const { bodies, incoming, outgoing } = context.env ?? {};
    if (bodies === undefined || incoming === undefined || outgoing === undefined) {
      return limitDirectBody(context, next);
    }
    const received = await bodies.read(incoming, context.get('team').spec.maxBodyBytes);
    if (received === undefined) {
      const message = 'the body could not be read: the caller disconnected';
      return respondFault(context, createRefusal(FaultCode.InvalidInput, 'body', message));
    }
    if (received.isErr()) return respondUnread(options, context, outgoing, received.error);
    const { body, reservation } = received.value;
    context.get('releases').push(() => reservation.release());
    context.set('body', body);
    return next();
  };
