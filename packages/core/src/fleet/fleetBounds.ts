import {z} from 'zod';

/** Bounds that operators set for the whole fleet; they are equal on every host. */
export const fleetBoundsSchema = z.object({
  /** Time after which a withdrawn key must no longer be accepted, in ms. Default: 5,000. */
  keyWithdrawalMs: z.number().positive().default(5_000),
  /** Retries that a backend may receive, as a share of the requests in the window. Default: 0.2. */
  retryRatio: z.number().min(0).default(0.2),
  /** Window in which retries are counted, in ms. Default: 10,000. */
  retryWindowMs: z.number().positive().default(10_000),
  /** Retries that a backend may receive in a window beyond that share. Default: 50. */
  retrySlack: z.number().min(0).default(50),
  /**
   * Highest request rate of a cold server, as a multiple of the rate configured for cold servers. Default:
   * 1.5.
   */
  coldOvershoot: z.number().positive().default(1.5),
  /** Requests per second that a cold server may receive beyond that rate. Default: 5. */
  coldSlack: z.number().min(0).default(5),
  /**
   * Sliding window in which a customer's requests are counted against rate and burst, in ms. Default: 5,000.
   */
  rateWindowMs: z.number().positive().default(5_000),
  /** Share by which the whole fleet may exceed a customer's rate. Default: 0.25. */
  rateOvershoot: z.number().min(0).default(0.25),
  /**
   * Requests per window by which the whole fleet may exceed a customer's rate beyond that share. Default: 0.
   */
  rateSlack: z.number().min(0).default(0),
});

export type FleetBounds = z.infer<typeof fleetBoundsSchema>;

export const DEFAULT_FLEET_BOUNDS: FleetBounds = fleetBoundsSchema.parse({});
