import type {FleetDocument} from '../../documentSchema.ts';
import type {CheckRule} from '../checkRule.ts';
import {warning} from '../finding.ts';

/** Reports parts of a split that get no requests because their weight is 0. */
export class ZeroWeightRule implements CheckRule<FleetDocument> {
  *check({routes}: FleetDocument) {
    for (const [index, {id, split = []}] of routes.entries()) {
      for (const [partIndex, {backend, weight}] of split.entries()) {
        if (weight === 0) {
          yield warning({
            kind: 'zero-weight',
            path: `routes.${index}.split.${partIndex}.weight`,
            message: `backend "${backend}" gets no requests of route "${id}": its weight is 0`,
            correction: 'raise the weight or remove the part',
          });
        }
      }
    }
  }
}
