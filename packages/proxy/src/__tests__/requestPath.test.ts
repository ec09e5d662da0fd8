import type {Socket} from 'node:net';
import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {Agent, request as httpRequest} from 'node:http';
import type {IncomingHttpHeaders, IncomingMessage} from 'node:http';
import {connect} from 'node:net';
import {Readable} from 'node:stream';
import {patternBytes, patternDigest} from '@godwitspring/standins';
import {expect} from 'chai';
import {SingleHostFixture} from './__fixtures__/singleHostFixture.ts';

/** In bytes. */
const mebibyte = 1_048_576;
/** Headers of a request with the key of the test's customer. */
const key = {'x-api-key': 'cafe-key'};

/** Response as a caller received it; `text` is the start of its body. */
interface ReceivedResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly sha256: string;
  readonly text: string;
  /** True where the response broke off before its end. */
  readonly isBroken: boolean;
}

interface SendOptions {
  readonly method?: string;
  readonly headers?: Record<string, string>;
  readonly body?: Readable | string;
  readonly agent?: Agent;
}

async function readResponse(response: IncomingMessage): Promise<ReceivedResponse> {
  const hash = createHash('sha256');
  let text = '';
  let isBroken = false;
  try {
    for await (const chunk of response) {
      hash.update(chunk as Buffer);
      text += text.length < 4_096 ? String(chunk) : '';
    }
  } catch {
    isBroken = true;
  }
  const {headers, statusCode: status = 0} = response;
  return {status, headers, sha256: hash.digest('hex'), text, isBroken};
}

/** Sends a request as a caller of HTTP/1.0; returns all bytes that it got, and whether the connection was reset. */
async function sendAsHttp10(
  origin: string,
  path: string,
): Promise<{readonly text: string; readonly isReset: boolean}> {
  const {hostname, port} = new URL(origin);
  return new Promise((resolve) => {
    let text = '';
    let isReset = false;
    const socket = connect({host: hostname, port: Number(port)});
    socket.write(`GET ${path} HTTP/1.0\r\nHost: ${hostname}\r\nX-Api-Key: cafe-key\r\n\r\n`);
    socket.on('data', (chunk) => {
      text += chunk.toString();
    });
    socket.on('error', () => {
      isReset = true;
    });
    socket.on('end', () => {
      isReset ||= socket.remoteAddress === undefined;
    });
    socket.on('close', () => {
      resolve({text, isReset});
    });
  });
}

/** Sends a request, by default a GET with the customer's key, and reads the response to its end. */
async function send(url: string, options: SendOptions = {}): Promise<ReceivedResponse> {
  const {method = 'GET', headers = key, body, agent} = options;
  return new Promise((resolve, reject) => {
    const outgoing = httpRequest(url, {method, headers, agent}, (response) => {
      void readResponse(response).then(resolve);
    });
    outgoing.on('error', reject);
    if (body instanceof Readable) {
      body.pipe(outgoing);
      return;
    }
    outgoing.end(body);
  });
}

/** Writes raw text to the caller port of a host and returns all that comes back until the connection closes. */
async function sendRaw(host: string, text: string): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(8080, host, () => {
      socket.write(text);
    });
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve(received);
    });
    socket.setTimeout(3_000, () => socket.destroy());
  });
}

