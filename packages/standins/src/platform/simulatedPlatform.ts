import {createHash} from 'node:crypto';
import type {Server} from 'node:http';
import {createAdaptorServer} from '@hono/node-server';
import {checkDocument, formatIssue, hostListSchema, manifestSchema} from '@godwitspring/document';
import {Hono} from 'hono';
import type {Context} from 'hono';
import {
  SimulatedPlatformState,
  manifestKey,
  platformFaultsSchema,
} from './simulatedPlatformState.ts';

export interface SimulatedPlatformOptions {
  readonly listenHost: string;
  readonly listenPort: number;
  /**
   * Rate limit over all readers, in calls per second; a watch is one call however long it waits.
   * Default: 2,000.
   */
  readonly maxCallsPerSecond: number;
}

export const DEFAULT_SIMULATED_PLATFORM_OPTIONS = {maxCallsPerSecond: 2_000} as const;

type RequiredOptions = Pick<SimulatedPlatformOptions, 'listenHost' | 'listenPort'>;

const secondMs = 1_000;

/**
 * Test double of the platform's configuration service and host list, served over HTTP.
 *
 * Hosts read and watch under `/v1`; tests publish data and inject faults under `/control`.
 */
export class SimulatedPlatform {
  readonly state = new SimulatedPlatformState(() => performance.now());
  readonly #options: SimulatedPlatformOptions;
  readonly #server: Server;
  #calls = 0;
  #refusedCalls = 0;
  #secondStartedAtMs = 0;
  #callsThisSecond = 0;

  constructor(options: Partial<SimulatedPlatformOptions> & RequiredOptions) {
    this.#options = {...DEFAULT_SIMULATED_PLATFORM_OPTIONS, ...options};
    this.#server = createAdaptorServer({
      fetch: this.#createApp().fetch,
      overrideGlobalObjects: false,
    }) as Server;
  }

  /** Number of calls admitted so far. */
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

  #createApp(): Hono {
    const app = new Hono();
    app.use('/v1/*', async (context, next) => {
      if (this.state.isDown) {
        return context.text('down', 503);
      }
      if (!this.#admitCall()) {
        return context.text('too many calls', 429);
      }
      await next();
      return undefined;
    });
    app.get('/v1/hosts', (context) => this.#respondWithHosts(context));
    app.get('/v1/values/:key', (context) => this.#respondWithValue(context));
    app.put('/control/document', (context) => this.#putDocument(context));
    app.put('/control/hosts', async (context) => {
      const {hosts} = hostListSchema.parse(await context.req.json());
      this.state.publishHosts(hosts);
      return context.json({version: this.state.newestHostList?.version});
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

  /** Counts a call against the rate limit; false where the limit of this second is reached. */
  #admitCall(): boolean {
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

  /** Responds with the host lists after a version; waits for one up to `waitMs` where there is none. */
  async #respondWithHosts(context: Context): Promise<Response> {
    const afterVersion = Number(context.req.query('after') ?? -1);
    const waitMs = Number(context.req.query('waitMs') ?? 0);
    let response = this.state.listsAfter(afterVersion);
    if (response.lists.length === 0 && waitMs > 0) {
      await this.state.waitForChange(waitMs);
      response = this.state.listsAfter(afterVersion);
    }
    return this.state.isDown ? context.text('down', 503) : context.json(response);
  }

  /**
   * Responds with a value. A read of the manifest waits up to `waitMs` for another version than
   * the one that the caller has, and responds with status 204 where there is none.
   */
  async #respondWithValue(context: Context): Promise<Response> {
    const key = context.req.param('key') ?? '';
    const knownVersion = Number(context.req.query('not') ?? -1);
    const waitMs = Number(context.req.query('waitMs') ?? 0);
    let value = this.state.readValue(key);
    if (key === manifestKey && waitMs > 0 && this.#manifestVersion(value) === knownVersion) {
      await this.state.waitForChange(waitMs);
      value = this.state.readValue(key);
    }
    if (this.state.isDown) {
      return context.text('down', 503);
    }
    if (value === undefined) {
      return context.text('no such value', 404);
    }
    if (key === manifestKey && this.#manifestVersion(value) === knownVersion) {
      return context.body(null, 204);
    }
    return context.json({value});
  }

  #manifestVersion(value: string | undefined): number | undefined {
    return value === undefined ? undefined : manifestSchema.parse(JSON.parse(value)).version;
  }

  async #putDocument(context: Context): Promise<Response> {
    const checked = checkDocument(await context.req.json());
    if (checked.isErr()) {
      return context.json({faults: checked.error.map(formatIssue)}, 400);
    }
    this.state.publish(checked.value, (text) => createHash('sha256').update(text).digest('hex'));
    return context.json({version: checked.value.version});
  }
}
