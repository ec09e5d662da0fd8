import type {HostSettings} from '../../settingsSchema.ts';
import type {CheckRule} from '../checkRule.ts';
import {warning} from '../finding.ts';

/** Reports two listeners on one address, of which the second cannot open its port. */
export class SharedAddressRule implements CheckRule<HostSettings> {
  *check({listen}: HostSettings) {
    const nameByAddress = new Map<string, string>();
    for (const [name, address] of Object.entries(listen)) {
      const other = nameByAddress.get(address);
      if (other !== undefined) {
        yield warning({
          kind: 'shared-address',
          path: `listen.${name}`,
          message: `address ${address} is also that of listen.${other}; the host cannot start`,
          correction: 'choose another port',
        });
      }
      nameByAddress.set(address, name);
    }
  }
}
