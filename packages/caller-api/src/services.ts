/** Route handlers for plain services, to which calls are passed through unchanged. */
import { FaultCode, type Fault } from '@jujubelanding/errors';
import { selectEndToEndHeaders } from '@jujubelanding/http-fields';
import type { OnlineServiceRequest } from '@jujubelanding/interfaces';
import { computeChecksum } from '@jujubelanding/random';
import { Idempotency, RecordKind, ServiceKind } from '@jujubelanding/types';
import { err, type Result } from 'neverthrow';
import {
  createRefusal,
  respondFault,
  type CallerApiOptions,
  type RequestContext,
  type Middleware,
} from './request-context.js';
import { readIdempotency } from './idempotency.js';

/** Headers for this API itself, such as credentials; not forwarded. */
const API_HEADERS = ['authorization', 'idempotency-key', 'idempotent'];

/** Statuses whose responses must not have a body. */
const BODILESS_STATUSES = new Set([204, 205, 304]);

const selectForwardedHeaders = (headers: Iterable<[string, string]>): Record<string, string> =>
  selectEndToEndHeaders(Object.fromEntries(headers), ...API_HEADERS);

const prepareCall = (
  options: CallerApiOptions,
  context: RequestContext,
): Result<OnlineServiceRequest, Fault> => {
  const service = context.req.param('service') ?? '';
  const record = options.configuration.get(RecordKind.Service, service);
  if (record?.spec.kind !== ServiceKind.PlainService) {
    const message = `plain service ${service} is not known`;
    return err(createRefusal(FaultCode.NotFound, 'service', message));
  }
  const url = new URL(context.req.url);
  const path = url.pathname.slice(`/services/${service}`.length) || '/';
  const isNonIdempotent = record.spec.nonIdempotentPaths.some((prefix) => path.startsWith(prefix));
  const recordIdempotency = isNonIdempotent ? Idempotency.NonIdempotent : Idempotency.Idempotent;
  return readIdempotency(context, recordIdempotency).map((idempotency) => ({
    service,
    request: {
      requestId: context.get('requestId'),
      method: context.req.method,
      path: `${path}${url.search}`,
      headers: selectForwardedHeaders(context.req.raw.headers.entries()),
      body: context.get('body'),
    },
    idempotency,
    team: context.get('team').name,
    deadline: options.io.timer.now() + record.spec.requestTimeoutMs,
  }));
};

export interface ServiceHandlers {
  parse: Middleware;
  answer: (context: RequestContext) => Promise<Response>;
}

export const createServiceHandlers = (options: CallerApiOptions): ServiceHandlers => {
  const prepared = new WeakMap<RequestContext, OnlineServiceRequest>();
  return {
    parse: async (context, next) => {
      const call = prepareCall(options, context);
      if (call.isErr()) return respondFault(context, call.error);
      prepared.set(context, call.value);
      const { service, idempotency, deadline, request } = call.value;
      const computeDigest = (): string => {
        const bodyDigest = computeChecksum(request.body);
        return computeChecksum(`${service} ${request.method} ${request.path} ${bodyDigest}`);
      };
      context.set('target', { service, isStream: false, deadline, idempotency, computeDigest });
      return next();
    },
    answer: async (context) => {
      const call = prepared.get(context)!;
      const result = await options.dispatcher.call(call, context.req.raw.signal);
      if (result.isErr()) return respondFault(context, result.error);
      const { status, headers, body } = result.value;
      // A view: a copy would take the memory of a large response twice.
      const view = Buffer.from(body.buffer, body.byteOffset, body.byteLength);
      return new Response(BODILESS_STATUSES.has(status) ? null : view, {
        status,
        headers: selectForwardedHeaders(Object.entries(headers)),
      });
    },
  };
};
