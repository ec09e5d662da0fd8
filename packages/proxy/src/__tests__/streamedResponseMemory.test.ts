import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {expect} from 'chai';
import {GossipFleetFixture} from './__fixtures__/gossipFleetFixture.ts';
import {callRaw} from './__fixtures__/rawCaller.ts';

/** Responses whose first parts, at least 196,608 counted bytes of each, exceed the budget of 16 MiB. */
const streamedResponses = 90;
const firstPartBytes = 400_000;
const undeclaredBytes = 300_000;

/** Starts callers of long responses and waits until each has received the first part. */
async function receiveFirstParts(host: string): Promise<Socket[]> {
  const callers: Socket[] = [];
  let receivedBytes = 0;
  for (let number = 0; number < streamedResponses; number += 1) {
    const socket = connect({host, port: 8080});
    socket.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length;
    });
    socket.on('error', () => undefined);
    socket.write('GET /booking/long HTTP/1.1\r\nhost: x\r\n\r\n');
    callers.push(socket);
    // One after the other, so that none is refused for a burst.
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  const isReceived = (): boolean => receivedBytes >= streamedResponses * firstPartBytes;
  for (let waits = 0; !isReceived() && waits < 100; waits += 1) {
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  expect(isReceived(), `${receivedBytes} bytes received`).to.equal(true);
  return callers;
}

describe('while long responses are streamed whose first parts were passed on', () => {
  const fixture = new GossipFleetFixture('127.86', {servers: 80});
  let callers: Socket[] = [];
  const reached: number[] = [];

  before(async () => {
    await fixture.start();
    fixture.onRequest = (serverNumber, request, response) => {
      if (request.url === '/booking/long') {
        response.writeHead(200, {'content-length': '2000000'});
        response.write(Buffer.alloc(firstPartBytes, 'x'));
        return;
      }
      reached.push(serverNumber);
      const body = 'y'.repeat(request.url === '/payment/small' ? 10 : undeclaredBytes);
      response.socket?.end(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${body}`);
    };
    callers = await receiveFirstParts(fixture.hostIp(1));
  });

  after(async () => {
    for (const socket of callers) {
      socket.destroy();
    }
    await fixture.stop();
  });

  // Guards against memory that stays counted until the end of a response, although it was passed on long before.
  it('a response without a declared end is read and passed on', async () => {
    const seen: string[] = [];
    for (let number = 0; number < 5; number += 1) {
      const {status, body} = await callRaw({
        host: fixture.hostIp(1),
        port: 8080,
        path: '/payment',
      });
      seen.push(`${String(status)}, ${body.length} bytes`);
    }
    expect(seen).to.deep.equal(Array<string>(5).fill(`200, ${undeclaredBytes} bytes`));
  });
});

describe('a host without memory for responses that are read completely', () => {
  const fixture = new GossipFleetFixture('127.86', {servers: 80});
  let callers: Socket[] = [];

  before(async () => {
    await fixture.start();
  });

  after(async () => {
    for (const socket of callers) {
      socket.destroy();
    }
    await fixture.stop();
  });

  /** Sends requests with small responses; returns how many had which status. */
  async function callSmall(): Promise<Record<string, number>> {
    const statuses: Record<string, number> = {};
    for (let number = 0; number < 20; number += 1) {
      const {status} = await callRaw({host: fixture.hostIp(1), port: 8080, path: '/payment/small'});
      statuses[String(status)] = (statuses[String(status)] ?? 0) + 1;
    }
    return statuses;
  }

  // Guards against servers that are avoided because the host is short of memory.
  it('does not avoid its servers', async () => {
    const reached = new Set<number>();
    fixture.onRequest = (serverNumber, request, response) => {
      if (request.url === '/booking/long') {
        response.writeHead(200, {'content-length': '2000000'});
        response.write(Buffer.alloc(firstPartBytes, 'x'));
        return;
      }
      if (request.url === '/payment/small') {
        reached.add(serverNumber);
        response.end('small');
        return;
      }
      const body = 'y'.repeat(undeclaredBytes);
      response.socket?.end(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${body}`);
    };
    callers = await receiveFirstParts(fixture.hostIp(1));
    const before = await callSmall();
    const refusals: (number | undefined)[] = [];
    for (let number = 0; number < 3; number += 1) {
      const {status} = await callRaw({host: fixture.hostIp(1), port: 8080, path: '/payment'});
      refusals.push(status);
    }
    reached.clear();
    const after = await callSmall();
    expect(
      {before, after},
      `refusals ${refusals.join(', ')}; ${reached.size} servers reached after them`,
    ).to.deep.equal({before: {'200': 20}, after: {'200': 20}});
  });
});
