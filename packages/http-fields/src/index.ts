/** Rules for the paths and headers of HTTP requests that are forwarded. */
export { CONNECTION_HEADERS, selectEndToEndHeaders } from './connection-headers.js';
export {
  findInvalidPart,
  RequestPart,
  type CheckedRequest,
  type InvalidPart,
} from './request-parts.js';
