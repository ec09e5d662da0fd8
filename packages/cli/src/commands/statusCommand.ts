import {Command, Option} from 'clipanion';
import type {HostStatus} from '../readStatus.ts';
import {readStatus} from '../readStatus.ts';

/** One line of the table: what operators ask first of a host. */
interface StatusLine {
  readonly admin: string;
  readonly ready: string;
  readonly version: string;
  readonly share: string;
  readonly reachable: string;
  readonly platformAgeMs: string;
  readonly out: string;
}

const columns = [
  'admin',
  'ready',
  'version',
  'share',
  'reachable',
  'platformAgeMs',
  'out',
] as const;

function countOut(status: HostStatus): number {
  return Object.values(status.serverVerdicts ?? {}).length;
}

function lineOf(admin: string, status: HostStatus | undefined): StatusLine {
  if (status === undefined) {
    const none = '-';
    return {
      admin,
      ready: 'no answer',
      version: none,
      share: none,
      reachable: none,
      platformAgeMs: none,
      out: none,
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
    out: String(countOut(status)),
  };
}

/** Shows the state of the fleet, a line for each host. */
export class StatusCommand extends Command {
  static override paths = [['status']];

  static override usage = Command.Usage({
    description: 'show the state of the fleet',
    details: `
      Asks the admin port of each host. "out" counts servers that the host does not use in full.

      Exit codes: 0 every host is ready and on one version, 1 otherwise.
    `,
    examples: [
      ['Ask three hosts', 'godwitspring status 127.41.1.1:9900 127.41.2.1:9900 127.41.3.1:9900'],
    ],
  });

  admins = Option.Rest({required: 1, name: 'ADMIN'});
  json = Option.Boolean('--json', false, {
    description: 'print all that the hosts tell, as one JSON object',
  });

  override async execute(): Promise<number> {
    const statuses = await Promise.all(this.admins.map((admin) => readStatus(admin)));
    const lines = this.admins.map((admin, index) => lineOf(admin, statuses[index]));
    if (this.json) {
      const byAdmin = Object.fromEntries(
        this.admins.map((admin, index) => [admin, statuses[index] ?? null]),
      );
      this.context.stdout.write(`${JSON.stringify(byAdmin)}\n`);
    } else {
      this.#printTable(lines);
    }
    const versions = new Set(lines.map(({version}) => version));
    return lines.every(({ready}) => ready === 'yes') && versions.size === 1 ? 0 : 1;
  }

  #printTable(lines: readonly StatusLine[]): void {
    const header = Object.fromEntries(
      columns.map((column) => [column, column]),
    ) as unknown as StatusLine;
    for (const line of [header, ...lines]) {
      const cells = columns.map((column) => line[column].padEnd(column === 'admin' ? 20 : 14));
      this.context.stdout.write(`${cells.join('').trimEnd()}\n`);
    }
  }
}