describe('the path of a request through one host', () => {
  const fixture = new SingleHostFixture();
  const origin = fixture.hostOrigin;

  before(async () => {
    await fixture.start();
  });

  after(async () => {
    await fixture.stop();
  });

  it('forwards a request body of 48 MiB byte for byte', async () => {
    const size = 48 * mebibyte;
    const headers = {...key, 'content-length': String(size)};
    const body = Readable.from(patternBytes(7, size));
    const {status, text} = await send(`${origin}/media/video`, {method: 'PUT', headers, body});
    expect(status).to.equal(200);
    expect((JSON.parse(text) as {sha256: string}).sha256).to.equal(patternDigest(7, size));
  });

  it('forwards a chunked request body byte for byte', async () => {
    const size = 3 * mebibyte;
    const body = Readable.from(patternBytes(8, size));
    const {text} = await send(`${origin}/media/scan`, {method: 'PUT', body});
    expect((JSON.parse(text) as {sha256: string}).sha256).to.equal(patternDigest(8, size));
  });

  it('forwards a response body of 48 MiB byte for byte', async () => {
    const size = 48 * mebibyte;
    const {sha256, isBroken} = await send(`${origin}/media/video?bytes=${size}&seed=9`);
    expect(isBroken).to.equal(false);
    expect(sha256).to.equal(patternDigest(9, size));
  });

  it('names the customer to the server in place of the key and drops a forged customer header', async () => {
    let seen: IncomingHttpHeaders = {};
    fixture.onCustomRequest = (request, response) => {
      seen = request.headers;
      response.end('ok');
    };
    await send(`${origin}/custom`, {headers: {...key, 'x-customer-id': 'somebody-else'}});
    expect(seen['x-api-key']).to.equal(undefined);
    expect(seen['x-customer-id']).to.equal('cafe');
    expect(Number(seen['x-request-timeout-ms'])).to.be.within(1, 3_000);
  });

  it('drops a forged customer header on a route without keys', async () => {
    const {text} = await send(`${origin}/open`, {headers: {'x-customer-id': 'cafe'}});
    expect((JSON.parse(text) as {customer: unknown}).customer).to.equal(null);
  });

  it('breaks the connection to the caller when the server breaks off a response with a length', async () => {
    fixture.onCustomRequest = (_request, response) => {
      response.writeHead(200, {'content-length': '1000'});
      response.write('half');
      setTimeout(() => response.destroy(), 20);
    };
    const {isBroken} = await send(`${origin}/custom`);
    expect(isBroken).to.equal(true);
  });

  it('breaks the connection to the caller when the server breaks off a chunked response', async () => {
    fixture.onCustomRequest = (_request, response) => {
      response.write('half');
      setTimeout(() => response.destroy(), 20);
    };
    const {isBroken} = await send(`${origin}/custom`);
    expect(isBroken).to.equal(true);
  });

  it('refuses a close-delimited response that the server resets', async () => {
    fixture.onCustomRequest = (_request, response) => {
      const {socket} = response;
      socket?.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf');
      setTimeout(() => (socket as Socket | null)?.resetAndDestroy(), 20);
    };
    const {status, text} = await send(`${origin}/custom`, {method: 'POST'});
    expect(status).to.equal(502);
    expect(text).to.include('"kind":"answer-lost"').and.not.include('half');
  });

  it('breaks the connection to the caller when the server closes its own within a chunked response', async () => {
    fixture.onCustomRequest = (_request, response) => {
      const head = 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n';
      response.socket?.end(`${head}4\r\nhalf\r\n`);
    };
    const {isBroken} = await send(`${origin}/custom`);
    expect(isBroken).to.equal(true);
  });

  it('forwards a complete chunked response with `connection: close`', async () => {
    fixture.onCustomRequest = (_request, response) => {
      const head = 'HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n';
      response.socket?.end(`${head}3\r\nall\r\n0\r\n\r\n`);
    };
    const {isBroken, text} = await send(`${origin}/custom`);
    expect(text).to.equal('all');
    expect(isBroken).to.equal(false);
  });

  // Guards against a killed host whose callers take half of a response without a length for the whole.
  it('sends nothing of a long close-delimited response before its end', async () => {
    const half = 'x'.repeat(100_000);
    let sendRest = (): void => undefined;
    fixture.onCustomRequest = (_request, response) => {
      const {socket} = response;
      socket?.write(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${half}`);
      sendRest = () => socket?.end(half);
    };
    const {hostname, port} = new URL(origin);
    let text = '';
    const caller = connect({host: hostname, port: Number(port)});
    caller.on('data', (chunk) => {
      text += chunk.toString();
    });
    caller.write(`POST /custom HTTP/1.1\r\nHost: ${hostname}\r\nX-Api-Key: cafe-key\r\n\r\n`);
    await new Promise((resolve) => setTimeout(resolve, 300));
    expect(text).to.equal('');
    sendRest();
    await once(caller, 'close');
    expect(text.endsWith(half + half)).to.equal(true);
    expect(text.toLowerCase()).to.not.include('transfer-encoding');
  });

  it('ends a close-delimited response to a caller of HTTP/1.0 by the close of the connection', async () => {
    fixture.onCustomRequest = (_request, response) => {
      response.socket?.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nall');
    };
    const {text, isReset} = await sendAsHttp10(origin, '/custom');
    expect(text).to.match(/^HTTP\/1\.1 200 [^]*connection: close\r\n[^]*\r\nall$/i);
    expect(text.toLowerCase()).to.not.include('transfer-encoding');
    expect(isReset).to.equal(false);
  });

  for (const [end, resetAfterMs, status] of [
    ['reset by its server', 50, 502],
    ['cut at the timeout of its route', 60_000, 504],
  ] as const) {
    it(`sends a caller of HTTP/1.0 nothing of a close-delimited response that is ${end}`, async () => {
      let timer: NodeJS.Timeout | undefined;
      fixture.onCustomRequest = (_request, response) => {
        const {socket} = response;
        socket?.write(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${'x'.repeat(100_000)}`);
        timer = setTimeout(() => (socket as Socket | null)?.resetAndDestroy(), resetAfterMs);
      };
      const {text} = await sendAsHttp10(origin, '/custom');
      clearTimeout(timer);
      expect(text.startsWith(`HTTP/1.1 ${status} `)).to.equal(true);
      expect(text).to.not.include('xxx');
    });

    it(`resets the connection to a caller of HTTP/1.0 where a response in chunks is ${end}`, async () => {
      let timer: NodeJS.Timeout | undefined;
      fixture.onCustomRequest = (_request, response) => {
        const {socket} = response;
        response.write('x'.repeat(100_000));
        timer = setTimeout(() => (socket as Socket | null)?.resetAndDestroy(), resetAfterMs);
      };
      const {isReset} = await sendAsHttp10(origin, '/custom');
      clearTimeout(timer);
      expect(isReset).to.equal(true);
    });
  }

  it('does not forward a response that carries the id of another request', async () => {
    fixture.onCustomRequest = (_request, response) => {
      response.setHeader('x-request-id', 'another');
      response.end('not yours');
    };
    const {status, text} = await send(`${origin}/custom`, {method: 'POST', body: 'x'});
    expect(status).to.equal(502);
    expect(text).to.include('"outcome":"unknown"').and.not.include('not yours');
  });

  it('retries an idempotent request on another server when one cannot be reached', async () => {
    fixture.onCustomRequest = (_request, response) => response.end('up');
    for (let index = 0; index < 10; index += 1) {
      const {status} = await send(`${origin}/half`);
      expect(status).to.equal(200);
    }
  });

  it('reports the outcome of a lost non-idempotent request as unknown and does not retry it', async () => {
    let runs = 0;
    fixture.onCustomRequest = (request) => {
      runs += 1;
      request.socket.destroy();
    };
    const {status, text} = await send(`${origin}/custom`, {method: 'POST', body: 'payment'});
    expect(status).to.equal(502);
    expect(text).to.include('"outcome":"unknown"');
    expect(runs).to.equal(1);
  });

  it('closes the request at the server when the caller disconnects', async () => {
    const ended = new Promise<void>((resolve) => {
      fixture.onCustomRequest = (request) => {
        request.on('close', () => {
          resolve();
        });
      };
    });
    const outgoing = httpRequest(`${origin}/custom`, {headers: key});
    outgoing.on('error', () => undefined);
    outgoing.end();
    setTimeout(() => outgoing.destroy(), 50);
    await ended;
  });

  it('waits for a slow response until the deadline of the caller, also on a reused connection', async () => {
    fixture.onCustomRequest = (_request, response) => {
      setTimeout(() => response.end('late'), 950);
    };
    const headers = {...key, 'x-request-timeout-ms': '1400'};
    for (let round = 0; round < 4; round += 1) {
      const {status, text} = await send(`${origin}/custom`, {headers});
      expect({status, text}).to.deep.equal({status: 200, text: 'late'});
    }
  });

  it('reports the outcome as unknown when the deadline passes', async () => {
    fixture.onCustomRequest = () => undefined;
    const headers = {...key, 'x-request-timeout-ms': '100'};
    const {status, text} = await send(`${origin}/custom`, {headers, method: 'POST', body: 'x'});
    expect(status).to.equal(504);
    expect(text).to.include('"kind":"answer-timeout"').and.include('"outcome":"unknown"');
  });

  it('refuses a body whose declared size is too large, and aborts a chunked one that grows too large', async () => {
    const announced = await send(`${origin}/small`, {method: 'PUT', body: 'x'.repeat(2_000)});
    expect(announced.status).to.equal(413);
    expect(announced.text).to.include('"outcome":"not-run"');
    const body = Readable.from(patternBytes(1, 200_000));
    const chunked = await send(`${origin}/small`, {method: 'PUT', body}).catch(() => undefined);
    expect(chunked?.status ?? 413).to.equal(413);
  });

  it('refuses requests that two HTTP implementations could interpret differently', async () => {
    const conflicting =
      'POST /media/x HTTP/1.1\r\nHost: a\r\nx-api-key: cafe-key\r\n' +
      'Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n';
    expect(await sendRaw(fixture.hostIp, conflicting)).to.match(/^HTTP\/1.1 400/);
    const doubled =
      'POST /media/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde';
    expect(await sendRaw(fixture.hostIp, doubled)).to.match(/^HTTP\/1.1 400/);
    const dotted = 'GET /open/../media/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n';
    expect(await sendRaw(fixture.hostIp, dotted)).to.match(/^HTTP\/1.1 400/);
  });

  it('refuses a request head that is too large', async () => {
    const head = `GET /open HTTP/1.1\r\nHost: a\r\nx-long: ${'y'.repeat(20_000)}\r\n\r\n`;
    expect(await sendRaw(fixture.hostIp, head)).to.match(/^HTTP\/1.1 431/);
  });

  it('refuses a withdrawn key on a connection that is already open', async () => {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    const headers = {'x-api-key': 'old-key'};
    expect((await send(`${origin}/media/1`, {headers, agent})).status).to.equal(200);
    await fixture.publishChange(({customers}) => customers[0]?.keyDigests.pop());
    expect((await send(`${origin}/media/1`, {headers, agent})).status).to.equal(401);
    agent.destroy();
  });

  it('replays the first response to a duplicate request with the same idempotency key', async () => {
    let runs = 0;
    fixture.onCustomRequest = (_request, response) => {
      runs += 1;
      response.end(`run ${runs}`);
    };
    const headers = {...key, 'idempotency-key': 'fee-1'};
    const first = await send(`${origin}/custom`, {method: 'POST', body: 'fee', headers});
    const second = await send(`${origin}/custom`, {method: 'POST', body: 'fee', headers});
    expect(first.text).to.equal('run 1');
    expect(second.text).to.equal('run 1');
    expect(second.headers['idempotent-replay']).to.equal('true');
  });

  // Guards against a replay that declares a response complete whose server did not.
  it('replays a response without a length to a duplicate request as one', async () => {
    fixture.onCustomRequest = (_request, response) => {
      response.socket?.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nrun 1');
    };
    const headers = {...key, 'idempotency-key': 'fee-2'};
    for (const replay of [undefined, 'true']) {
      const received = await send(`${origin}/custom`, {method: 'POST', body: 'fee', headers});
      expect(received.text).to.equal('run 1');
      expect(received.headers['idempotent-replay']).to.equal(replay);
      expect(received.headers['transfer-encoding']).to.equal(undefined);
      expect(received.headers['content-length']).to.equal(undefined);
    }
  });

  it('counts refusals by kind', async () => {
    await send(`${origin}/none`);
    const metrics = (await (await fetch(`${fixture.adminOrigin}/-/metrics`)).json()) as Record<
      string,
      number
    >;
    expect(metrics['request.refused{kind=no-route}']).to.be.at.least(1);
  });

  it('completes running requests when it shuts down, and accepts none afterwards', async () => {
    fixture.onCustomRequest = (_request, response) => {
      setTimeout(() => response.end('late but whole'), 400);
    };
    const running = send(`${origin}/custom`);
    await new Promise((resolve) => setTimeout(resolve, 100));
    const stopped = fixture.stopHost();
    expect((await running).text).to.equal('late but whole');
    await stopped;
    const refused = await send(`${origin}/custom`).catch(() => 'refused');
    expect(refused).to.equal('refused');
  });
});
