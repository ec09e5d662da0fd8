import {createServer} from 'node:http';
import type {ServerResponse} from 'node:http';

/** Store of the platform with values that never change, for hosts that only read it. */
export class PlatformStore {
  readonly #items: readonly {key: string; value: string; revision: number}[];
  readonly #waiting = new Set<NodeJS.Timeout>();
  readonly #server = createServer((request, response) => {
    this.#respond(new URL(request.url ?? '', 'http://store'), response);
  });

  constructor(values: ReadonlyMap<string, unknown>) {
    this.#items = [...values].map(([key, value], index) => ({
      key,
      value: Buffer.from(JSON.stringify(value)).toString('base64'),
      revision: index + 1,
    }));
  }

  async start(ip: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, ip, resolve);
    });
  }

  stop(): void {
    for (const timeout of this.#waiting) {
      clearTimeout(timeout);
    }
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #respond({pathname, searchParams}: URL, response: ServerResponse): void {
    if (pathname === '/api/kv-range') {
      const prefix = searchParams.get('prefix') ?? '';
      const after = searchParams.get('after') ?? '';
      const items = this.#items.filter(({key}) => key.startsWith(prefix) && key > after);
      this.#send(response, {items, hasMore: false});
      return;
    }
    const timeout = setTimeout(
      () => {
        this.#waiting.delete(timeout);
        this.#send(response, {events: []});
      },
      Number(searchParams.get('waitMs')),
    );
    this.#waiting.add(timeout);
  }

  #send(response: ServerResponse, fields: object): void {
    response.writeHead(200, {'content-type': 'application/json', 'store-era': '1'});
    response.end(JSON.stringify({...fields, currentRev: this.#items.length}));
  }
}
