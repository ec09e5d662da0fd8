import {z} from 'zod';

/** Id of an entry. Hosts accept any; `checkDocument` restricts the ids of documents that operators publish. */
const idSchema = z.string();

/** SHA-256 digest in hex. */
const sha256Schema = z
  .string()
  .regex(
    /^[0-9a-f]{64}$/,
    'must be a SHA-256 digest of 64 lower-case hex digits; publish the digest, not the key',
  );

/** A data centre of the fleet. */
const dataCentreSchema = z.strictObject({
  id: idSchema,
  /** False once operators have taken the data centre out of service. Default: true. */
  inService: z.boolean().default(true),
});

/** A customer: the rate limit and the API keys. */
const customerSchema = z.strictObject({
  id: idSchema,
  /** Sustained rate limit over the whole fleet, in requests per second. */
  ratePerSecond: z.number().positive('must be above 0; remove the customer to block its requests'),
  /** True if neither rate nor burst limits the customer. Default: false. */
  isUnlimited: z.boolean().optional(),
  /** Priority of the customer's requests, overriding the route's; 0 is the most urgent. Default: the route's. */
  priority: z.number().int().min(0).optional(),
  /**
   * Weight of the customer where customers share too little capacity: one of weight 2 gets twice as much as one
   * of weight 1. Default: 1.
   */
  weight: z.number().positive('must be above 0').optional(),
  /** Requests that may arrive at once over the whole fleet. */
  burstRequests: z
    .number()
    .int()
    .min(1, 'must be at least 1, otherwise no request is ever admitted'),
  /** SHA-256 digests of the customer's API keys, in hex. */
  keyDigests: z.array(sha256Schema).default([]),
});

/** A backend server that the document lists. */
const backendServerSchema = z.strictObject({
  id: idSchema,
  /** Origin of the server: scheme, IP address and port. */
  origin: z.url({
    protocol: /^https?$/,
    error: 'must be an origin such as http://10.0.0.1:8080',
  }),
  dataCentre: idSchema,
  /** A `draining` server finishes its running requests and gets no new ones. Default: `in-service`. */
  state: z.enum(['in-service', 'draining']).default('in-service'),
});

/** Least number of servers of a backend that ejection must leave in service. */
const floorSchema = z.strictObject({
  /** Least number of healthy servers that ejection leaves in service. Default: 1. */
  totalServers: z.number().int().min(0).default(1),
  /** Least number of healthy servers that ejection leaves in service, by data centre. Default: none. */
  serversByDataCentre: z.record(idSchema, z.number().int().min(0)).default({}),
});

/** How much extra work hedged attempts of a backend may cause, over the whole fleet. */
export const hedgingSchema = z.strictObject({
  /** False to send no hedged attempts. Default: true. */
  enabled: z.boolean().default(true),
  /** Most hedged attempts, as a share of the first attempts. Default: 0.1. */
  maxAttemptShare: z.number().min(0).max(1).default(0.1),
  /** Most busy time that hedging may cost the servers, as a share of their whole busy time. Default: 0.1. */
  maxBusyShare: z.number().min(0).max(1).default(0.1),
});

/** The fields of a backend: its servers and what each of them can handle. */
const backendFieldsSchema = z.strictObject({
  id: idSchema,
  servers: z.array(backendServerSchema),
  /** True if the servers register themselves and are not listed here. Default: false. */
  isDiscovered: z.boolean().optional(),
  /** Requests per second that one cold server, still warming up, can handle. Default: unlimited. */
  coldRequestsPerSecond: z.number().positive().optional(),
  /** Requests that one server processes at the same time. Default: 2. */
  slotsPerServer: z.number().int().min(1).default(2),
  /** Connections that one server accepts from the whole fleet. Default: 400. */
  connectionsPerServer: z.number().int().min(1).default(400),
  floor: floorSchema.prefault({}),
  /** Response header by which a server states, with any 5xx status, that it did not run the request. */
  notRunHeader: z.string().default('x-not-run'),
  /**
   * True if the servers echo the request id of each request in their response; a response without it, or with
   * another, is then not passed on. Default: false.
   */
  echoesRequestId: z.boolean().optional(),
  /** Path that health probes request. Default: `/health`. */
  probePath: z.string().default('/health'),
  /** Slow start: time over which a server that enters service is ramped up, in ms. Default: 10,000. */
  warmUpMs: z.number().int().min(0).default(10_000),
  /** Limits on hedged attempts. Default: hedged attempts are charged to the retry budget alone. */
  hedging: hedgingSchema.optional(),
});

