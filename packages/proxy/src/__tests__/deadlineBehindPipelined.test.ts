import {connect} from 'node:net';
import {expect} from 'chai';
import {GossipFleetFixture} from './__fixtures__/gossipFleetFixture.ts';

/** Size that fits into the buffers of the sockets, but not together with the second response, in bytes. */
const firstBytes = 3_200_000;
const secondBytes = 1_048_576;
/** Time after which the caller reads on, in ms: after the timeout of the second request, which is 2 s. */
const pauseMs = 3_500;

describe('a response that ends by a close, behind a pipelined one', () => {
  const fixture = new GossipFleetFixture('127.86');

  before(async () => {
    await fixture.start();
  });

  after(async () => {
    await fixture.stop();
  });

  // Guards against an orderly close at the deadline in the middle of a response, which looks like its end.
  it('is reset where its deadline passes while its caller reads slowly', async () => {
    fixture.onRequest = (_serverNumber, request, response) => {
      if (request.url === '/booking/first') {
        setTimeout(() => {
          response.writeHead(200, {'content-length': String(firstBytes)});
          response.end(Buffer.alloc(firstBytes, 'x'));
        }, 500);
        return;
      }
      response.socket?.end(
        Buffer.concat([
          Buffer.from('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n'),
          Buffer.alloc(secondBytes, 'y'),
        ]),
      );
    };
    const host = fixture.hostIp(1);
    const socket = connect({host, port: 8080});
    const chunks: Buffer[] = [];
    let wasReset = false;
    socket.on('error', () => {
      wasReset = true;
    });
    socket.on('end', () => {
      wasReset ||= socket.remoteAddress === undefined;
    });
    socket.on('data', (chunk: Buffer) => {
      chunks.push(chunk);
      if (chunks.length === 1) {
        socket.pause();
        setTimeout(() => socket.resume(), pauseMs);
      }
    });
    const closed = new Promise((resolve) => socket.on('close', resolve));
    for (const path of ['/booking/first', '/payment/second']) {
      socket.write(`GET ${path} HTTP/1.1\r\nhost: ${host}\r\n\r\n`);
    }
    await closed;
    const text = Buffer.concat(chunks).toString('latin1');
    const receivedBytes = /y*$/.exec(text.slice(firstBytes))?.[0].length;
    const isWhole = receivedBytes === secondBytes;
    expect(
      isWhole || wasReset,
      `${String(receivedBytes)} of ${secondBytes} bytes, then an orderly close`,
    ).to.equal(true);
  });
});
