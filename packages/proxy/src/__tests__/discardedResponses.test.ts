import type {Socket} from 'node:net';
import {expect} from 'chai';
import {GossipFleetFixture} from './__fixtures__/gossipFleetFixture.ts';
import {callRaw} from './__fixtures__/rawCaller.ts';

/** One byte more than a host reads before it passes a response on, so that it waits for the next byte afterwards. */
const sentBytes = 262_145;

describe('a response that is discarded, as its request is sent to another server', () => {
  const fixture = new GossipFleetFixture('127.86', {servers: 6});

  before(async () => {
    await fixture.start();
  });

  after(async () => {
    await fixture.stop();
  });

  // Guards against connections that stay open until their server sends more, which it may never do.
  it('leaves no connection open where its server has become silent', async () => {
    const failed: Socket[] = [];
    let requests = 0;
    fixture.onRequest = (_serverNumber, _request, response) => {
      requests += 1;
      if (requests > 1) {
        response.end('ok');
        return;
      }
      if (response.socket !== null) {
        failed.push(response.socket);
      }
      response.writeHead(500, {'content-length': '1000000'});
      response.write(Buffer.alloc(sentBytes, 'x'));
    };
    const {status} = await callRaw({host: fixture.hostIp(1), port: 8080, path: '/lookup'});
    await new Promise((resolve) => setTimeout(resolve, 4_000));
    const open = failed.filter(({destroyed}) => !destroyed).length;
    expect({status, requests, failed: failed.length, open}).to.deep.equal({
      status: 200,
      requests: 2,
      failed: 1,
      open: 0,
    });
  });
});
