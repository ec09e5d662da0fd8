import {z} from 'zod';

/** Identifiers: lower-case letters, digits, dots and hyphens. */
const idSchema = z
  .string()
  .regex(
    /^[a-z0-9][a-z0-9.-]{0,62}$/,
    'must be 1 to 63 lower-case letters, digits, dots or hyphens; rename it',
  );

const sha256Schema = z
  .string()
  .regex(
    /^[0-9a-f]{64}$/,
    'must be a SHA-256 digest of 64 lower-case hex digits; publish the digest, not the key',
  );

const dataCentreSchema = z.strictObject({
  id: idSchema,
  /** False once operators have taken the data centre out of service. Default: true. */
  inService: z.boolean().default(true),
});

const customerSchema = z.strictObject({
  id: idSchema,
  /** Sustained rate over the whole fleet, in requests per second. */
  ratePerSecond: z.number().positive('must be above 0; remove the customer to stop it'),
  /** True where neither rate nor burst bounds the customer. Default: false. */
  isUnlimited: z.boolean().optional(),
  /** Rank of the customer's requests in place of the route's, 0 for the most urgent. Default: the route's. */
  priority: z.number().int().min(0).optional(),
  /** Requests that may come at once over the whole fleet. */
  burstRequests: z.number().int().min(1, 'must be at least 1, or no request can ever pass'),
  /** SHA-256 digests of the customer's keys, in hex. */
  keyDigests: z.array(sha256Schema).default([]),
});

const backendServerSchema = z.strictObject({
  id: idSchema,
  /** Origin of the server: scheme, IP number and port. */
  origin: z.url({
    protocol: /^https?$/,
    error: 'must be an origin such as http://10.0.0.1:8080',
  }),
  dataCentre: idSchema,
  /** `draining` servers finish their work and get no more. Default: `in-service`. */
  state: z.enum(['in-service', 'draining']).default('in-service'),
});

const floorSchema = z.strictObject({
  /** Least number of healthy servers left in service by ejection. Default: 1. */
  totalServers: z.number().int().min(0).default(1),
  /** Least number of healthy servers left in service, by data centre. Default: none. */
  serversByDataCentre: z.record(idSchema, z.number().int().min(0)).default({}),
});

const backendFieldsSchema = z.strictObject({
  id: idSchema,
  servers: z.array(backendServerSchema),
  /** True where the servers register themselves and are not listed here. Default: false. */
  isDiscovered: z.boolean().optional(),
  /** Requests a second that one cold server bears. Default: not bounded. */
  coldRequestsPerSecond: z.number().positive().optional(),
  /** Requests that one server works on at once. Default: 2. */
  slotsPerServer: z.number().int().min(1).default(2),
  /** Connections that one server bears from the whole fleet. Default: 400. */
  connectionsPerServer: z.number().int().min(1).default(400),
  floor: floorSchema.prefault({}),
  /** Header by which a server says, with any 5xx status, that it did not run the request. */
  notRunHeader: z.string().default('x-not-run'),
  /** Path asked by health probes. Default: `/health`. */
  probePath: z.string().default('/health'),
  /** Time over which a fresh server is ramped up, in ms. Default: 10,000. */
  warmUpMs: z.number().int().min(0).default(10_000),
});

const backendSchema = backendFieldsSchema.refine(
  ({servers, isDiscovered}) => servers.length > 0 || isDiscovered === true,
  {path: ['servers'], error: 'must list at least one backend server'},
);

const routeSchema = z.strictObject({
  id: idSchema,
  /** Host name without port; `*` takes any. Default: `*`. */
  host: z.string().min(1).default('*'),
  pathPrefix: z.string().startsWith('/', 'must start with "/"'),
  /** Methods taken; an empty list takes all. Default: all. */
  methods: z.array(z.string().regex(/^[A-Z]+$/, 'must be an upper-case method')).default([]),
  backend: idSchema,
  /** True where no key is asked for. Default: false. */
  openToAll: z.boolean().default(false),
  /** Whether a request may run twice without harm. Default: by method, as RFC 9110 says. */
  idempotent: z.enum(['by-method', 'yes', 'no']).default('by-method'),
  /** Backends among which requests are divided by weight, in place of `backend`. Default: none. */
  split: z.array(z.strictObject({backend: idSchema, weight: z.number().min(0)})).optional(),
  /** Servers to which one request may be sent. Default: 3. */
  maxAttempts: z.number().int().min(1).optional(),
  /** Time within which an answer serves the caller fully, in ms. Default: none. */
  targetLatencyMs: z.number().int().min(1).optional(),
  /** Rank of the work, 0 for the most urgent. Default: 0. */
  priority: z.number().int().min(0).optional(),
  /** Longest time from arrival to the whole answer, in ms. Default: 30,000. */
  timeoutMs: z.number().int().min(1).default(30_000),
  /** Largest request body taken, in bytes. Default: 1 GiB. */
  maxBodyBytes: z.number().int().min(0).default(1_073_741_824),
});

export const callerLimitsSchema = z.strictObject({
  /** Largest request head, in bytes. */
  maxHeadBytes: z.number().int().min(1_024),
  /** Largest request body, in bytes. */
  maxBodyBytes: z.number().int().min(0),
  /** Longest wait for the head of a request, in ms. */
  headTimeoutMs: z.number().int().min(1),
  /** Longest wait on an idle connection, in ms. */
  idleTimeoutMs: z.number().int().min(1),
});

/** Shape of the one document that operators publish. */
export const documentSchema = z.strictObject({
  formatVersion: z.literal(1),
  /** Grows with every change; a host never goes back to a lower one. */
  version: z.number().int().min(1),
  /** SHA-256 of the manifest that this version was made from. Default: none, for a first version. */
  previousDigest: sha256Schema.optional(),
  author: z.string().min(1, 'must name who made the change'),
  reason: z.string().min(1, 'must say why the change was made'),
  /** When the change was made, ISO 8601 in UTC. */
  madeAt: z.iso.datetime(),
  dataCentres: z.array(dataCentreSchema).min(1),
  /** What a caller may send. Default: as the settings of each host say. */
  callerLimits: callerLimitsSchema.optional(),
  customers: z.array(customerSchema),
  backends: z.array(backendSchema),
  routes: z.array(routeSchema),
});

export type FleetDocument = z.infer<typeof documentSchema>;
export type DataCentre = FleetDocument['dataCentres'][number];
export type Customer = FleetDocument['customers'][number];
export type Backend = FleetDocument['backends'][number];
export type BackendServer = Backend['servers'][number];
export type CallerLimits = z.infer<typeof callerLimitsSchema>;
export type Route = FleetDocument['routes'][number];
