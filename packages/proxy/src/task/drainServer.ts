import type {Server} from 'node:http';

/**
 * Accepts no more connections and closes the idle ones. Resolves once all connections are closed, so that requests
 * that are still being read and responses that are still being sent are waited for.
 */
export async function drainServer(server: Server): Promise<void> {
  await new Promise<void>((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeIdleConnections();
  });
}
