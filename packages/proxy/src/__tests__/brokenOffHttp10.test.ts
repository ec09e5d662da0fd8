import {connect} from 'node:net';
import {expect} from 'chai';
import {GossipFleetFixture} from './__fixtures__/gossipFleetFixture.ts';
import {callRaw} from './__fixtures__/rawCaller.ts';

/** Sends two requests of HTTP/1.0 at once on one connection; returns what arrived after the first response. */
async function callTwice(
  host: string,
  paths: readonly [string, string],
): Promise<{bytes: Buffer; wasReset: boolean}> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let wasReset = false;
    const socket = connect({host, port: 8080});
    for (const path of paths) {
      socket.write(`GET ${path} HTTP/1.0\r\nhost: ${host}\r\nconnection: keep-alive\r\n\r\n`);
    }
    socket.on('data', (chunk: Buffer) => chunks.push(chunk));
    socket.on('error', () => {
      wasReset = true;
    });
    socket.on('end', () => {
      wasReset ||= socket.remoteAddress === undefined;
    });
    socket.on('close', () => {
      resolve({bytes: Buffer.concat(chunks), wasReset});
    });
  });
}

describe('a response to HTTP/1.0 that its server breaks off', () => {
  const fixture = new GossipFleetFixture('127.86');

  before(async () => {
    await fixture.start();
  });

  after(async () => {
    await fixture.stop();
  });

  // Guards against an orderly close, which looks like the end, where the response waited behind another of its connection.
  it('is reset behind a pipelined response', async () => {
    fixture.onRequest = (_serverNumber, request, response) => {
      if (request.url === '/lookup/first') {
        setTimeout(() => response.end('first'), 500);
        return;
      }
      response.write(Buffer.alloc(400_000, 'x'));
      setTimeout(() => response.socket?.destroy(), 1_000);
    };
    const {bytes, wasReset} = await callTwice(fixture.hostIp(1), ['/lookup/first', '/booking/x']);
    const text = bytes.toString('latin1');
    const second = text.slice(text.indexOf('HTTP/1.1', 10));
    expect(second.startsWith('HTTP/1.1 200'), text.slice(0, 600)).to.equal(true);
    expect(second.toLowerCase()).to.not.include('content-length');
    expect(wasReset, `${bytes.length} bytes, then an orderly close`).to.equal(true);
  });
});

describe('a response to HTTP/1.0 whose length is dropped', () => {
  const fixture = new GossipFleetFixture('127.86');

  before(async () => {
    await fixture.start();
  });

  after(async () => {
    await fixture.stop();
  });

  // Guards against a length that is dropped as a hop-by-hop field, so that only the close marks the end.
  it('is reset where the server names content-length in its connection header', async () => {
    fixture.onRequest = (_serverNumber, _request, {socket}) => {
      socket?.write(
        'HTTP/1.1 200 OK\r\nconnection: close, content-length\r\ncontent-length: 1000000\r\n\r\n' +
          'x'.repeat(400_000),
      );
      setTimeout(() => socket?.destroy(), 300);
    };
    const {status, end, headers, body} = await callRaw({
      host: fixture.hostIp(1),
      port: 8080,
      path: '/booking',
      httpVersion: '1.0',
    });
    const seen = JSON.stringify([status, [...headers], body.length]);
    expect(end, seen).to.equal('broken');
  });
});
