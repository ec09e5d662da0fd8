import type {Socket} from 'node:net';
import {expect} from 'chai';
import {GossipFleetFixture} from './__fixtures__/gossipFleetFixture.ts';
import {callRaw} from './__fixtures__/rawCaller.ts';
import type {RawCallOptions, RawResponse} from './__fixtures__/rawCaller.ts';

/** Largest body without a declared end that is passed on, in bytes. */
const maxUndeclaredBytes = 1_048_576;
/** Sizes below and above what a socket, a pipe or a host takes at once, in bytes. */
const sizesBytes = [
  900, 16_384, 16_385, 40_000, 65_536, 65_537, 200_000, 262_144, 262_145, 900_000,
];

/** A host before one server whose responses a test writes to the socket. */
class RawServerFixture {
  respond: (socket: Socket) => void = () => undefined;
  readonly #fleet: GossipFleetFixture;

  constructor(subnet: string) {
    this.#fleet = new GossipFleetFixture(subnet);
    this.#fleet.onRequest = (_serverNumber, _request, {socket}) => {
      if (socket !== null) {
        this.respond(socket);
      }
    };
  }

  async start(): Promise<void> {
    await this.#fleet.start();
  }

  async stop(): Promise<void> {
    await this.#fleet.stop();
  }

  async call(options: Partial<RawCallOptions> = {}): Promise<RawResponse> {
    return callRaw({host: this.#fleet.hostIp(1), port: 8080, path: '/payment', ...options});
  }
}

describe('a response whose end its server does not declare', () => {
  const fixture = new RawServerFixture('127.71');

  before(async () => {
    await fixture.start();
  });

  after(async () => {
    await fixture.stop();
  });

  // Guards against a last chunk that declares a part of a body complete because its server closed the connection.
  for (const coding of ['no coding', 'identity']) {
    it(`is declared complete by neither chunks nor a length, with ${coding}`, async () => {
      const field = coding === 'identity' ? 'transfer-encoding: identity\r\n' : '';
      for (const bytes of [0, 1, ...sizesBytes, maxUndeclaredBytes]) {
        fixture.respond = (socket) => {
          socket.end(`HTTP/1.1 200 OK\r\n${field}connection: close\r\n\r\n${'x'.repeat(bytes)}`);
        };
        const {status, end, body} = await fixture.call();
        expect({status, end, bytes: body.length}).to.deep.equal({
          status: 200,
          end: 'closed',
          bytes,
        });
      }
    });
  }

  // Guards against a reset that is read together with the last bytes and reported as the end of the stream.
  for (const head of [
    'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n',
    'HTTP/1.0 200 OK\r\n\r\n',
    'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 1000000\r\n\r\n',
    'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\nf4240\r\n',
  ]) {
    it(`is no success where its server resets the connection with its last bytes: ${JSON.stringify(head)}`, async () => {
      for (const bytes of sizesBytes) {
        fixture.respond = (socket) => {
          socket.write(head + 'x'.repeat(bytes));
          socket.resetAndDestroy();
        };
        const {status, end} = await fixture.call();
        const isSuccess = status === 200 && end !== 'broken';
        expect(isSuccess, `${bytes} bytes, ${String(status)}, ${end}`).to.equal(false);
      }
    });
  }

  // Guards against a host that keeps a part of a response, and sends it as the whole when it stops.
  it('reaches its caller only as a whole where the host stops in the meantime', async () => {
    fixture.respond = (socket) => {
      socket.write(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${'x'.repeat(100_000)}`);
    };
    const response = fixture.call({path: '/booking'});
    await new Promise((resolve) => setTimeout(resolve, 200));
    await fixture.stop();
    const {status, body} = await response;
    expect(status).to.not.equal(200);
    expect(body.includes('xxx')).to.equal(false);
  });
});

for (const [end, kind, subnet] of [
  ['closes the connection', /answer-too-large/, '127.73'],
  // By how fast it sends.
  ['goes on sending', /answer-(too-large|malformed)/, '127.74'],
] as const) {
  describe(`a response without a declared end that is too large and whose server ${end}`, () => {
    const fixture = new RawServerFixture(subnet);

    before(async () => {
      await fixture.start();
    });

    after(async () => {
      await fixture.stop();
    });

    // Guards against bytes without end that are held for a caller, or passed on until the timeout of the route.
    it('is refused, and its connection closed', async () => {
      let isServerConnectionClosed = false;
      fixture.respond = (socket) => {
        socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n');
        socket.on('error', () => undefined);
        socket.on('close', () => {
          isServerConnectionClosed = true;
        });
        if (end === 'closes the connection') {
          socket.end(Buffer.alloc(maxUndeclaredBytes + 1));
          return;
        }
        const send = (): void => {
          while (!socket.destroyed && socket.write(Buffer.alloc(65_536))) {
            // Until the socket takes no more.
          }
        };
        socket.on('drain', send);
        send();
      };
      const {status, end: received, body} = await fixture.call();
      expect({status, received}).to.deep.equal({status: 502, received: 'declared'});
      expect(body.toString()).to.match(kind);
      await new Promise((resolve) => setTimeout(resolve, 100));
      expect(isServerConnectionClosed).to.equal(true);
    });
  });
}

describe('a response to a caller of HTTP/1.0', () => {
  const fixture = new GossipFleetFixture('127.72', {graceMs: 1_500});

  before(async () => {
    await fixture.start();
  });

  after(async () => {
    await fixture.stop();
  });

  async function call(path: string): Promise<RawResponse> {
    return callRaw({host: fixture.hostIp(1), port: 8080, path, httpVersion: '1.0'});
  }

  // Guards against a short response whose declared end is lost, so that a break looks like the end.
  it('has a length where its server declared the end and the host has read it', async () => {
    fixture.onRequest = (_serverNumber, _request, response) => {
      response.write('first');
      response.end('last');
    };
    const {status, headers, body, end} = await call('/payment');
    expect({status, end, text: body.toString()}).to.deep.equal({
      status: 200,
      end: 'declared',
      text: 'firstlast',
    });
    expect(headers.get('content-length')).to.equal('9');
  });

  // Guards against an orderly close in the middle of a response when the host stops; the last test, as it is final.
  it('is reset where the host stops in the middle of it', async () => {
    fixture.onRequest = (_serverNumber, _request, response) => {
      const timer = setInterval(() => response.write(Buffer.alloc(65_536)), 10);
      response.on('close', () => {
        clearInterval(timer);
      });
    };
    const response = call('/booking');
    await new Promise((resolve) => setTimeout(resolve, 300));
    await fixture.stop();
    const {status, end} = await response;
    expect({status, end}).to.deep.equal({status: 200, end: 'broken'});
  });
});
