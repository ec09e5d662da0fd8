import {Command, Option} from 'clipanion';
import {z} from 'zod';
import type {HostStatus} from '../readStatus.ts';
import {readStatus} from '../readStatus.ts';

const serverSchema = z.object({
  state: z.string(),
  reason: z.string(),
  score: z.number(),
  forMs: z.number(),
  backInMs: z.number().optional(),
  ejections: z.number(),
});
const backendSchema = z.object({
  share: z.number(),
  permits: z.number(),
  out: z.number(),
  servers: z.record(z.string(), serverSchema),
});
const demandSchema = z.object({
  home: z.string().optional(),
  tokens: z.number(),
  waiting: z.number(),
  dryForMs: z.number(),
});

function explainServer(admin: string, status: HostStatus, name: string): string[] {
  const lines: string[] = [];
  for (const [backendId, value] of Object.entries(status.serverHealth ?? {})) {
    const backend = backendSchema.safeParse(value);
    const server = backend.success ? backend.data.servers[name] : undefined;
    if (!backend.success || server === undefined) {
      continue;
    }
    const {state, reason, score, forMs, backInMs, ejections} = server;
    const {permits, out, share} = backend.data;
    const back = backInMs === undefined ? '' : `, may be tried again in ${backInMs} ms`;
    lines.push(
      `${admin} is the home of ${backendId}: ${name} is ${state} for ${forMs} ms (${reason || 'no reason'})` +
        `${back}; evidence ${score} of 16, ejected ${ejections} times; ${out} of ${permits} permits used` +
        ` with a share of ${share.toFixed(3)}`,
    );
  }
  const held = status.serverVerdicts?.[name];
  if (held !== undefined) {
    lines.push(`${admin} uses ${name} by verdict: ${JSON.stringify(held)}`);
  }
  return lines;
}

function explainCustomer(admin: string, status: HostStatus, name: string): string[] {
  const demand = demandSchema.safeParse(status.customerDemand?.[name]);
  if (!demand.success) {
    return [];
  }
  const {home = 'nobody', tokens, waiting, dryForMs} = demand.data;
  const dry = dryForMs > 0 ? `, its home has no token for another ${dryForMs} ms` : '';
  return [
    `${admin}: ${name} has ${tokens} tokens here, ${waiting} requests wait, home ${home}${dry}`,
  ];
}

/** Says why a server is out of use or a customer is refused. */
export class ExplainCommand extends Command {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    description: 'say why a server is out of use or a customer is refused',
    details: `
      Asks the admin ports for what they know of a server or customer: evidence, permits and hold of a
      server at its home, and the tokens and demand of a customer at each entry host.

      Exit codes: 0 something is known, 1 no host knows anything of it.
    `,
    examples: [
      [
        'Why is a server out',
        'godwitspring explain nucleo-tasas-3 127.41.1.1:9900 127.41.2.1:9900',
      ],
    ],
  });

  subject = Option.String({required: true, name: 'SERVER-OR-CUSTOMER'});
  admins = Option.Rest({required: 1, name: 'ADMIN'});

  override async execute(): Promise<number> {
    let isKnown = false;
    for (const admin of this.admins) {
      const status = await readStatus(admin);
      if (status === undefined) {
        this.context.stdout.write(`${admin}: no answer\n`);
        continue;
      }
      const lines = [
        ...explainServer(admin, status, this.subject),
        ...explainCustomer(admin, status, this.subject),
      ];
      isKnown ||= lines.length > 0;
      this.context.stdout.write(lines.map((line) => `${line}\n`).join(''));
    }
    if (!isKnown) {
      this.context.stdout.write(`no host asked has anything to tell of "${this.subject}"\n`);
    }
    return isKnown ? 0 : 1;
  }
}
