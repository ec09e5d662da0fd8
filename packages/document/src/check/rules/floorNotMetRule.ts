import type {FleetDocument} from '../../documentSchema.ts';
import type {CheckRule} from '../checkRule.ts';
import {warning} from '../finding.ts';
import {serverIdsInService} from '../serverIdsInService.ts';

/** Reports backends with fewer servers in service than their floor; `checkDocument` compares with all listed ones. */
export class FloorNotMetRule implements CheckRule<FleetDocument> {
  *check(document: FleetDocument) {
    for (const [index, backend] of document.backends.entries()) {
      const serverCount = serverIdsInService(document, backend).length;
      const floor = backend.floor.totalServers;
      if (serverCount < floor) {
        yield warning({
          kind: 'floor-not-met',
          path: `backends.${index}.floor.totalServers`,
          message: `${backend.id} would have ${serverCount} servers in service, below its floor of ${floor}`,
          correction: 'keep more servers in service or lower the floor',
          isUnsafe: true,
        });
      }
    }
  }
}
