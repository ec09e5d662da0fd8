import {documentSchema} from '../../documentSchema.ts';
import type {FleetDocument} from '../../documentSchema.ts';
import type {CheckRule} from '../checkRule.ts';
import {warning} from '../finding.ts';

/** Body limit of a route that states none, in bytes. */
const defaultMaxBodyBytes = documentSchema.shape.routes.element.shape.maxBodyBytes.parse(undefined);

/**
 * Reports routes that accept larger bodies than `callerLimits`, which replaces the limits of all routes. A route
 * with the default limit is left out, because it does not ask for a size of its own.
 */
export class BodyLimitBelowRouteRule implements CheckRule<FleetDocument> {
  *check({callerLimits, routes}: FleetDocument) {
    const limit = callerLimits?.maxBodyBytes ?? Number.POSITIVE_INFINITY;
    for (const [index, {id, maxBodyBytes}] of routes.entries()) {
      if (maxBodyBytes > limit && maxBodyBytes !== defaultMaxBodyBytes) {
        yield warning({
          kind: 'body-limit-below-route',
          path: `routes.${index}.maxBodyBytes`,
          message: `route "${id}" accepts bodies of ${maxBodyBytes} bytes, but callerLimits.maxBodyBytes is ${limit}`,
          correction: 'raise callerLimits.maxBodyBytes or lower the limit of the route',
        });
      }
    }
  }
}
