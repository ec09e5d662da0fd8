import type {FleetDocument} from '../../documentSchema.ts';
import type {CheckRule} from '../checkRule.ts';
import {warning} from '../finding.ts';

/** Time whose requests at the full rate a burst should hold, in seconds. */
const minBurstSeconds = 0.1;

/** Reports customers whose burst is less than a tenth of a second of their rate. */
export class BurstBelowRateRule implements CheckRule<FleetDocument> {
  *check({customers}: FleetDocument) {
    for (const [index, {id, burstRequests, ratePerSecond}] of customers.entries()) {
      if (burstRequests < ratePerSecond * minBurstSeconds) {
        yield warning({
          kind: 'burst-below-rate',
          path: `customers.${index}.burstRequests`,
          message: `customer ${id}: burst ${burstRequests} is less than a tenth of a second of its rate`,
          correction: `raise burstRequests to at least ${Math.ceil(ratePerSecond * minBurstSeconds)}`,
          isUnsafe: true,
        });
      }
    }
  }
}
