import {createHash} from 'node:crypto';
import type {Server} from 'node:http';
import {createAdaptorServer} from '@hono/node-server';
import {checkDocument, formatFault, hostListSchema, manifestSchema} from '@godwitspring/document';
import {Hono} from 'hono';
import type {Context} from 'hono';
import {PlatformState, manifestKey, platformFaultsSchema} from './platformState.ts';

export interface PlatformStandinOptions {
  readonly listenHost: string;
  readonly listenPort: number;
  /** Calls answered in a second over all readers; a waiting watch is one call. Default: 2,000. */
  readonly maxCallsPerSecond: number;
}

export const DEFAULT_PLATFORM_STANDIN_OPTIONS = {maxCallsPerSecond: 2_000} as const;

type RequiredOptions = Pick<PlatformStandinOptions, 'listenHost' | 'listenPort'>;

const secondMs = 1_000;

/** Stand-in for the platform's configuration service and list of hosts. */
export class PlatformStandin {
  readonly state = new PlatformState(() => performance.now());
  readonly #options: PlatformStandinOptions;
  readonly #server: Server;
  #calls = 0;
  #refusedCalls = 0;
  #secondStartedAtMs = 0;
  #callsThisSecond = 0;

  constructor(options: Partial<PlatformStandinOptions> & RequiredOptions) {
    this.#options = {...DEFAULT_PLATFORM_STANDIN_OPTIONS, ...options};
    this.#server = createAdaptorServer({
      fetch: this.#app().fetch,
      overrideGlobalObjects: false,
    }) as Server;
  }

  get calls(): number {
    return this.#calls;
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

  #app(): Hono {
    const app = new Hono();
    app.use('/v1/*', async (context, next) => {
      if (this.state.isDown) {
        return context.text('down', 503);
      }
      if (!this.#countCall()) {
        return context.text('too many calls', 429);
      }
      await next();
      return undefined;
    });
    app.get('/v1/hosts', (context) => this.#hosts(context));
    app.get('/v1/values/:key', (context) => this.#value(context));
    app.put('/control/document', (context) => this.#putDocument(context));
    app.put('/control/hosts', async (context) => {
      const {hosts} = hostListSchema.parse(await context.req.json());
      this.state.publishHosts(hosts);
      return context.json({version: this.state.newestHosts?.version});
    });
    app.put('/control/faults', async (context) => {
      this.state.setFaults(platformFaultsSchema.parse(await context.req.json()));
      return context.body(null, 204);
    });
    app.get('/control/counters', (context) =>
      context.json({calls: this.#calls, refusedCalls: this.#refusedCalls}),
    );
    return app;
  }

  #countCall(): boolean {
    const nowMs = performance.now();
    if (nowMs - this.#secondStartedAtMs >= secondMs) {
      this.#secondStartedAtMs = nowMs;
      this.#callsThisSecond = 0;
    }
    if (this.#callsThisSecond >= this.#options.maxCallsPerSecond) {
      this.#refusedCalls += 1;
      return false;
    }
    this.#callsThisSecond += 1;
    this.#calls += 1;
    return true;
  }

  async #hosts(context: Context): Promise<Response> {
    const after = Number(context.req.query('after') ?? -1);
    const waitMs = Number(context.req.query('waitMs') ?? 0);
    let answer = this.state.listsAfter(after);
    if (answer.lists.length === 0 && waitMs > 0) {
      await this.state.change(waitMs);
      answer = this.state.listsAfter(after);
    }
    return this.state.isDown ? context.text('down', 503) : context.json(answer);
  }

  async #value(context: Context): Promise<Response> {
    const key = context.req.param('key') ?? '';
    const not = Number(context.req.query('not') ?? -1);
    const waitMs = Number(context.req.query('waitMs') ?? 0);
    let value = this.state.read(key);
    if (key === manifestKey && waitMs > 0 && this.#versionOf(value) === not) {
      await this.state.change(waitMs);
      value = this.state.read(key);
    }
    if (this.state.isDown) {
      return context.text('down', 503);
    }
    if (value === undefined) {
      return context.text('no such value', 404);
    }
    if (key === manifestKey && this.#versionOf(value) === not) {
      return context.body(null, 204);
    }
    return context.json({value});
  }

  #versionOf(value: string | undefined): number | undefined {
    return value === undefined ? undefined : manifestSchema.parse(JSON.parse(value)).version;
  }

  async #putDocument(context: Context): Promise<Response> {
    const checked = checkDocument(await context.req.json());
    if (checked.isErr()) {
      return context.json({faults: checked.error.map(formatFault)}, 400);
    }
    this.state.publish(checked.value, (text) => createHash('sha256').update(text).digest('hex'));
    return context.json({version: checked.value.version});
  }
}
