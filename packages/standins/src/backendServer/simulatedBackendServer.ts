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

/** How a simulated server processes requests, and the faults that it shows; can be changed while it runs. */
export const serverBehaviourSchema = z.object({
  /** Processing time of one request, in ms. */
  serviceMs: z.number().min(0).default(2),
  /** Every n-th request gets status 500 after it has run; 0 for none. */
  failEvery: z.number().int().min(0).default(0),
  /** Every n-th response, if it is media, is cut off halfway through its body; 0 for none. */
  breakEvery: z.number().int().min(0).default(0),
  /** What the health endpoint reports, whatever the real state of the server. */
  saysHealthy: z.boolean().default(true),
  /** True to shed every request: status 503 with the header `x-not-run`. */
  shedsAll: z.boolean().default(false),
});

export type ServerBehaviour = z.infer<typeof serverBehaviourSchema>;

export interface SimulatedBackendServerOptions {
  readonly serverId: string;
  readonly listenHost: string;
  readonly listenPort: number;
  /** Number of requests processed concurrently. Default: 2. */
  readonly slots: number;
  /** Number of requests that may wait for a slot; the server sheds further ones. Default: 8. */
  readonly maxWaiting: number;
  /** Number of connections accepted at once. Default: 400. */
  readonly maxConnections: number;
  /** Behaviour at the start. Default: healthy, without faults. */
  readonly behaviour: Partial<ServerBehaviour>;
}

export const DEFAULT_SIMULATED_BACKEND_SERVER_OPTIONS = {
  slots: 2,
  maxWaiting: 8,
  maxConnections: 400,
  behaviour: {},
} as const;

type RequiredOptions = Pick<
  SimulatedBackendServerOptions,
  'serverId' | 'listenHost' | 'listenPort'
>;

/** Request header with the caller's own id of a request, by which runs are counted. */
const runIdHeader = 'x-run-id';
/** Response header by which the server states that it did not run the request. */
const notRunHeader = 'x-not-run';

/**
 * Test double of one backend server.
 *
 * Responds to a request with a receipt, a JSON object with the size and digest of the received body, or
 * with media of the requested size, and shows the faults of its behaviour.
 */
export class SimulatedBackendServer {
  readonly #options: SimulatedBackendServerOptions;
  readonly #server: Server;
  readonly #runsById = new Map<string, number>();
  readonly #slotWaiters: (() => void)[] = [];
  #behaviour: ServerBehaviour;
  #requestsInProgress = 0;
  #requests = 0;
  #keysSeen = 0;

  constructor(options: Partial<SimulatedBackendServerOptions> & RequiredOptions) {
    this.#options = {...DEFAULT_SIMULATED_BACKEND_SERVER_OPTIONS, ...options};
    this.#behaviour = serverBehaviourSchema.parse(this.#options.behaviour);
    this.#server = createAdaptorServer({
      fetch: this.#createApp().fetch,
      overrideGlobalObjects: false,
    }) as Server;
    this.#server.maxConnections = this.#options.maxConnections;
  }

  /** Number of requests run, without those that were shed. */
  get requests(): number {
    return this.#requests;
  }

  setBehaviour(behaviour: Partial<ServerBehaviour>): void {
    this.#behaviour = serverBehaviourSchema.parse({...this.#behaviour, ...behaviour});
  }

  /** Number of times that this server ran each request, by the request's `x-run-id` header. */
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

  #createApp(): Hono<{Bindings: HttpBindings}> {
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
      await this.#handleRequest(context.env.incoming, context.env.outgoing);
      return RESPONSE_ALREADY_SENT;
    });
    return app;
  }

  async #handleRequest(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    if (incoming.headers['x-api-key'] !== undefined) {
      this.#keysSeen += 1;
    }
    if (this.#behaviour.shedsAll || !(await this.#acquireSlot())) {
      incoming.resume();
      this.#respond(incoming, outgoing, 503, {[notRunHeader]: '1'}, {error: 'full'});
      return;
    }
    try {
      await this.#runRequest(incoming, outgoing);
    } catch {
      outgoing.destroy();
    } finally {
      this.#releaseSlot();
    }
  }

  /** Waits for a free slot; false where too many requests wait already. */
  async #acquireSlot(): Promise<boolean> {
    const {slots, maxWaiting} = this.#options;
    if (this.#requestsInProgress < slots) {
      this.#requestsInProgress += 1;
      return true;
    }
    if (this.#slotWaiters.length >= maxWaiting) {
      return false;
    }
    await new Promise<void>((resolve) => this.#slotWaiters.push(resolve));
    return true;
  }

  /** Passes the slot to the longest waiting request, if there is one. */
  #releaseSlot(): void {
    const next = this.#slotWaiters.shift();
    if (next === undefined) {
      this.#requestsInProgress -= 1;
      return;
    }
    next();
  }

  /** Reads the body, records the run, and responds after the processing time. */
  async #runRequest(incoming: IncomingMessage, outgoing: ServerResponse): Promise<void> {
    this.#requests += 1;
    const hash = createHash('sha256');
    let bytes = 0;
    for await (const chunk of incoming) {
      hash.update(chunk as Buffer);
      bytes += (chunk as Buffer).length;
    }
    this.#recordRun(incoming);
    await wait(this.#behaviour.serviceMs);
    const {failEvery, breakEvery} = this.#behaviour;
    if (failEvery > 0 && this.#requests % failEvery === 0) {
      this.#respond(incoming, outgoing, 500, {}, {error: 'failed'});
      return;
    }
    const mustCutOff = breakEvery > 0 && this.#requests % breakEvery === 0;
    const url = new URL(incoming.url ?? '/', 'http://server');
    const mediaBytes = Number(url.searchParams.get('bytes') ?? 0);
    if (incoming.method === 'GET' && mediaBytes > 0) {
      await this.#respondWithMedia(
        incoming,
        outgoing,
        Number(url.searchParams.get('seed') ?? 0),
        mediaBytes,
        mustCutOff,
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
    this.#respond(incoming, outgoing, 200, {}, receipt);
  }

  #recordRun(incoming: IncomingMessage): void {
    const runId = incoming.headers[runIdHeader];
    if (typeof runId === 'string') {
      this.#runsById.set(runId, (this.#runsById.get(runId) ?? 0) + 1);
    }
  }

  /** Sends a JSON response with the request's `x-request-id`. */
  #respond(
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

  /** Sends pseudo-random bytes with their digest in a header, or cuts off the connection after half of them. */
  async #respondWithMedia(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    seed: number,
    mediaBytes: number,
    mustCutOff: boolean,
  ): Promise<void> {
    const requestId = incoming.headers['x-request-id'];
    outgoing.writeHead(200, {
      'content-type': 'application/octet-stream',
      'content-length': mediaBytes,
      'x-content-sha256': patternDigest(seed, mediaBytes),
      ...(typeof requestId === 'string' ? {'x-request-id': requestId} : {}),
    });
    const sentBytes = mustCutOff ? Math.floor(mediaBytes / 2) : mediaBytes;
    await pipeline(Readable.from(patternBytes(seed, sentBytes)), outgoing, {end: !mustCutOff});
    if (mustCutOff) {
      outgoing.destroy();
    }
  }
}
