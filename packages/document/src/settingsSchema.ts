import {z} from 'zod';

/** IP address and port: `10.0.0.1:8080` or `[::1]:8080`. */
const addressSchema = z
  .string()
  .regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    'must be IP:port such as "10.0.0.1:8080"',
  );

/** Schema of the settings file of one host, in TOML. */
export const settingsSchema = z.strictObject({
  host: z.strictObject({
    /** Id of the host, as in the platform's host list. */
    id: z.string().min(1),
    dataCentre: z.string().min(1),
  }),
  listen: z.strictObject({
    /** Address on which callers connect. */
    callers: addressSchema,
    /** Address on which other hosts connect. */
    peers: addressSchema,
    /** Address on which operators query the status; on the loopback interface by default. Default: `127.0.0.1:9900`. */
    admin: addressSchema.default('127.0.0.1:9900'),
  }),
  platform: z.strictObject({
    /** Origins of the configuration service, tried one after the other. */
    origins: z.array(z.url()).min(1, 'must name at least one origin of the configuration service'),
    /** Time for which a watch (long poll) waits for a change, in ms. Default: 1,500. */
    watchMs: z.number().int().min(100).max(60_000).default(1_500),
    /** Wait after the first failed read, in ms. Default: 250. */
    retryMinMs: z.number().int().min(10).default(250),
    /** Longest wait after repeated failed reads, in ms. Default: 5,000. */
    retryMaxMs: z.number().int().min(100).default(5_000),
  }),
  callers: z
    .strictObject({
      /** Request header that carries the customer's API key. Default: `x-api-key`. */
      keyHeader: z.string().default('x-api-key'),
      /** Largest request head, in bytes. Default: 16,384. */
      maxHeadBytes: z.number().int().min(1_024).default(16_384),
      /** Longest wait for a complete request head, in ms. Default: 10,000. */
      headTimeoutMs: z.number().int().min(100).default(10_000),
      /** Longest time for which an idle connection stays open, in ms. Default: 60,000. */
      idleTimeoutMs: z.number().int().min(100).default(60_000),
      /** Longest pause of a caller while it sends a body, in ms. Default: 30,000. */
      bodyIdleTimeoutMs: z.number().int().min(100).default(30_000),
    })
    .prefault({}),
  limits: z
    .strictObject({
      /** Memory of the machine or container, in MB; what is held for callers is bounded by it. Default: 512. */
      memoryMb: z.number().int().min(64).default(512),
      /** Open descriptors that the process may have; connections are bounded by it. Default: 4,096. */
      maxDescriptors: z.number().int().min(128).default(4_096),
      /** Fields in a request head. Default: 500. */
      maxHeadFields: z.number().int().min(16).default(500),
      /** Requests of one connection that are served at the same time. Default: 4. */
      maxConcurrentPerConnection: z.number().int().min(1).default(4),
      /** Least rate at which a caller sends a body, in bytes per second. Default: 500. */
      minSendBytesPerSecond: z.number().min(0).default(500),
      /** Least rate at which a caller reads a response, in bytes per second. Default: 500. */
      minReadBytesPerSecond: z.number().min(0).default(500),
      /** Time of waiting for a caller after which the least rates hold, in ms. Default: 10,000. */
      rateGraceMs: z.number().int().min(1_000).default(10_000),
    })
    .prefault({}),
  peers: z
    .strictObject({
      /** Secret with which every host of the fleet authenticates to its peers. Default: none. */
      sharedSecret: z.string().min(16, 'must have at least 16 characters').optional(),
      /** Largest message accepted from a peer, in bytes. Default: 2,097,152. */
      maxMessageBytes: z.number().int().min(4_096).default(2_097_152),
    })
    .prefault({}),
  repeats: z
    .strictObject({
      /** Time for which an idempotency key is stored, in ms; must be equal on every host. Default: 300,000. */
      keepMs: z.number().int().min(1_000).default(300_000),
      /** Most idempotency keys stored at the same time. Default: 20,000. */
      maxKeys: z.number().int().min(100).default(20_000),
    })
    .prefault({}),
  shutdown: z
    .strictObject({
      /** Time that running requests get to complete after SIGTERM, in ms. Default: 30,000. */
      graceMs: z.number().int().min(0).default(30_000),
      /**
       * Part of that time in which the host still serves new requests and announces on each response that the
       * connection closes, in ms. Default: 2,000, in which a load balancer notices that the host is not ready.
       */
      announceMs: z.number().int().min(0).default(2_000),
    })
    .prefault({}),
  metrics: z
    .strictObject({
      /** Address of the StatsD server that receives the counters, as `IP:port`. Default: not sent. */
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

/** The settings of one host. */
export type HostSettings = z.infer<typeof settingsSchema>;

/** Default values of every optional group of the settings. */
export const DEFAULT_SETTINGS = {
  callers: settingsSchema.shape.callers.parse({}),
  limits: settingsSchema.shape.limits.parse({}),
  peers: settingsSchema.shape.peers.parse({}),
  repeats: settingsSchema.shape.repeats.parse({}),
  shutdown: settingsSchema.shape.shutdown.parse({}),
  metrics: settingsSchema.shape.metrics.parse({}),
  log: settingsSchema.shape.log.parse({}),
} as const;
