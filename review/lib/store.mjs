import {createServer} from 'node:http';

/** Stand-in of the platform's store: reads and watches as PROTOCOL.md describes them, without failures. */
export class Store {
  #items = new Map();
  #events = [];
  #revision = 10;
  #waiting = new Set();
  #server;

  /** Listens on an address given as `IP:port`. */
  async start(address) {
    const [host, port] = address.split(':');
    this.#server = createServer((request, response) => {
      this.#respond(new URL(request.url, 'http://store'), response);
    });
    await new Promise((resolve) => this.#server.listen(Number(port), host, resolve));
  }

  stop() {
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  /** Writes a value as JSON. */
  put(key, value) {
    this.#revision += 1;
    const text = Buffer.from(JSON.stringify(value)).toString('base64');
    const created = this.#items.get(key)?.created ?? this.#revision;
    const item = {key, value: text, revision: this.#revision, created, lease: 0};
    this.#items.set(key, item);
    this.#record(item);
  }

  remove(key) {
    if (this.#items.delete(key)) {
      this.#revision += 1;
      this.#record({key, revision: this.#revision, removed: true});
    }
  }

  #record(event) {
    this.#events.push(event);
    for (const check of [...this.#waiting]) {
      check();
    }
  }

  #respond(url, response) {
    const query = url.searchParams;
    const prefix = query.get('prefix') ?? '';
    switch (url.pathname) {
      case '/api/kv-key': {
        const item = this.#items.get(query.get('key') ?? '');
        this.#send(response, item === undefined ? 404 : 200, item ?? {});
        return;
      }
      case '/api/kv-range': {
        const after = query.get('after') ?? '';
        const keys = [...this.#items.keys()].filter((key) => key.startsWith(prefix) && key > after);
        const items = keys.sort().map((key) => this.#items.get(key));
        this.#send(response, 200, {items: items.slice(0, 500), hasMore: items.length > 500});
        return;
      }
      case '/api/kv-watch':
        this.#watch(prefix, Number(query.get('after')), Number(query.get('waitMs')), response);
        return;
      default:
        this.#send(response, 404, {});
    }
  }

  #watch(prefix, after, waitMs, response) {
    const check = () => {
      const events = this.#events.filter(
        ({key, revision}) => revision > after && key.startsWith(prefix),
      );
      if (events.length > 0) {
        end(events);
      }
    };
    const end = (events) => {
      clearTimeout(timer);
      this.#waiting.delete(check);
      this.#send(response, 200, {events});
    };
    const timer = setTimeout(() => {
      end([]);
    }, waitMs);
    this.#waiting.add(check);
    response.once('close', () => {
      clearTimeout(timer);
      this.#waiting.delete(check);
    });
    check();
  }

  #send(response, status, body) {
    const headers = {'content-type': 'application/json', 'store-era': '1'};
    response.writeHead(status, headers);
    response.end(JSON.stringify({...body, currentRev: this.#revision}));
  }
}
