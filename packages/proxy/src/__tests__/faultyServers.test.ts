import {Agent, request as httpRequest} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {expect} from 'chai';
import {SingleHostFixture} from './__fixtures__/singleHostFixture.ts';

/** Headers of a request with the key of the test's customer. */
const key = {'x-api-key': 'cafe-key'};
/** Timeout of the route that the tests use, in ms. */
const routeTimeoutMs = 3_000;
/** Header with the name of a request or attempt. */
const requestIdHeader = 'x-request-id';
/** Header by which a server states that it did not run a request. */
const notRunHeader = 'x-not-run';

/** How a request ended for its caller; `status` is undefined where the connection broke before a response. */
interface CallResult {
  readonly status: number | undefined;
  readonly text: string;
  readonly isBroken: boolean;
  /** True where the response announced that its connection closes. */
  readonly announcesClose: boolean;
  /** Code of the error that ended the request without a response. */
  readonly errorCode: string | undefined;
  readonly durationMs: number;
}

async function call(url: string, agent: Agent): Promise<CallResult> {
  const startedAtMs = performance.now();
  return new Promise((resolve) => {
    let status: number | undefined;
    let text = '';
    let announcesClose = false;
    const end = (isBroken: boolean, errorCode?: string): void => {
      const durationMs = performance.now() - startedAtMs;
      resolve({status, text, isBroken, announcesClose, errorCode, durationMs});
    };
    const outgoing = httpRequest(url, {headers: key, agent}, (response) => {
      status = response.statusCode;
      announcesClose = response.headers.connection === 'close';
      response.on('data', (chunk: Buffer) => {
        text += text.length < 4_096 ? chunk.toString() : '';
      });
      response.on('end', () => {
        end(false);
      });
      response.on('error', () => {
        end(true);
      });
    });
    outgoing.on('error', (error: NodeJS.ErrnoException) => {
      end(true, error.code ?? error.message);
    });
    outgoing.end();
  });
}

/** Responds with the path of the request, and sends the whole response again after a delay. */
function respondTwice(
  incoming: IncomingMessage,
  outgoing: ServerResponse,
  {afterMs, isNameEchoed}: {afterMs: number; isNameEchoed: boolean},
): void {
  const body = incoming.url ?? '';
  const name = String(incoming.headers[requestIdHeader]);
  if (isNameEchoed) {
    outgoing.setHeader(requestIdHeader, name);
  }
  outgoing.setHeader('content-length', body.length);
  const {socket} = outgoing;
  outgoing.end(body);
  setTimeout(() => {
    const echo = isNameEchoed ? `${requestIdHeader}: ${name}\r\n` : '';
    socket?.write(`HTTP/1.1 200 OK\r\n${echo}content-length: ${body.length}\r\n\r\n${body}`);
  }, afterMs);
}

