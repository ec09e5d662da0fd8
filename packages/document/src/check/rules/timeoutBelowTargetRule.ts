import type {FleetDocument} from '../../documentSchema.ts';
import type {CheckRule} from '../checkRule.ts';
import {warning} from '../finding.ts';

/** Reports routes whose requests time out before the target latency has passed. */
export class TimeoutBelowTargetRule implements CheckRule<FleetDocument> {
  *check({routes}: FleetDocument) {
    for (const [index, {id, timeoutMs, targetLatencyMs = 0}] of routes.entries()) {
      if (timeoutMs < targetLatencyMs) {
        yield warning({
          kind: 'timeout-below-target',
          path: `routes.${index}.timeoutMs`,
          message: `timeout of ${timeoutMs} ms of route "${id}" is below its target latency of ${targetLatencyMs} ms`,
          correction: 'raise timeoutMs or lower targetLatencyMs',
        });
      }
    }
  }
}
