import {createHash} from 'node:crypto';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Readable} from 'node:stream';
import {pipeline} from 'node:stream/promises';
import {setTimeout as wait} from 'node:timers/promises';
import {createAdaptorServer} from '@hono/node-server';
import type {HttpBindings} from '@hono/node-server';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import {Hono} from 'hono';
import {z} from 'zod';
import {patternBytes, patternDigest} from './patternBytes.ts';

/** What a stand-in server does with its work; can be changed while it runs. */
export const serverBehaviourSchema = z.object({
  /** Time spent on one request, in ms. */
  serviceMs: z.number().min(0).default(2),
  /** Every n-th request fails with 500 after it ran; 0 for none. */
  failEvery: z.number().int().min(0).default(0),
  /** Every n-th answer breaks off in its body; 0 for none. */
  breakEvery: z.number().int().min(0).default(0),
  /** What the health endpoint says, whatever is true. */
  saysHealthy: z.boolean().default(true),
  /** True to shed all work with "not run". */
  shedsAll: z.boolean().default(false),
});

export type ServerBehaviour = z.infer<typeof serverBehaviourSchema>;

export interface BackendServerOptions {
  readonly serverId: string;
  readonly listenHost: string;
  readonly listenPort: number;
  /** Requests worked on at once. Default: 2. */
  readonly slots: number;
  /** Requests that wait for a slot before the server sheds. Default: 8. */
  readonly maxWaiting: number;
  /** Connections taken. Default: 400. */
  readonly maxConnections: number;
  readonly behaviour: Partial<ServerBehaviour>;
}

export const DEFAULT_BACKEND_SERVER_OPTIONS = {
  slots: 2,
  maxWaiting: 8,
  maxConnections: 400,
  behaviour: {},
} as const;

type RequiredOptions = Pick<BackendServerOptions, 'serverId' | 'listenHost' | 'listenPort'>;

const runIdHeader = 'x-run-id';
const notRunHeader = 'x-not-run';

/** Stand-in for one backend server: takes bodies, gives receipts and media, and fails when told to. */
export class BackendServerStandin {
  readonly #options: BackendServerOptions;
  readonly #server: Server;
  readonly #runsById = new Map<string, number>();
  readonly #waiting: (() => void)[] = [];
  #behaviour: ServerBehaviour;
  #running = 0;
  #requests = 0;
  #keysSeen = 0;

