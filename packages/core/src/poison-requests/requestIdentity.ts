import {z} from 'zod';

/** Identifies a request and its duplicates: the same customer, route and digest. */
export const requestIdentitySchema = z.object({
  /** Customer of the request; empty for a route without a key. */
  customerId: z.string(),
  routeId: z.string(),
  /** Digest of method, target and body. */
  requestDigest: z.string().max(64),
});

export type RequestIdentity = z.infer<typeof requestIdentitySchema>;

/** The identity alone, without the other fields of a message. */
export function identityOf({customerId, routeId, requestDigest}: RequestIdentity): RequestIdentity {
  return {customerId, routeId, requestDigest};
}

/** Key of a request and its duplicates in maps and hashes. */
export function requestKey({customerId, routeId, requestDigest}: RequestIdentity): string {
  return JSON.stringify([customerId, routeId, requestDigest]);
}
