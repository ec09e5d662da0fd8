import {z} from 'zod';

/** Bounds that operators set for the whole fleet; the same on every host. */
export const fleetBoundsSchema = z.object({
  /** Time after which a withdrawn key must have stopped working, in ms. Default: 5,000. */
  keyWithdrawalMs: z.number().positive().default(5_000),
  /** Repeats that a backend bears, as a share of the requests in the window. Default: 0.2. */
  retryRatio: z.number().min(0).default(0.2),
  /** Window in which repeats are counted, in ms. Default: 10,000. */
  retryWindowMs: z.number().positive().default(10_000),
  /** Repeats that a backend bears in a window beyond the share. Default: 50. */
  retrySlack: z.number().min(0).default(50),
  /** Factor by which a cold server's rate may be exceeded. Default: 1.5. */
  coldOvershoot: z.number().positive().default(1.5),
  /** Requests by which a cold server's rate may be exceeded in a second. Default: 5. */
  coldSlack: z.number().min(0).default(5),
  /** Window in which a customer's requests are counted against rate and burst, in ms. Default: 5,000. */
  rateWindowMs: z.number().positive().default(5_000),
  /** Share by which a customer's rate may be exceeded over the fleet. Default: 0.25. */
  rateOvershoot: z.number().min(0).default(0.25),
  /** Requests in a window by which a customer's rate may be exceeded beside that. Default: 0. */
  rateSlack: z.number().min(0).default(0),
});

export type FleetBounds = z.infer<typeof fleetBoundsSchema>;

export const DEFAULT_FLEET_BOUNDS: FleetBounds = fleetBoundsSchema.parse({});
