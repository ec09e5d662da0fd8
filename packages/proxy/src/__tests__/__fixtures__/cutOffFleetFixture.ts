import type {Socket} from 'node:net';
import {dialTcp} from '../../backends/serverConnectionPool.ts';
import {GossipFleetFixture} from './gossipFleetFixture.ts';

/** Port on which nothing listens. */
const closedPort = 1;
/** Attempts in a row that must be served before another host counts as the relay. */
const servedInRow = 5;

/** Two hosts before some servers, of which the first can be cut off from the servers, so that the second relays its attempts. */
export class CutOffFleetFixture {
  readonly fleet: GossipFleetFixture;
  /** Number of the host that can be cut off. */
  readonly entryHost = 1;
  readonly #sockets = new Set<Socket>();
  #isCutOff = false;

  constructor(subnet: string, {servers}: {servers: number}) {
    this.fleet = new GossipFleetFixture(subnet, {
      hosts: 2,
      servers,
      dial: (hostNumber, ip, port) => {
        const isToServer = hostNumber === this.entryHost && ip.startsWith(`${subnet}.2.`);
        const socket = dialTcp(ip, isToServer && this.#isCutOff ? closedPort : port);
        if (isToServer) {
          this.#sockets.add(socket);
          socket.once('close', () => this.#sockets.delete(socket));
        }
        return socket;
      },
    });
  }

  get entryIp(): string {
    return this.fleet.hostIp(this.entryHost);
  }

  /** Cuts the host off from the servers, and waits until the other host relays its attempts. */
  async cutOff(): Promise<void> {
    this.#isCutOff = true;
    for (const socket of this.#sockets) {
      socket.destroy(Object.assign(new Error('reset'), {syscall: 'read'}));
    }
    let served = 0;
    while (served < servedInRow) {
      const {status} = await fetch(`${this.fleet.origin(this.entryHost)}/lookup`);
      served = status === 200 ? served + 1 : 0;
    }
  }
}
