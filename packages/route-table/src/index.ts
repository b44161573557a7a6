/** Types of the routing configuration, and a table that finds routes by host and path prefix. */
export * from './route.js';
export { mayRepeat } from './may-repeat.js';
export { RouteTable } from './route-table.js';
