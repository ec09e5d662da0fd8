import {Agent, request as httpRequest} from 'node:http';
import type {IncomingHttpHeaders} from 'node:http';
import {expect} from 'chai';
import {GossipFleetFixture} from './__fixtures__/gossipFleetFixture.ts';

/** Bodies up to this size are sent on at once, in bytes. */
const maxBytesSentAtOnce = 16_384;

/** A response as its caller got it. */
interface ReceivedResponse {
  readonly headers: IncomingHttpHeaders;
  readonly bytes: number;
  readonly isComplete: boolean;
}

async function get(url: string, agent: Agent): Promise<ReceivedResponse> {
  return new Promise((resolve, reject) => {
    const outgoing = httpRequest(url, {agent}, (response) => {
      let bytes = 0;
      response.on('data', (chunk: Buffer) => {
        bytes += chunk.length;
      });
      response.on('close', () => {
        resolve({headers: response.headers, bytes, isComplete: response.complete});
      });
    });
    outgoing.on('error', reject);
    outgoing.end();
  });
}

describe('a response that its server ends by closing the connection', () => {
  const fixture = new GossipFleetFixture('127.70');
  const agent = new Agent({keepAlive: true});
  let bodyBytes = 0;

  before(async () => {
    fixture.onRequest = (_serverNumber, _request, response) => {
      response.socket?.end(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${'x'.repeat(bodyBytes)}`);
    };
    await fixture.start();
  });

  after(async () => {
    agent.destroy();
    await fixture.stop();
  });

  // Guards against chunks that declare a response complete whose server broke down: nobody can tell that from its end.
  it('ends the same way for the caller where its body is sent at once', async () => {
    for (const bytes of [0, 1, maxBytesSentAtOnce]) {
      bodyBytes = bytes;
      const received = await get(`${fixture.origin(1)}/lookup`, agent);
      expect(received.bytes).to.equal(bytes);
      expect(received.isComplete).to.equal(true);
      expect(received.headers['transfer-encoding'], `${bytes} bytes`).to.equal(undefined);
      expect(received.headers['content-length'], `${bytes} bytes`).to.equal(undefined);
      expect(received.headers.connection).to.equal('close');
    }
  });

  // Guards against a killed host whose callers take half of a response for the whole.
  it('goes on in chunks where its body is longer', async () => {
    for (const bytes of [maxBytesSentAtOnce + 1, 300_000, 1_000_000]) {
      bodyBytes = bytes;
      const received = await get(`${fixture.origin(1)}/lookup`, agent);
      expect(received.bytes).to.equal(bytes);
      expect(received.isComplete).to.equal(true);
      expect(received.headers['transfer-encoding'], `${bytes} bytes`).to.equal('chunked');
      expect(received.headers.connection).to.equal('keep-alive');
    }
  });
});
