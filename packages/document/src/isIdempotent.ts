import type {Route} from './documentSchema.ts';

/** Methods that RFC 9110, section 9.2.2, defines as idempotent. */
const idempotentMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE']);

/**
 * Returns true if a request on a route may run more than once without harm: as the route states, or else by
 * its method as in RFC 9110, section 9.2.2.
 */
export function isIdempotent(route: Route, method: string): boolean {
  if (route.idempotent === 'by-method') {
    return idempotentMethods.has(method);
  }
  return route.idempotent === 'yes';
}
