/** Forwards online requests of routes to workers. */
export type { CallerExchange, InboundRequest } from './caller-exchange.js';
export { Gateway, type GatewayOptions, type BatchRequests } from './gateway.js';
export { sendError, toErrorResponse, type ErrorResponse } from './error-response.js';