  constructor(options: Partial<BackendServerOptions> & RequiredOptions) {
    this.#options = {...DEFAULT_BACKEND_SERVER_OPTIONS, ...options};
    this.#behaviour = serverBehaviourSchema.parse(this.#options.behaviour);
    this.#server = createAdaptorServer({
      fetch: this.#app().fetch,
      overrideGlobalObjects: false,
    }) as Server;
    this.#server.maxConnections = this.#options.maxConnections;
  }

  get requests(): number {
    return this.#requests;
  }

  setBehaviour(behaviour: Partial<ServerBehaviour>): void {
    this.#behaviour = serverBehaviourSchema.parse({...this.#behaviour, ...behaviour});
  }

  /** How often each run identity was run here. */
  get runsById(): ReadonlyMap<string, number> {
    return this.#runsById;
  }

  async start(): Promise<void> {
    const {listenHost, listenPort} = this.#options;
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(listenPort, listenHost, resolve);
    });
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #app(): Hono<{Bindings: HttpBindings}> {
    const app = new Hono<{Bindings: HttpBindings}>();
    app.get('/health', (context) =>
      this.#behaviour.saysHealthy
        ? context.json({isHealthy: true})
        : context.json({isHealthy: false}, 503),
    );
    app.put('/-/behaviour', async (context) => {
      this.setBehaviour(serverBehaviourSchema.partial().parse(await context.req.json()));
      return context.body(null, 204);
    });
    app.get('/-/report', (context) =>
      context.json({
        serverId: this.#options.serverId,
        requests: this.#requests,
        keysSeen: this.#keysSeen,
        runsById: Object.fromEntries(this.#runsById),
      }),
    );
    app.all('*', async (context) => {
      await this.#onRequest(context.env.incoming, context.env.outgoing);
      return RESPONSE_ALREADY_SENT;
    });
    return app;
  }

  async #onRequest(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    if (incoming.headers['x-api-key'] !== undefined) {
      this.#keysSeen += 1;
    }
    if (this.#behaviour.shedsAll || !(await this.#takeSlot())) {
      incoming.resume();
      this.#answer(incoming, outgoing, 503, {[notRunHeader]: '1'}, {error: 'full'});
      return;
    }
    try {
      await this.#work(incoming, outgoing);
    } catch {
      outgoing.destroy();
    } finally {
      this.#freeSlot();
    }
  }

  async #takeSlot(): Promise<boolean> {
    const {slots, maxWaiting} = this.#options;
    if (this.#running < slots) {
      this.#running += 1;
      return true;
    }
    if (this.#waiting.length >= maxWaiting) {
      return false;
    }
    await new Promise<void>((resolve) => this.#waiting.push(resolve));
    return true;
  }

  #freeSlot(): void {
    const next = this.#waiting.shift();
    if (next === undefined) {
      this.#running -= 1;
      return;
    }
    next();
  }

  async #work(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    this.#requests += 1;
    const hash = createHash('sha256');
    let bytes = 0;
    for await (const chunk of incoming) {
      hash.update(chunk as Buffer);
      bytes += (chunk as Buffer).length;
    }
    this.#noteRun(incoming);
    await wait(this.#behaviour.serviceMs);
    const {failEvery, breakEvery} = this.#behaviour;
    if (failEvery > 0 && this.#requests % failEvery === 0) {
      this.#answer(incoming, outgoing, 500, {}, {error: 'failed'});
      return;
    }
    const mustBreak = breakEvery > 0 && this.#requests % breakEvery === 0;
    const url = new URL(incoming.url ?? '/', 'http://server');
    const size = Number(url.searchParams.get('bytes') ?? 0);
    if (incoming.method === 'GET' && size > 0) {
      await this.#sendMedia(
        incoming,
        outgoing,
        Number(url.searchParams.get('seed') ?? 0),
        size,
        mustBreak,
      );
      return;
    }
    const receipt = {
      serverId: this.#options.serverId,
      path: incoming.url,
      customer: incoming.headers['x-customer-id'] ?? null,
      runId: incoming.headers[runIdHeader] ?? null,
      bytes,
      sha256: hash.digest('hex'),
    };
    this.#answer(incoming, outgoing, 200, {}, receipt);
  }

  #noteRun(incoming: IncomingMessage): void {
    const runId = incoming.headers[runIdHeader];
    if (typeof runId === 'string') {
      this.#runsById.set(runId, (this.#runsById.get(runId) ?? 0) + 1);
    }
  }

  #answer(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    status: number,
    headers: Readonly<Record<string, string>>,
    value: unknown,
  ): void {
    const requestId = incoming.headers['x-request-id'];
    const body = JSON.stringify(value);
    outgoing.writeHead(status, {
      ...headers,
      ...(typeof requestId === 'string' ? {'x-request-id': requestId} : {}),
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    });
    outgoing.end(incoming.method === 'HEAD' ? undefined : body);
  }

  async #sendMedia(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    seed: number,
    size: number,
    mustBreak: boolean,
  ): Promise<void> {
    const requestId = incoming.headers['x-request-id'];
    outgoing.writeHead(200, {
      'content-type': 'application/octet-stream',
      'content-length': size,
      'x-content-sha256': patternDigest(seed, size),
      ...(typeof requestId === 'string' ? {'x-request-id': requestId} : {}),
    });
    const sent = mustBreak ? Math.floor(size / 2) : size;
    await pipeline(Readable.from(patternBytes(seed, sent)), outgoing, {end: !mustBreak});
    if (mustBreak) {
      outgoing.destroy();
    }
  }
}
