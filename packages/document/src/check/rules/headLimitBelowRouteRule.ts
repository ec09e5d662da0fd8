import type {FleetDocument} from '../../documentSchema.ts';
import type {CheckRule} from '../checkRule.ts';
import {warning} from '../finding.ts';

/** Reports routes whose host and path prefix alone do not fit into the largest head that callers may send. */
export class HeadLimitBelowRouteRule implements CheckRule<FleetDocument> {
  *check({callerLimits, routes}: FleetDocument) {
    const limit = callerLimits?.maxHeadBytes ?? Number.POSITIVE_INFINITY;
    for (const [index, {id, host, pathPrefix}] of routes.entries()) {
      const leastBytes = host.length + pathPrefix.length;
      if (leastBytes > limit) {
        yield warning({
          kind: 'head-limit-below-route',
          path: `routes.${index}.pathPrefix`,
          message: `route "${id}" needs heads of more than ${leastBytes} bytes, but callerLimits.maxHeadBytes is ${limit}`,
          correction: 'raise callerLimits.maxHeadBytes or shorten the prefix',
        });
      }
    }
  }
}
