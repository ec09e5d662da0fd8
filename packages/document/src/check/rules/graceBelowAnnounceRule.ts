import type {HostSettings} from '../../settingsSchema.ts';
import type {CheckRule} from '../checkRule.ts';
import {warning} from '../finding.ts';

/** Reports a grace time that ends before the announcement of the shutdown, which is a part of it. */
export class GraceBelowAnnounceRule implements CheckRule<HostSettings> {
  *check({shutdown: {graceMs, announceMs}}: HostSettings) {
    if (graceMs >= announceMs) {
      return;
    }
    yield warning({
      kind: 'grace-below-announce',
      path: 'shutdown.graceMs',
      message: `grace time of ${graceMs} ms is below the announce time of ${announceMs} ms, which is a part of it`,
      correction: 'raise graceMs or lower announceMs',
    });
  }
}
