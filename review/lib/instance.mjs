import {createHash} from 'node:crypto';
import {createServer} from 'node:net';
import {readMessages} from './messages.mjs';

/** Value of the header that proves that a body is an instance's whole body. */
export function signatureOf(body) {
  return createHash('sha256').update(body).digest('hex');
}

/** Head of an answer: a status line and headers. */
export function answerHead(status, reason, headers) {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status} ${reason}\r\n${lines.join('')}\r\n`;
}

/**
 * Stand-in of an instance. It answers health probes and requests meant for another instance by itself; `onRequest`
 * gets every other request as soon as its head is in, with `whenWhole`, a promise of the request with its body.
 */
export class Instance {
  #sockets = new Set();
  #server;

  constructor({id, address, healthPath, onRequest}) {
    this.id = id;
    this.address = address;
    this.healthPath = healthPath;
    this.onRequest = onRequest;
  }

  /** The instance's entry in the store. */
  entry(service, zone, sequence = 1) {
    const {address} = this;
    const version = 'v1';
    const state = 'ready';
    return {service, address, zone, version, capacity: 20, state, warmupLeft: '0ms', sequence};
  }

  async start() {
    const [host, port] = this.address.split(':');
    this.#server = createServer((socket) => {
      this.#sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      socket.once('close', () => this.#sockets.delete(socket));
      readMessages(socket, (request) => {
        this.#onRequest(request, socket);
      });
    });
    await new Promise((resolve) => this.#server.listen(Number(port), host, resolve));
  }

  stop() {
    this.#server?.close();
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }

  #onRequest(request, socket) {
    const {headers, path} = request;
    if (path === this.healthPath) {
      const head = {'X-Godwitspring-Instance-Id': this.id, 'Content-Length': 0};
      socket.write(answerHead(200, 'OK', head));
      return;
    }
    const expected = headers['x-godwitspring-expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      const head = {'X-Godwitspring-Instance-Id': this.id, 'Content-Length': 0};
      const echoed = {...head, 'X-Godwitspring-Request-Id': headers['x-godwitspring-request-id']};
      socket.write(answerHead(421, 'Misdirected Request', echoed));
      return;
    }
    this.onRequest(request, socket, this);
  }
}
