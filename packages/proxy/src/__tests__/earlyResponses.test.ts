import {connect} from 'node:net';
import {expect} from 'chai';
import {CutOffFleetFixture} from './__fixtures__/cutOffFleetFixture.ts';

/** Size of an upload, in bytes: more than a host buffers. */
const uploadBytes = 2_000_000;
const pieceBytes = 50_000;
/** Pause between two pieces of an upload, in ms, so that it is under way when the response arrives. */
const pieceIntervalMs = 5;
/** Bytes of the body of a response before its connection is reset. */
const responseBytes = [180, 16_385, 65_537, 120_000];
/** Time between the last bytes of a response and the reset, in ms. */
const resetAfterMs = [0, 1, 20];
/** Pause before an upload that reached no server is sent again, in ms. */
const retryMs = 200;
/** Time for which a caller waits, in ms: longer than the timeout of the route. */
const waitMs = 4_000;

describe('a response without a length to an upload that is under way, whose server resets the connection', () => {
  const fixture = new CutOffFleetFixture('127.88', {servers: 16});
  let respondedBytes = 0;
  let afterMs = 0;
  let runs = 0;

  before(async () => {
    fixture.fleet.onRequest = (_serverNumber, request, response) => {
      if (request.method !== 'POST') {
        response.end('ok');
        return;
      }
      runs += 1;
      const {socket} = response;
      socket?.on('error', () => undefined);
      socket?.write(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${'x'.repeat(respondedBytes)}`);
      if (afterMs === 0) {
        socket?.resetAndDestroy();
        return;
      }
      setTimeout(() => socket?.resetAndDestroy(), afterMs);
    };
    await fixture.fleet.start();
  });

  after(async () => {
    await fixture.fleet.stop();
  });

  /** Sends an upload until one reaches a server. */
  async function uploadToServer(httpVersion: string): Promise<{text: string; isOrderly: boolean}> {
    runs = 0;
    for (;;) {
      const received = await upload(httpVersion);
      if (runs > 0) {
        return received;
      }
      await new Promise((resolve) => setTimeout(resolve, retryMs));
    }
  }

  /** Sends an upload; returns what arrived, and whether the connection was closed in order. */
  async function upload(httpVersion: string): Promise<{text: string; isOrderly: boolean}> {
    return new Promise((resolve) => {
      let text = '';
      let isOrderly = true;
      let sentBytes = 0;
      const socket = connect({host: fixture.entryIp, port: 8080, noDelay: true});
      socket.write(
        `POST /payment HTTP/${httpVersion}\r\nhost: a\r\nconnection: close\r\n` +
          `content-length: ${uploadBytes}\r\n\r\n`,
      );
      const pieces = setInterval(() => {
        if (sentBytes < uploadBytes && socket.writable) {
          socket.write('u'.repeat(pieceBytes));
          sentBytes += pieceBytes;
        }
      }, pieceIntervalMs);
      const timeout = setTimeout(() => socket.destroy(), waitMs);
      socket.on('data', (chunk: Buffer) => {
        text += chunk.toString('latin1');
      });
      socket.on('error', () => {
        isOrderly = false;
      });
      socket.on('end', () => {
        // A reset that is read together with the last bytes is reported as an end; only the address of the peer is gone.
        isOrderly &&= socket.remoteAddress !== undefined;
      });
      socket.on('close', () => {
        clearInterval(pieces);
        clearTimeout(timeout);
        resolve({text, isOrderly});
      });
    });
  }

  /** True where a caller takes what arrived for a whole response that is a success. */
  function looksWhole({text, isOrderly}: {text: string; isOrderly: boolean}): boolean {
    const [head = '', ...rest] = text.split('\r\n\r\n');
    const body = rest.join('\r\n\r\n');
    if (!/^HTTP\/1\.[01] 2/.test(head)) {
      return false;
    }
    const length = /content-length: (\d+)/i.exec(head)?.[1];
    if (length !== undefined) {
      return body.length >= Number(length);
    }
    return /transfer-encoding: chunked/i.test(head) ? body.endsWith('0\r\n\r\n') : isOrderly;
  }

  for (const way of ['directly', 'through another host']) {
    describe(`sent to a server ${way}`, () => {
      before(async () => {
        if (way !== 'directly') {
          await fixture.cutOff();
        }
      });

      for (const httpVersion of ['1.1', '1.0']) {
        // Guards against a part of a response that is told as the whole.
        it(`never looks whole to a caller of HTTP/${httpVersion}`, async () => {
          const told: string[] = [];
          for (const bytes of responseBytes) {
            for (const delayMs of resetAfterMs) {
              respondedBytes = bytes;
              afterMs = delayMs;
              const received = await uploadToServer(httpVersion);
              if (looksWhole(received)) {
                told.push(
                  `${bytes} bytes, reset after ${delayMs} ms: ${received.text.slice(0, 80)}`,
                );
              }
            }
          }
          expect(told).to.deep.equal([]);
        }).timeout(60_000);
      }
    });
  }
});
