import {z} from 'zod';

const addressSchema = z
  .string()
  .regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    'must be IP:port such as "10.0.0.1:8080"',
  );

/** Shape of the settings file of one host, in TOML. */
export const settingsSchema = z.strictObject({
  host: z.strictObject({
    /** Stable name of the host, as the platform lists it. */
    id: z.string().min(1),
    dataCentre: z.string().min(1),
  }),
  listen: z.strictObject({
    /** Where callers connect. */
    callers: addressSchema,
    /** Where other hosts connect. */
    peers: addressSchema,
    /** Where operators ask for status; loopback unless changed. Default: `127.0.0.1:9900`. */
    admin: addressSchema.default('127.0.0.1:9900'),
  }),
  platform: z.strictObject({
    /** Origins of the configuration service, tried in turn. */
    origins: z.array(z.url()).min(1, 'must name at least one origin of the configuration service'),
    /** Time a watch waits for a change, in ms. Default: 1,500. */
    watchMs: z.number().int().min(100).max(60_000).default(1_500),
    /** First wait after a failed read, in ms. Default: 250. */
    retryMinMs: z.number().int().min(10).default(250),
    /** Longest wait after failed reads, in ms. Default: 5,000. */
    retryMaxMs: z.number().int().min(100).default(5_000),
  }),
  callers: z
    .strictObject({
      /** Header that carries the customer's key. Default: `x-api-key`. */
      keyHeader: z.string().default('x-api-key'),
      /** Largest request head, in bytes. Default: 16,384. */
      maxHeadBytes: z.number().int().min(1_024).default(16_384),
      /** Longest wait for the head of a request, in ms. Default: 10,000. */
      headTimeoutMs: z.number().int().min(100).default(10_000),
      /** Longest wait on an idle connection, in ms. Default: 60,000. */
      idleTimeoutMs: z.number().int().min(100).default(60_000),
      /** Longest silence of a caller inside a body, in ms. Default: 30,000. */
      bodyIdleTimeoutMs: z.number().int().min(100).default(30_000),
    })
    .prefault({}),
  peers: z
    .strictObject({
      /** Secret that every host of the fleet shows to its peers. Default: none. */
      sharedSecret: z.string().min(16, 'must have at least 16 characters').optional(),
      /** Largest message taken from a peer, in bytes. Default: 2,097,152. */
      maxMessageBytes: z.number().int().min(4_096).default(2_097_152),
    })
    .prefault({}),
  repeats: z
    .strictObject({
      /** Time for which an idempotency key is kept, in ms; the same on every host. Default: 300,000. */
      keepMs: z.number().int().min(1_000).default(300_000),
      /** Idempotency keys kept at once. Default: 20,000. */
      maxKeys: z.number().int().min(100).default(20_000),
    })
    .prefault({}),
  shutdown: z
    .strictObject({
      /** Time given to running requests on SIGTERM, in ms. Default: 30,000. */
      graceMs: z.number().int().min(0).default(30_000),
    })
    .prefault({}),
  metrics: z
    .strictObject({
      /** Where counters are sent by StatsD, as `IP:port`. Default: not sent. */
      statsd: addressSchema.optional(),
      /** Interval between sends, in ms. Default: 10,000. */
      intervalMs: z.number().int().min(1_000).default(10_000),
    })
    .prefault({}),
  log: z
    .strictObject({
      level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info'),
    })
    .prefault({}),
});

export type HostSettings = z.infer<typeof settingsSchema>;

/** Defaults of every optional group of the settings. */
export const DEFAULT_SETTINGS = {
  callers: settingsSchema.shape.callers.parse({}),
  peers: settingsSchema.shape.peers.parse({}),
  repeats: settingsSchema.shape.repeats.parse({}),
  shutdown: settingsSchema.shape.shutdown.parse({}),
  metrics: settingsSchema.shape.metrics.parse({}),
  log: settingsSchema.shape.log.parse({}),
} as const;
