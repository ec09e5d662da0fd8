import type {Server} from 'node:http';

/**
 * Time after which a connection is closed that becomes idle while the server drains, in ms. A request that its client
 * sends at that moment still gets a refusal rather than a closed connection.
 */
const lateIdleTimeoutMs = 500;

/**
 * Accepts no more connections and closes the idle ones, also those that become idle later. Resolves once all connections are closed, so that requests
 * that are still being read and responses that are still being sent are waited for.
 */
export async function drainServer(server: Server): Promise<void> {
  await new Promise<void>((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeIdleConnections();
    server.keepAliveTimeout = lateIdleTimeoutMs;
  });
}
