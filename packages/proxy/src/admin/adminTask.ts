import type {Server} from 'node:http';
import {withoutSecrets} from '@godwitspring/document';
import type {FleetDocument} from '@godwitspring/document';
import {createAdaptorServer} from '@hono/node-server';
import {Hono} from 'hono';
import type {PrometheusMetrics} from '../metrics/prometheusMetrics.ts';
import type {HostIntake} from '../intake/hostIntake.ts';
import {listenOn} from '../task/listenOn.ts';
import {serviceServerOptions} from '../task/serviceServerOptions.ts';

/** Settings and data sources of the operators' port. */
export interface AdminTaskOptions {
  readonly listenHost: string;
  readonly listenPort: number;
  /** Bounds on what the host holds for those who connect. */
  readonly intake: HostIntake;
  /** Reads the counters by name and tags. */
  readonly counters: () => Record<string, number>;
  /** Counters and histograms in the Prometheus exposition format. */
  readonly metrics: PrometheusMetrics;
  /** Reads the status that the tasks of the core report, by section. */
  readonly status: () => Record<string, Record<string, unknown>>;
  /** Reads the document in force; undefined where there is none yet. */
  readonly document: () => FleetDocument | undefined;
}

/** Owns the operators' port of a host: liveness, readiness, counters, Prometheus metrics, status and document. */
export class AdminTask {
  readonly #options: AdminTaskOptions;
  #server: Server | undefined;

  constructor(options: AdminTaskOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const {listenHost, listenPort, counters, metrics, status, document, intake} = this.#options;
    const app = new Hono();
    app.get('/-/live', (context) => context.json({isLive: true}));
    app.get('/-/ready', (context) => {
      const isReady = status().requests?.isReady === true;
      return context.json({isReady}, isReady ? 200 : 503);
    });
    app.get('/-/metrics', (context) => context.json(counters()));
    app.get('/metrics', async (context) =>
      context.body(await metrics.read(), 200, {'content-type': metrics.contentType}),
    );
    app.get('/-/status', (context) => context.json(status()));
    app.get('/-/document', (context) => {
      const inForce = document();
      return inForce === undefined
        ? context.json({message: 'no document is in force yet'}, 404)
        : context.json(withoutSecrets(inForce));
    });
    const server = createAdaptorServer({
      fetch: app.fetch,
      overrideGlobalObjects: false,
      serverOptions: serviceServerOptions,
    }) as Server;
    this.#server = server;
    intake.attach(server, 'admin');
    await listenOn(server, {listenHost, listenPort});
  }

  stop(): void {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }
}
