import {expect} from 'chai';
import {CutOffFleetFixture} from './__fixtures__/cutOffFleetFixture.ts';
import {callRaw} from './__fixtures__/rawCaller.ts';
import type {RawResponse} from './__fixtures__/rawCaller.ts';

const serverBody = 'from-it';
/** Status lines that no response has. */
const badLines = [
  'HTTP/1.1 000 OK',
  'HTTP/1.1 099 OK',
  'HTTP/1.1 600 OK',
  'HTTP/1.1 999 OK',
  'HTTP/1.1 20 OK',
  'HTTP/1.1 2000 OK',
  'HTTP/1.1 +200 OK',
  'HTTP/1.9 200 OK',
  'HTTP/2.0 200 OK',
  'HTTP/0.9 200 OK',
];
/** Pause before a request that reached no server is sent again, in ms. */
const retryMs = 200;

describe('a response with a version or a status that no response has', () => {
  const fixture = new CutOffFleetFixture('127.87', {servers: 16});
  /** Status line with which the servers respond to payments. */
  let line = '';
  let runs = 0;

  before(async () => {
    fixture.fleet.onRequest = (_serverNumber, request, response) => {
      if (request.url !== '/payment') {
        response.end('ok');
        return;
      }
      runs += 1;
      response.socket?.end(`${line}\r\ncontent-length: ${serverBody.length}\r\n\r\n${serverBody}`);
    };
    await fixture.fleet.start();
  });

  after(async () => {
    await fixture.fleet.stop();
  });

  /** The response to a payment that reached a server. */
  async function pay(): Promise<RawResponse> {
    runs = 0;
    for (;;) {
      const response = await callRaw({host: fixture.entryIp, port: 8080, path: '/payment'});
      if (runs > 0) {
        return response;
      }
      await new Promise((resolve) => setTimeout(resolve, retryMs));
    }
  }

  for (const way of ['directly', 'through another host']) {
    describe(`that a host gets ${way}`, () => {
      before(async () => {
        if (way !== 'directly') {
          await fixture.cutOff();
        }
      });

      for (const badLine of badLines) {
        // Guards against a status that callers cannot interpret, told as the server's response.
        it(`is not passed on: ${badLine}`, async () => {
          line = badLine;
          const {status, body} = await pay();
          expect({status, isOfServer: body.includes(serverBody)}).to.deep.equal({
            status: 502,
            isOfServer: false,
          });
        });
      }
    });
  }
});
