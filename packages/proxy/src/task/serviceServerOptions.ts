/**
 * Times of the addresses that are not for callers, in ms. Those who connect there send a small request at once and read
 * the response; half a minute is generous for that.
 */
export const serviceServerOptions = {
  headersTimeout: 10_000,
  requestTimeout: 30_000,
  connectionsCheckingInterval: 1_000,
} as const;
