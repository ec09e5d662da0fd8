import type {FleetDocument} from '../documentSchema.ts';

/** First hex digits of a key digest by which keys are compared and shown; hosts tell no more of a digest. */
export const keyDigestDigits = 12;

/**
 * Returns a document without secrets, for readers that only compare: key digests are cut to the digits by which
 * keys are shown, because a digest allows to guess weak keys offline, and origins lose their user information.
 */
export function withoutSecrets(document: FleetDocument): FleetDocument {
  return {
    ...document,
    customers: document.customers.map((customer) => ({
      ...customer,
      keyDigests: customer.keyDigests.map((digest) => digest.slice(0, keyDigestDigits)),
    })),
    backends: document.backends.map((backend) => ({
      ...backend,
      servers: backend.servers.map((server) => ({
        ...server,
        origin: server.origin.replace(/^(https?:\/\/)[^/]*@/, '$1'),
      })),
    })),
  };
}
