import type {Server} from 'node:http';

/** Starts a server and resolves once it listens; fails where its address is in use. */
export async function listenOn(
  server: Server,
  {listenHost, listenPort}: {listenHost: string; listenPort: number},
): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(listenPort, listenHost, resolve);
  });
}