describe('ProxyHost in front of faulty servers', () => {
  const fixture = new SingleHostFixture();
  const url = `${fixture.hostOrigin}/custom`;

  before(async () => {
    await fixture.start();
  });

  after(async () => {
    await fixture.stop();
  });

  /** Sends requests of several callers at once; returns how many responses belonged to another request. */
  async function countForeignResponses(): Promise<{foreign: number; answered: number}> {
    const agent = new Agent({keepAlive: true});
    let foreign = 0;
    let answered = 0;
    const callers = Array.from({length: 8}, async (_, caller) => {
      for (let number = 0; number < 25; number += 1) {
        const path = `/${caller}-${number}`;
        const {status, text} = await call(url + path, agent);
        answered += status === 200 ? 1 : 0;
        foreign += status === 200 && text !== `/custom${path}` ? 1 : 0;
      }
    });
    await Promise.all(callers);
    agent.destroy();
    return {foreign, answered};
  }

  it('passes on no second copy of a response that arrives after the connection was released', async () => {
    fixture.onCustomRequest = (incoming, outgoing) => {
      respondTwice(incoming, outgoing, {afterMs: 10, isNameEchoed: false});
    };
    const {foreign, answered} = await countForeignResponses();
    expect(foreign).to.equal(0);
    expect(answered).to.be.above(100);
  });

  it('passes on no response to another request, whenever it arrives, where servers echo the request id', async () => {
    await fixture.publishChange((document) => {
      for (const backend of document.backends) {
        backend.echoesRequestId = backend.id === 'custom';
      }
    });
    for (const afterMs of [0, 30, 60]) {
      fixture.onCustomRequest = (incoming, outgoing) => {
        respondTwice(incoming, outgoing, {afterMs, isNameEchoed: true});
      };
      expect((await countForeignResponses()).foreign, `${afterMs} ms`).to.equal(0);
    }
    fixture.onCustomRequest = (_incoming, outgoing) => {
      outgoing.end('no echo');
    };
    const agent = new Agent();
    expect((await call(url, agent)).status).to.equal(502);
    agent.destroy();
    await fixture.publishChange((document) => {
      for (const backend of document.backends) {
        backend.echoesRequestId = false;
      }
    });
  });

  it('ends a request early whose server sends interim responses without end', async () => {
    const timers: NodeJS.Timeout[] = [];
    fixture.onCustomRequest = (_incoming, outgoing) => {
      timers.push(
        setInterval(() => {
          outgoing.socket?.write('HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n');
        }, 5),
      );
    };
    const agent = new Agent();
    const {status, durationMs} = await call(url, agent);
    for (const timer of timers) {
      clearInterval(timer);
    }
    agent.destroy();
    expect(status).to.equal(502);
    expect(durationMs).to.be.below(routeTimeoutMs);
  });

  // Guards against a part of a response that looks like the whole: without a length, nothing may be sent before its end.
  it('refuses a response without end and without a length before the timeout of its route, and closes the connection', async () => {
    let isServerConnectionClosed = false;
    fixture.onCustomRequest = (_incoming, outgoing) => {
      outgoing.useChunkedEncodingByDefault = false;
      const timer = setInterval(() => {
        outgoing.write(Buffer.alloc(16_384, 'x'));
      }, 2);
      outgoing.on('close', () => {
        clearInterval(timer);
        isServerConnectionClosed = true;
      });
    };
    const agent = new Agent();
    const {status, text, isBroken} = await call(url, agent);
    agent.destroy();
    expect({status, isBroken}).to.deep.equal({status: 502, isBroken: false});
    expect(text).to.include('"kind":"answer-too-large"');
    await new Promise((resolve) => setTimeout(resolve, 100));
    expect(isServerConnectionClosed).to.equal(true);
  });

  for (const framing of ['in chunks', 'with a length']) {
    // Guards against a part of a response that looks like the whole, because its route's timeout ended it in order.
    it(`breaks off a response without end ${framing} visibly at the timeout of its route, and closes the connection`, async () => {
      let isServerConnectionClosed = false;
      fixture.onCustomRequest = (_incoming, outgoing) => {
        if (framing === 'with a length') {
          outgoing.setHeader('content-length', 1_000_000_000);
        }
        const chunk = Buffer.alloc(16_384, 'x');
        const timer = setInterval(() => {
          outgoing.write(chunk);
        }, 2);
        outgoing.on('close', () => {
          clearInterval(timer);
          isServerConnectionClosed = true;
        });
      };
      const agent = new Agent();
      const {status, isBroken} = await call(url, agent);
      agent.destroy();
      expect({status, isBroken}).to.deep.equal({status: 200, isBroken: true});
      await new Promise((resolve) => setTimeout(resolve, 100));
      expect(isServerConnectionClosed).to.equal(true);
    });
  }

  // Guards against "not run" for a request that ran while its server sent an earlier refusal again.
  it('takes no second copy of a refusal for the response to a later request', async () => {
    const refusal = `HTTP/1.1 503 Busy\r\n${notRunHeader}: 1\r\ncontent-length: 0\r\n\r\n`;
    const refusedSockets = new Set<Socket>();
    let isRefusing = true;
    let runs = 0;
    fixture.onCustomRequest = ({socket}, outgoing) => {
      if (isRefusing) {
        refusedSockets.add(socket);
        socket.write(refusal);
      } else if (refusedSockets.has(socket)) {
        runs += 1;
        socket.write(refusal);
      } else {
        outgoing.end('done');
      }
    };
    const agent = new Agent({keepAlive: true});
    expect((await call(url, agent)).status).to.equal(503);
    isRefusing = false;
    // Longer than a connection rests before it is used again.
    await new Promise((resolve) => setTimeout(resolve, 200));
    const {status} = await call(url, agent);
    agent.destroy();
    expect({status, runs}).to.deep.equal({status: 200, runs: 0});
  });

  // Guards against a broken response head that reaches the caller as a complete success.
  it('passes on no success whose head broke off', async () => {
    const interim = 'HTTP/1.1 103 Early Hints\r\nlink: </x>\r\n\r\n';
    const heads = [
      'HTTP/1.1 200 OK\r\ncontent-length: 10\r\nx-more: 1\r\n\r\n',
      'HTTP/1.1 200 OK\r\nconnection: close\r\nx-more: 1\r\n\r\n',
      'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n',
      'HTTP/1.0 200 OK\r\nx-more: 1\r\n\r\n',
    ];
    const agent = new Agent();
    for (const head of heads.flatMap((text) => [text, interim + text])) {
      const start = head.startsWith(interim) ? interim.length : 0;
      for (let length = start; length < head.length; length += 1) {
        fixture.onCustomRequest = ({socket}) => {
          socket.end(head.slice(0, length));
        };
        const {status} = await call(url, agent);
        expect(status, JSON.stringify(head.slice(0, length))).to.be.oneOf([502, 504]);
      }
    }
    agent.destroy();
  });

  it('cuts no request on a kept connection when it shuts down under load', async () => {
    fixture.onCustomRequest = (_incoming, outgoing) => {
      setTimeout(() => {
        outgoing.end('done');
      }, 4);
    };
    const errorCodes: string[] = [];
    const callers = Array.from({length: 20}, async () => {
      const agent = new Agent({keepAlive: true, maxSockets: 1});
      // A caller uses its connection until a response announces that the connection closes.
      for (let isOpen = true; isOpen;) {
        const {errorCode, announcesClose} = await call(url, agent);
        if (errorCode !== undefined) {
          errorCodes.push(errorCode);
        }
        isOpen = errorCode === undefined && !announcesClose;
      }
      agent.destroy();
    });
    await new Promise((resolve) => setTimeout(resolve, 300));
    await fixture.stopHost();
    await Promise.all(callers);
    expect(errorCodes).to.deep.equal([]);
  });
});
