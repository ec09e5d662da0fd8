import {Command, Option} from 'clipanion';
import type {HostStatus} from '../readStatus.ts';
import {readStatus} from '../readStatus.ts';

/** One row of the table: the state of one host, each field as the text of its column. */
interface StatusRow {
  readonly admin: string;
  readonly ready: string;
  readonly version: string;
  readonly share: string;
  readonly reachable: string;
  readonly platformAgeMs: string;
  readonly out: string;
}

/** Columns of the table in order; a name is both the field of a row and the heading. */
const columns = [
  'admin',
  'ready',
  'version',
  'share',
  'reachable',
  'platformAgeMs',
  'out',
] as const;

/** Counts the backend servers for which the host holds a health verdict, which restricts their traffic. */
function countRestrictedServers(status: HostStatus): number {
  return Object.values(status.serverVerdicts ?? {}).length;
}

/** Summarizes the status of one host; undefined stands for a host that did not respond. */
function statusRow(admin: string, status: HostStatus | undefined): StatusRow {
  if (status === undefined) {
    const notAvailable = '-';
    return {
      admin,
      ready: 'no response',
      version: notAvailable,
      share: notAvailable,
      reachable: notAvailable,
      platformAgeMs: notAvailable,
      out: notAvailable,
    };
  }
  const {requests, configuration, membership} = status;
  const reachable = membership?.reachable;
  return {
    admin,
    ready: requests?.isReady === true ? 'yes' : 'no',
    version: String(configuration?.version ?? 0),
    share: Number(membership?.ownShare ?? 0).toFixed(4),
    reachable: `${Array.isArray(reachable) ? reachable.length : 0}/${String(membership?.hosts ?? 0)}`,
    platformAgeMs: String(membership?.platformAgeMs ?? '-'),
    out: String(countRestrictedServers(status)),
  };
}

/** `status`: shows the state of the fleet, one row per host. */
export class StatusCommand extends Command {
  static override paths = [['status']];

  static override usage = Command.Usage({
    description: 'show the state of the fleet',
    details: `
      Queries the admin address of each host. "out" counts the backend servers that the host does not use
      in full because of a health verdict.

      Exit codes: 0 every host is ready and all run one document version, 1 otherwise.
    `,
    examples: [
      ['Show three hosts', 'godwitspring status 127.41.1.1:9900 127.41.2.1:9900 127.41.3.1:9900'],
    ],
  });

  adminAddresses = Option.Rest({required: 1, name: 'ADMIN'});
  json = Option.Boolean('--json', false, {
    description: 'print the full status of every host as one JSON object',
  });

  override async execute(): Promise<number> {
    const statuses = await Promise.all(this.adminAddresses.map((admin) => readStatus(admin)));
    const rows = this.adminAddresses.map((admin, index) => statusRow(admin, statuses[index]));
    if (this.json) {
      const statusByAdminAddress = Object.fromEntries(
        this.adminAddresses.map((admin, index) => [admin, statuses[index] ?? null]),
      );
      this.context.stdout.write(`${JSON.stringify(statusByAdminAddress)}\n`);
    } else {
      this.#printTable(rows);
    }
    const versions = new Set(rows.map(({version}) => version));
    return rows.every(({ready}) => ready === 'yes') && versions.size === 1 ? 0 : 1;
  }

  #printTable(rows: readonly StatusRow[]): void {
    const header = Object.fromEntries(
      columns.map((column) => [column, column]),
    ) as unknown as StatusRow;
    for (const row of [header, ...rows]) {
      const cells = columns.map((column) => row[column].padEnd(column === 'admin' ? 20 : 14));
      this.context.stdout.write(`${cells.join('').trimEnd()}\n`);
    }
  }
}
