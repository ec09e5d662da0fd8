import type {Route} from './documentSchema.ts';

const idempotentMethods = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE']);

/** Tells whether a request on a route may run twice without harm; by method as RFC 9110, section 9.2.2. */
export function isIdempotent(route: Route, method: string): boolean {
  if (route.idempotent === 'by-method') {
    return idempotentMethods.has(method);
  }
  return route.idempotent === 'yes';
}
