import type {HostSettings} from '../../settingsSchema.ts';
import type {CheckRule} from '../checkRule.ts';
import {warning} from '../finding.ts';

/** Reports a head timeout above the idle timeout: a caller that sends a head slowly then holds a connection longer. */
export class HeadTimeoutAboveIdleRule implements CheckRule<HostSettings> {
  *check({callers: {headTimeoutMs, idleTimeoutMs}}: HostSettings) {
    if (headTimeoutMs <= idleTimeoutMs) {
      return;
    }
    yield warning({
      kind: 'head-timeout-above-idle',
      path: 'callers.headTimeoutMs',
      message: `head timeout of ${headTimeoutMs} ms is above the idle timeout of ${idleTimeoutMs} ms`,
      correction: 'lower headTimeoutMs or raise idleTimeoutMs',
    });
  }
}
