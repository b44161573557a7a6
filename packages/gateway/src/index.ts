/** Forwards callers' online requests to workers according to the configured routes. */
export type { CallerExchange, InboundRequest } from './caller-exchange.js';
export { Gateway, type GatewayOptions, type BatchRequests } from './gateway.js';
export { identifyTeam, type CallerIdentity } from './identify-team.js';
export { sendError, toErrorResponse, type ErrorResponse } from './error-response.js';
