import type {Server} from 'node:http';
import {createAdaptorServer} from '@hono/node-server';
import {Hono} from 'hono';
import type {HostIntake} from '../intake/hostIntake.ts';
import {listenOn} from '../task/listenOn.ts';
import {serviceServerOptions} from '../task/serviceServerOptions.ts';

/** Settings of the readiness port. */
export interface ReadinessTaskOptions {
  readonly listenHost: string;
  readonly listenPort: number;
  /** Bounds on what the host holds for those who connect. */
  readonly intake: HostIntake;
  /** Path of the readiness check; every other path responds with 404. */
  readonly path: string;
  /** True where the host accepts requests of callers. */
  readonly isReady: () => boolean;
}

/** Owns the port for readiness checks of a load balancer: status 200 where the host accepts callers, else 503. */
export class ReadinessTask {
  readonly #options: ReadinessTaskOptions;
  #server: Server | undefined;

  constructor(options: ReadinessTaskOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const {listenHost, listenPort, path, isReady, intake} = this.#options;
    const app = new Hono();
    app.get(path, (context) => context.body(null, isReady() ? 200 : 503));
    const server = createAdaptorServer({
      fetch: app.fetch,
      overrideGlobalObjects: false,
      serverOptions: serviceServerOptions,
    }) as Server;
    this.#server = server;
    intake.attach(server, 'readiness');
    await listenOn(server, {listenHost, listenPort});
  }

  stop(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }
}
