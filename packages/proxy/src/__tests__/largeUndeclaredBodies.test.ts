import {expect} from 'chai';
import {GossipFleetFixture} from './__fixtures__/gossipFleetFixture.ts';
import {callRaw} from './__fixtures__/rawCaller.ts';

/** One byte more than a host reads of a response without a declared end. */
const largeBytes = 1_048_577;

describe('servers with responses without a declared end that are too large', () => {
  const fixture = new GossipFleetFixture('127.86', {servers: 6});

  before(async () => {
    await fixture.start();
  });

  after(async () => {
    await fixture.stop();
  });

  async function call(path: string): Promise<number | undefined> {
    return (await callRaw({host: fixture.hostIp(1), port: 8080, path})).status;
  }

  // Guards against sound servers that are avoided because this host refuses one kind of their responses.
  it('still get the other requests', async () => {
    const reached = new Set<number>();
    fixture.onRequest = (serverNumber, request, response) => {
      if (request.url === '/payment/small') {
        reached.add(serverNumber);
        response.end('small');
        return;
      }
      response.socket?.end(
        Buffer.concat([
          Buffer.from('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n'),
          Buffer.alloc(largeBytes, 'x'),
        ]),
      );
    };
    const small = async (): Promise<(number | undefined)[]> => {
      const statuses: (number | undefined)[] = [];
      for (let number = 0; number < 12; number += 1) {
        statuses.push(await call('/payment/small'));
      }
      return statuses;
    };
    const before = await small();
    const large: (number | undefined)[] = [];
    for (let number = 0; number < 6; number += 1) {
      large.push(await call('/payment/large'));
    }
    reached.clear();
    const after = await small();
    expect(
      {before, after},
      `large: ${large.join(', ')}; ${reached.size} of 6 servers reached`,
    ).to.deep.equal({before: Array<number>(12).fill(200), after: Array<number>(12).fill(200)});
  });
});