/** A backend. It lists at least one server unless its servers register themselves. */
const backendSchema = backendFieldsSchema.refine(
  ({servers, isDiscovered}) => servers.length > 0 || isDiscovered === true,
  {path: ['servers'], error: 'must list at least one backend server'},
);

/** A route: which requests it matches, which backend serves them, and how. */
const routeSchema = z.strictObject({
  id: idSchema,
  /** Host name without port; `*` matches any. Default: `*`. */
  host: z.string().min(1).default('*'),
  pathPrefix: z.string().startsWith('/', 'must start with "/"'),
  /** Methods that the route accepts; an empty list accepts all. Default: all. */
  methods: z.array(z.string().regex(/^[A-Z]+$/, 'must be an upper-case method')).default([]),
  backend: idSchema,
  /** True if callers need no API key. Default: false. */
  openToAll: z.boolean().default(false),
  /** Whether a request may run more than once without harm. Default: by method, as in RFC 9110. */
  idempotent: z.enum(['by-method', 'yes', 'no']).default('by-method'),
  /** Backends among which requests are divided by weight, instead of `backend`. Default: none. */
  split: z.array(z.strictObject({backend: idSchema, weight: z.number().min(0)})).optional(),
  /** Most servers to which one request may be sent. Default: 3. */
  maxAttempts: z.number().int().min(1).optional(),
  /** Response time within which a response is fully useful to the caller, in ms. Default: none. */
  targetLatencyMs: z.number().int().min(1).optional(),
  /** Priority of the requests; 0 is the most urgent. Default: 0. */
  priority: z.number().int().min(0).optional(),
  /** `off` to send no hedged attempts for the route's requests. Default: as the backend's settings allow. */
  hedging: z.literal('off').optional(),
  /** Longest time from the arrival of a request to its complete response, in ms. Default: 30,000. */
  timeoutMs: z.number().int().min(1).default(30_000),
  /** Largest request body accepted, in bytes. Default: 1 GiB. */
  maxBodyBytes: z.number().int().min(0).default(1_073_741_824),
});

/** Limits on the requests and connections of callers. */
export const callerLimitsSchema = z.strictObject({
  /** Largest request head, in bytes. */
  maxHeadBytes: z.number().int().min(1_024),
  /** Largest request body, in bytes. */
  maxBodyBytes: z.number().int().min(0),
  /** Longest wait for a complete request head, in ms. */
  headTimeoutMs: z.number().int().min(1),
  /** Longest time for which an idle connection stays open, in ms. */
  idleTimeoutMs: z.number().int().min(1),
});

/** Schema of the configuration document that operators publish for the whole fleet. */
export const documentSchema = z.strictObject({
  formatVersion: z.literal(1),
  /** Increases with every change; a host never returns to a lower version. */
  version: z.number().int().min(0),
  /** SHA-256 of the manifest of the version that this one is based on. Default: none, for a first version. */
  previousDigest: sha256Schema.optional(),
  author: z.string().min(1, 'must name the author of the change'),
  reason: z.string().min(1, 'must state the reason for the change'),
  /** Time of the change, in UTC as ISO 8601. */
  madeAt: z.iso.datetime(),
  dataCentres: z.array(dataCentreSchema).min(1),
  /** Limits on what callers may send. Default: the settings of each host. */
  callerLimits: callerLimitsSchema.optional(),
  customers: z.array(customerSchema),
  backends: z.array(backendSchema),
  routes: z.array(routeSchema),
});

/** Schema of a document of the product's own interface, whose versions start at 1. */
export const publishedDocumentSchema = documentSchema.extend({version: z.number().int().min(1)});

/** The configuration document that operators publish for the whole fleet. */
export type FleetDocument = z.infer<typeof documentSchema>;
export type DataCentre = FleetDocument['dataCentres'][number];
export type Customer = FleetDocument['customers'][number];
export type Backend = FleetDocument['backends'][number];
export type BackendServer = Backend['servers'][number];
export type HedgingSettings = z.infer<typeof hedgingSchema>;
export type CallerLimits = z.infer<typeof callerLimitsSchema>;
export type Route = FleetDocument['routes'][number];
