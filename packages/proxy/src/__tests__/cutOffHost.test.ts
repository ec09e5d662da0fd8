import type {Socket} from 'node:net';
import {expect} from 'chai';
import {dialTcp} from '../backends/serverConnectionPool.ts';
import {ServerSocket} from '../backends/serverSocket.ts';
import {GossipFleetFixture} from './__fixtures__/gossipFleetFixture.ts';

const subnet = '127.55';
const servers = 6;
/** Port on which nothing listens. */
const closedPort = 1;
/** Number of the host that is cut off; the others reach the servers. */
const cutOffHost = 1;

/** How the servers look to a host that is cut off. */
type CutKind = 'none' | 'hang' | 'reset' | 'refuse-new';

describe('a host that is cut off from all servers', () => {
  let cut: CutKind = 'none';
  /** Sockets of the host to servers. */
  const sockets = new Set<Socket>();
  const runsByPayment = new Map<string, number>();
  const fixture = new GossipFleetFixture(subnet, {
    hosts: 3,
    servers,
    dial: (hostNumber, ip, port) => {
      if (hostNumber !== cutOffHost || !ip.startsWith(`${subnet}.2.`)) {
        return dialTcp(ip, port);
      }
      if (cut === 'hang') {
        return new ServerSocket();
      }
      const socket = dialTcp(ip, cut === 'none' ? port : closedPort);
      sockets.add(socket);
      socket.once('close', () => sockets.delete(socket));
      return socket;
    },
  });

  before(async () => {
    fixture.onRequest = (_serverNumber, {url = ''}, response) => {
      runsByPayment.set(url, (runsByPayment.get(url) ?? 0) + 1);
      setTimeout(() => {
        response.end('paid');
      }, 5);
    };
    await fixture.start();
  });

  after(async () => {
    await fixture.stop();
  });

  /** Sends payments to the host, one after the other; returns how many had each status. */
  async function pay(name: string, payments: number): Promise<Record<string, number>> {
    const counts: Record<string, number> = {};
    for (let number = 0; number < payments; number += 1) {
      const url = `${fixture.origin(cutOffHost)}/payment/${name}-${number}`;
      const {status} = await fetch(url, {method: 'POST', body: 'x'.repeat(1_000)});
      counts[status] = (counts[status] ?? 0) + 1;
    }
    return counts;
  }

  function startCut(kind: CutKind): void {
    cut = kind;
    for (const socket of sockets) {
      if (kind === 'reset') {
        socket.destroy(Object.assign(new Error('reset'), {syscall: 'read'}));
      } else if (kind === 'hang') {
        // Nothing that is written arrives, and nothing comes back.
        socket.write = () => true;
      }
    }
  }

  /** Attempts that the other hosts have relayed so far. */
  async function relayedAttempts(): Promise<number> {
    let relayed = 0;
    for (const hostNumber of [2, 3]) {
      const metrics = await (
        await fetch(`http://${fixture.hostIp(hostNumber)}:9900/metrics`)
      ).text();
      const value = /^godwitspring_relay_forwarded_total\S* (\d+)/m.exec(metrics)?.[1];
      relayed += Number(value ?? 0);
    }
    return relayed;
  }

  for (const kind of ['refuse-new', 'reset', 'hang'] as const) {
    it(`serves payments through other hosts, each once, and by itself afterwards (${kind})`, async () => {
      expect(await pay(`${kind}-before`, 10)).to.deep.equal({200: 10});
      const relayedBefore = await relayedAttempts();
      startCut(kind);
      // Payments on connections that broke, or that hang, are lost or refused until the host has noticed.
      await pay(`${kind}-noticing`, kind === 'hang' ? 2 : 6);
      expect(await pay(`${kind}-during`, 20)).to.deep.equal({200: 20});
      if (kind !== 'refuse-new') {
        expect((await relayedAttempts()) - relayedBefore, 'relayed attempts').to.be.above(0);
      }
      cut = 'none';
      await new Promise((resolve) => setTimeout(resolve, 700));
      expect(await pay(`${kind}-after`, 10)).to.deep.equal({200: 10});
      const runs = [...runsByPayment.values()];
      expect(Math.max(...runs), 'runs of a payment').to.equal(1);
    });
  }
});
