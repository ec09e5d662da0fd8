import type {FleetDocument, Route} from '../../documentSchema.ts';
import type {CheckRule} from '../checkRule.ts';
import {warning} from '../finding.ts';
import type {Finding} from '../finding.ts';

/**
 * Reports routes that never match because earlier routes of the same host and prefix take all their methods.
 * Of the routes with an equal host and prefix the first that accepts the method is used; an empty list accepts all.
 */
export class ShadowedRouteRule implements CheckRule<FleetDocument> {
  *check({routes}: FleetDocument) {
    const earlierByPlace = new Map<string, Route[]>();
    for (const [index, route] of routes.entries()) {
      const place = `${route.host.toLowerCase()} ${route.pathPrefix}`;
      const earlier = earlierByPlace.get(place) ?? [];
      const finding = this.#checkRoute(route, `routes.${index}`, earlier);
      if (finding !== undefined) {
        yield finding;
      }
      earlier.push(route);
      earlierByPlace.set(place, earlier);
    }
  }

  #checkRoute(route: Route, path: string, earlier: readonly Route[]): Finding | undefined {
    const takesAll = earlier.find(({methods}) => methods.length === 0);
    if (takesAll !== undefined) {
      return warning({
        kind: 'shadowed-route',
        path: `${path}.pathPrefix`,
        message: `route "${route.id}" never matches: route "${takesAll.id}" has the same host and prefix and accepts every method`,
        correction: `remove one of them, or list the methods of "${takesAll.id}"`,
      });
    }
    const takenMethods = new Set(earlier.flatMap(({methods}) => methods));
    const isCovered =
      route.methods.length > 0 && route.methods.every((method) => takenMethods.has(method));
    if (!isCovered) {
      return undefined;
    }
    const ids = earlier
      .filter(({methods}) => methods.some((method) => route.methods.includes(method)))
      .map(({id}) => `"${id}"`);
    return warning({
      kind: 'covered-methods',
      path: `${path}.methods`,
      message: `route "${route.id}" never matches: earlier routes of the same host and prefix (${ids.join(', ')}) accept all its methods`,
      correction: 'remove the route, or take its methods from the earlier ones',
    });
  }
}
