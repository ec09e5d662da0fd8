import {connect} from 'node:net';
import {expect} from 'chai';
import {GossipFleetFixture} from './__fixtures__/gossipFleetFixture.ts';

/** Size that fits into the buffers of the sockets, but not together with the second response, in bytes. */
const firstBytes = 3_000_000;
const secondBytes = 1_048_576;

for (const framing of ['content-length: ' + String(secondBytes), 'connection: close']) {
  describe(`a planned stop while a caller reads slowly, before a response with ${framing}`, () => {
    const fixture = new GossipFleetFixture('127.86', {graceMs: 1_500});

    before(async () => {
      await fixture.start();
    });

    // Guards against a reset that drops a complete response that was sent before the one that is broken off.
    it('does not cut the complete response before it', async () => {
      fixture.onRequest = (_serverNumber, request, response) => {
        if (request.url === '/booking/first') {
          response.writeHead(200, {'content-length': String(firstBytes)});
          response.end(Buffer.alloc(firstBytes, 'x'));
          return;
        }
        response.socket?.end(
          Buffer.concat([
            Buffer.from(`HTTP/1.1 200 OK\r\n${framing}\r\n\r\n`),
            Buffer.alloc(secondBytes, 'y'),
          ]),
        );
      };
      const host = fixture.hostIp(1);
      const socket = connect({host, port: 8080});
      let isFirst = true;
      let received = '';
      socket.on('error', () => undefined);
      socket.on('data', (chunk: Buffer) => {
        received += chunk.toString('latin1');
        if (isFirst) {
          isFirst = false;
          socket.pause();
        }
      });
      const closed = new Promise((resolve) => socket.on('close', resolve));
      for (const path of ['first', 'second']) {
        socket.write(`GET /booking/${path} HTTP/1.1\r\nhost: ${host}\r\n\r\n`);
      }
      await new Promise((resolve) => setTimeout(resolve, 500));
      await fixture.stop();
      socket.resume();
      await closed;
      const body = received.slice(received.indexOf('\r\n\r\n') + 4);
      const bytes = /^x*/.exec(body)?.[0].length;
      expect(bytes).to.equal(firstBytes);
    });
  });
}
