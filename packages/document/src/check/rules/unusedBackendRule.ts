import type {FleetDocument} from '../../documentSchema.ts';
import type {CheckRule} from '../checkRule.ts';
import {warning} from '../finding.ts';

/**
 * Reports backends that no route uses. A split replaces the `backend` of its route; a part of weight 0 counts as
 * a use here, since `ZeroWeightRule` reports it.
 */
export class UnusedBackendRule implements CheckRule<FleetDocument> {
  *check({backends, routes}: FleetDocument) {
    const used = new Set<string>();
    for (const {backend, split = []} of routes) {
      for (const id of split.length === 0 ? [backend] : split.map((part) => part.backend)) {
        used.add(id);
      }
    }
    for (const [index, {id}] of backends.entries()) {
      if (!used.has(id)) {
        yield warning({
          kind: 'unused-backend',
          path: `backends.${index}`,
          message: `no route uses backend "${id}"`,
          correction: 'add a route or remove the backend',
        });
      }
    }
  }
}
