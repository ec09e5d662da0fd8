import {Command, Option} from 'clipanion';
import {z} from 'zod';
import type {HostStatus} from '../readStatus.ts';
import {readStatus} from '../readStatus.ts';

/** State of one backend server in the section `serverHealth` of its home's status. */
const serverHealthSchema = z.object({
  state: z.string(),
  reason: z.string(),
  score: z.number(),
  forMs: z.number(),
  backInMs: z.number().optional(),
  ejections: z.number(),
});
/** State of one backend in the section `serverHealth` of its home's status. */
const backendHealthSchema = z.object({
  share: z.number(),
  permits: z.number(),
  out: z.number(),
  servers: z.record(z.string(), serverHealthSchema),
});
/** Tokens and demand of one customer at an entry host, in the section `customerDemand` of its status. */
const customerDemandSchema = z.object({
  home: z.string().optional(),
  tokens: z.number(),
  waiting: z.number(),
  dryForMs: z.number(),
});

/** Describes what one host reports about a backend server; empty where it reports nothing. */
function explainServer(admin: string, status: HostStatus, name: string): string[] {
  const lines: string[] = [];
  for (const [backendId, value] of Object.entries(status.serverHealth ?? {})) {
    const backend = backendHealthSchema.safeParse(value);
    const server = backend.success ? backend.data.servers[name] : undefined;
    if (!backend.success || server === undefined) {
      continue;
    }
    const {state, reason, score, forMs, backInMs, ejections} = server;
    const {permits, out, share} = backend.data;
    const nextTrial =
      backInMs === undefined ? '' : `, ejection ends in ${backInMs} ms at the earliest`;
    lines.push(
      `${admin} is the home of backend ${backendId}: ${name} has been ${state} for ${forMs} ms (${reason || 'no reason recorded'})` +
        `${nextTrial}; suspicion ${score} (threshold 16), ejected ${ejections} times; ${out} of ${permits} ejection permits in use` +
        ` with a fleet share of ${share.toFixed(3)}`,
    );
  }
  const verdict = status.serverVerdicts?.[name];
  if (verdict !== undefined) {
    lines.push(
      `${admin} restricts traffic to ${name} by health verdict: ${JSON.stringify(verdict)}`,
    );
  }
  return lines;
}

/** Describes the tokens and demand of a customer at one host; empty where it reports nothing. */
function explainCustomer(admin: string, status: HostStatus, name: string): string[] {
  const demand = customerDemandSchema.safeParse(status.customerDemand?.[name]);
  if (!demand.success) {
    return [];
  }
  const {home = 'nobody', tokens, waiting, dryForMs} = demand.data;
  const tokenWait = dryForMs > 0 ? `, which has no tokens for another ${dryForMs} ms` : '';
  return [
    `${admin}: customer ${name} has ${tokens} tokens on this host, ${waiting} requests waiting; home: ${home}${tokenWait}`,
  ];
}

/** `explain`: shows why a backend server gets no traffic or a customer is refused. */
export class ExplainCommand extends Command {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    description: 'show why a server gets no traffic or a customer is refused',
    details: `
      Queries the admin addresses about a server or customer: failure evidence, ejection permits and ejection
      time of a server at its home, and the tokens and demand of a customer at each entry host.

      Exit codes: 0 a host reported something, 1 no host reported anything about it.
    `,
    examples: [
      [
        'Why a server gets no traffic',
        'godwitspring explain nucleo-tasas-3 127.41.1.1:9900 127.41.2.1:9900',
      ],
    ],
  });

  subject = Option.String({required: true, name: 'SERVER-OR-CUSTOMER'});
  adminAddresses = Option.Rest({required: 1, name: 'ADMIN'});

  override async execute(): Promise<number> {
    let isFound = false;
    for (const admin of this.adminAddresses) {
      const status = await readStatus(admin);
      if (status === undefined) {
        this.context.stdout.write(`${admin}: no response\n`);
        continue;
      }
      const lines = [
        ...explainServer(admin, status, this.subject),
        ...explainCustomer(admin, status, this.subject),
      ];
      isFound ||= lines.length > 0;
      this.context.stdout.write(lines.map((line) => `${line}\n`).join(''));
    }
    if (!isFound) {
      this.context.stdout.write(`none of the hosts reports anything about "${this.subject}"\n`);
    }
    return isFound ? 0 : 1;
  }
}
