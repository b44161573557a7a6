/** Routes by host and path prefix. */
export * from './route.js';
export { RouteTable } from './route-table.js';
