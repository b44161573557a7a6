import { RouteKind, type Route } from './route.js';

/** True if a request may be sent to a worker again although it may have run. */
export const mayRepeat = ({ kind, isResumable }: Pick<Route, 'kind' | 'isResumable'>): boolean =>
  kind === RouteKind.Idempotent || (kind === RouteKind.Streaming && isResumable);
