import type {IncomingMessage} from 'node:http';
import {connect} from 'node:net';
import type {Socket} from 'node:net';
import {expect} from 'chai';
import {dialTcp} from '../backends/serverConnectionPool.ts';
import {GossipFleetFixture} from './__fixtures__/gossipFleetFixture.ts';

const subnet = '127.83';
/** Host that gets the requests; it may be cut off from the servers. */
const entryHost = 1;
/** Port on which nothing listens. */
const closedPort = 1;
const callerPort = 8080;
/** Time after which a server ends its connection, in ms. */
const endAfterMs = 30;
/** Time for which the caller waits for bytes that belong to no request, in ms. */
const strayWaitMs = 60;
/** Time after which a caller repeats a request that the host refused without running it, in ms. */
const refusedRetryMs = 200;
/** Longest wait of the caller for a response, in ms: above the timeout of the routes. */
const responseTimeoutMs = 4_000;

/** What a server does with its connection after it sent its bytes. */
type Ending = 'stay open' | 'close' | 'reset' | 'reset at once';

/**
 * What a caller may be told of a response:
 * - `whole`: exactly this body was declared by the server, so it is complete, or the response is refused;
 * - `to the close`: the server declared no end, so no length and no last chunk may reach the caller;
 * - `broken`: no success that looks complete.
 */
type Allowed =
  | {readonly verdict: 'whole' | 'to the close'; readonly body: string}
  | {readonly verdict: 'broken'};

/** A response of a server, byte for byte. */
interface FramingCase {
  readonly name: string;
  readonly method?: string;
  readonly bytes: string;
  readonly ending: Ending;
  readonly allowed: Allowed;
  /** True for a correct response that a host may not refuse. Default: false. */
  readonly mustPass?: boolean;
}

/** How a caller saw a response, read by the rules of RFC 9112, section 6.3. */
interface SeenResponse {
  readonly status: number | undefined;
  readonly framing: 'no body' | 'length' | 'chunks' | 'close' | 'none';
  readonly isComplete: boolean;
  readonly body: string;
  readonly head: string;
  /** Bytes that followed the response on its connection without a request. */
  readonly strayBytes: string;
  /** Body of the response to the next request; undefined where the connection was closed before. */
  readonly nextBody: string | undefined;
  readonly durationMs: number;
}

const whole = (body: string): Allowed => ({verdict: 'whole', body});
const toTheClose = (body: string): Allowed => ({verdict: 'to the close', body});
const broken: Allowed = {verdict: 'broken'};

const ok = 'HTTP/1.1 200 OK\r\n';
const close = 'connection: close\r\n';
const chunked = 'transfer-encoding: chunked\r\n';
const helloChunks = '5\r\nhello\r\n0\r\n\r\n';

/** Responses whose heads name two framings, or one that is no HTTP/1.1. */
const headCases: FramingCase[] = [
  {
    name: 'a length and chunks',
    bytes: `${ok}content-length: 5\r\n${chunked}\r\n${helloChunks}`,
    ending: 'stay open',
    allowed: whole('hello'),
  },
  {
    name: 'chunks and a length',
    bytes: `${ok}${chunked}content-length: 5\r\n\r\n${helloChunks}`,
    ending: 'stay open',
    allowed: whole('hello'),
  },
  {
    name: 'transfer-encoding: identity',
    bytes: `${ok}${close}transfer-encoding: identity\r\n\r\nhello`,
    ending: 'close',
    allowed: toTheClose('hello'),
  },
  {
    name: 'transfer-encoding: identity and a length',
    bytes: `${ok}${close}transfer-encoding: identity\r\ncontent-length: 9\r\n\r\nhello`,
    ending: 'close',
    allowed: toTheClose('hello'),
  },
  {
    name: 'transfer-encoding: gzip',
    bytes: `${ok}${close}transfer-encoding: gzip\r\n\r\nhello`,
    ending: 'close',
    allowed: broken,
  },
  {
    name: 'transfer-encoding: gzip, chunked',
    bytes: `${ok}transfer-encoding: gzip, chunked\r\n\r\n${helloChunks}`,
    ending: 'stay open',
    allowed: broken,
  },
  {
    name: 'transfer-encoding: gzip and transfer-encoding: chunked',
    bytes: `${ok}transfer-encoding: gzip\r\n${chunked}\r\n${helloChunks}`,
    ending: 'stay open',
    allowed: broken,
  },
  {
    name: 'transfer-encoding: chunked, identity',
    bytes: `${ok}${close}transfer-encoding: chunked, identity\r\n\r\n${helloChunks}`,
    ending: 'close',
    allowed: broken,
  },
  {
    name: 'transfer-encoding: chunked, chunked',
    bytes: `${ok}${close}transfer-encoding: chunked, chunked\r\n\r\n${helloChunks}`,
    ending: 'close',
    allowed: broken,
  },
  {
    name: 'transfer-encoding: xchunked',
    bytes: `${ok}${close}transfer-encoding: xchunked\r\n\r\n${helloChunks}`,
    ending: 'close',
    allowed: broken,
  },
  {
    name: 'HTTP/1.0 with chunks',
    bytes: `HTTP/1.0 200 OK\r\n${chunked}\r\n${helloChunks}`,
    ending: 'close',
    allowed: whole('hello'),
  },
  {
    name: 'HTTP/1.0 with chunks, cut',
    bytes: `HTTP/1.0 200 OK\r\n${chunked}\r\n5\r\nhello\r\n`,
    ending: 'close',
    allowed: broken,
  },
  {
    name: 'two different lengths',
    bytes: `${ok}content-length: 5\r\ncontent-length: 6\r\n\r\nhello!`,
    ending: 'stay open',
    allowed: broken,
  },
  {
    name: 'two equal lengths',
    bytes: `${ok}content-length: 5\r\ncontent-length: 5\r\n\r\nhello`,
    ending: 'stay open',
    allowed: whole('hello'),
  },
  {
    name: 'a list of equal lengths',
    bytes: `${ok}content-length: 5, 5\r\n\r\nhello`,
    ending: 'stay open',
    allowed: whole('hello'),
  },
  ...['-5', '+5', '0x5', '5 5', '5.0', '', '18446744073709551621', '5\t5', '٥'].map(
    (length): FramingCase => ({
      name: `content-length: ${JSON.stringify(length)}`,
      bytes: `${ok}${close}content-length: ${length}\r\n\r\nhello`,
      ending: 'close',
      allowed: broken,
    }),
  ),
  {
    name: 'a space before the colon of a length',
    bytes: `${ok}${close}content-length : 5\r\n\r\nhello world`,
    ending: 'close',
    allowed: broken,
  },
  {
    name: 'a folded header line',
    bytes: `${ok}x-note: a\r\n b\r\ncontent-length: 5\r\n\r\nhello`,
    ending: 'stay open',
    allowed: whole('hello'),
  },
  {
    name: 'a folded length',
    bytes: `${ok}${close}content-length:\r\n 5\r\n\r\nhello world`,
    ending: 'close',
    allowed: whole('hello'),
  },
  {
    name: 'chunks in a folded line',
    bytes: `${ok}${close}transfer-encoding:\r\n chunked\r\n\r\n${helloChunks}`,
    ending: 'close',
    allowed: whole('hello'),
  },
  {
    name: 'lines that end with a bare LF',
    bytes: 'HTTP/1.1 200 OK\ncontent-length: 5\n\nhello',
    ending: 'stay open',
    allowed: whole('hello'),
  },
];

/** Responses whose bodies do not match their framing. */
const bodyCases: FramingCase[] = [
  ...(['close', 'reset', 'reset at once', 'stay open'] as const).flatMap(
    (ending): FramingCase[] => [
      {
        name: 'a length larger than the body',
        bytes: `${ok}content-length: 9\r\n\r\nhello`,
        ending,
        allowed: broken,
      },
      {
        name: 'a length larger than the body, with connection: close',
        bytes: `${ok}${close}content-length: 9\r\n\r\nhello`,
        ending,
        allowed: broken,
      },
      {
        name: 'chunks without the last one',
        bytes: `${ok}${chunked}\r\n5\r\nhello\r\n`,
        ending,
        allowed: broken,
      },
      {
        name: 'chunks cut within the last one, with connection: close',
        bytes: `${ok}${close}${chunked}\r\n5\r\nhello\r\n0\r\n`,
        ending,
        allowed: broken,
      },
      {
        name: 'a length smaller than the body',
        bytes: `${ok}content-length: 5\r\n\r\nhello world`,
        ending,
        allowed: whole('hello'),
      },
      {
        name: 'bytes behind the last chunk',
        bytes: `${ok}${chunked}\r\n${helloChunks}${ok}content-length: 5\r\n\r\nworld`,
        ending,
        allowed: whole('hello'),
      },
    ],
  ),
  {
    name: 'neither a length nor chunks',
    bytes: `${ok}\r\nhello`,
    ending: 'close',
    allowed: toTheClose('hello'),
  },
  {
    name: 'neither a length nor chunks',
    bytes: `${ok}\r\nhello`,
    ending: 'reset',
    allowed: broken,
  },
  {
    name: 'neither a length nor chunks',
    bytes: `${ok}\r\nhello`,
    ending: 'reset at once',
    allowed: broken,
  },
  {
    name: 'neither a length nor chunks, 100,000 bytes',
    bytes: `${ok}\r\n${'x'.repeat(100_000)}`,
    ending: 'close',
    allowed: toTheClose('x'.repeat(100_000)),
  },
  ...['+5', '-5', '0x5', 'fffffffffffffffff5', '100000000000000005', '', ' 5', '5 '].map(
    (size): FramingCase => ({
      name: `the chunk size ${JSON.stringify(size)}`,
      bytes: `${ok}${chunked}\r\n${size}\r\nhello\r\n0\r\n\r\n`,
      ending: 'close',
      allowed: size === '5 ' ? whole('hello') : broken,
    }),
  ),
  {
    name: 'a chunk size with an extension',
    bytes: `${ok}${chunked}\r\n5;a="b"\r\nhello\r\n0\r\n\r\n`,
    ending: 'stay open',
    allowed: whole('hello'),
  },
  {
    name: 'a chunk longer than its size',
    bytes: `${ok}${chunked}\r\n4\r\nhello\r\n0\r\n\r\n`,
    ending: 'close',
    allowed: broken,
  },
  {
    name: 'a chunk that ends with a bare LF',
    bytes: `${ok}${chunked}\r\n5\nhello\n0\n\n`,
    ending: 'close',
    allowed: whole('hello'),
  },
  {
    name: 'trailers',
    bytes: `${ok}${chunked}\r\n5\r\nhello\r\n0\r\nx-sum: 1\r\n\r\n`,
    ending: 'stay open',
    allowed: whole('hello'),
  },
  {
    name: 'a length in trailers',
    bytes: `${ok}${chunked}\r\n5\r\nhello\r\n0\r\ncontent-length: 3\r\n\r\n`,
    ending: 'stay open',
    allowed: whole('hello'),
  },
  {
    name: 'trailers that are cut',
    bytes: `${ok}${close}${chunked}\r\n5\r\nhello\r\n0\r\nx-sum: 1\r\n`,
    ending: 'close',
    allowed: broken,
  },
];

const noContent = 'HTTP/1.1 204 No Content\r\n';
const notModified = 'HTTP/1.1 304 Not Modified\r\n';
const resetContent = 'HTTP/1.1 205 Reset Content\r\n';

/** Responses that have no body by their status or their request's method. */
const bodylessCases: FramingCase[] = [
  {name: '204', bytes: `${noContent}\r\n`, ending: 'stay open', allowed: whole('')},
  {
    name: '204 with a length and a body',
    bytes: `${noContent}content-length: 5\r\n\r\nhello`,
    ending: 'stay open',
    allowed: whole(''),
  },
  {
    name: '204 with chunks',
    bytes: `${noContent}${chunked}\r\n${helloChunks}`,
    ending: 'stay open',
    allowed: whole(''),
  },
  {
    name: '204 with a length of 0',
    bytes: `${noContent}content-length: 0\r\n\r\n`,
    ending: 'stay open',
    allowed: whole(''),
  },
  {name: '304', bytes: `${notModified}\r\n`, ending: 'stay open', allowed: whole('')},
  {
    // RFC 9110, section 8.6: the length that a response with status 200 would have had.
    name: '304 with the length of the resource',
    bytes: `${notModified}content-length: 5\r\n\r\n`,
    ending: 'stay open',
    allowed: whole(''),
    mustPass: true,
  },
  {
    name: '304 with a body',
    bytes: `${notModified}content-length: 5\r\n\r\nhello`,
    ending: 'stay open',
    allowed: whole(''),
  },
  {
    name: '205 with a length of 0',
    bytes: `${resetContent}content-length: 0\r\n\r\n`,
    ending: 'stay open',
    allowed: whole(''),
  },
  {
    name: '205 with a body',
    bytes: `${resetContent}content-length: 5\r\n\r\nhello`,
    ending: 'stay open',
    allowed: whole('hello'),
  },
  {
    name: '101 without a request for an upgrade',
    bytes: 'HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\nhello',
    ending: 'stay open',
    allowed: broken,
  },
  {
    name: '101 without an upgrade header',
    bytes: `HTTP/1.1 101 Switching Protocols\r\n\r\n${ok}content-length: 5\r\n\r\nhello`,
    ending: 'stay open',
    allowed: broken,
  },
  {
    name: '100 and a response',
    bytes: `HTTP/1.1 100 Continue\r\n\r\n${ok}content-length: 5\r\n\r\nhello`,
    ending: 'stay open',
    allowed: whole('hello'),
  },
  {
    name: '103 with a length and a response',
    bytes: `HTTP/1.1 103 Early Hints\r\ncontent-length: 5\r\n\r\n${ok}content-length: 5\r\n\r\nhello`,
    ending: 'stay open',
    allowed: whole('hello'),
  },
  {
    name: 'HEAD with a length',
    method: 'HEAD',
    bytes: `${ok}content-length: 5\r\n\r\n`,
    ending: 'stay open',
    allowed: whole(''),
  },
  {
    name: 'HEAD without a length',
    method: 'HEAD',
    bytes: `${ok}\r\n`,
    ending: 'close',
    allowed: whole(''),
  },
  {
    name: 'HEAD with chunks',
    method: 'HEAD',
    bytes: `${ok}${chunked}\r\n`,
    ending: 'stay open',
    allowed: whole(''),
  },
  {
    name: 'HEAD with a length and a body',
    method: 'HEAD',
    bytes: `${ok}content-length: 5\r\n\r\nhello`,
    ending: 'stay open',
    allowed: whole(''),
  },
  {
    name: 'HEAD with another response behind',
    method: 'HEAD',
    bytes: `${ok}content-length: 5\r\n\r\n${ok}content-length: 5\r\n\r\nworld`,
    ending: 'stay open',
    allowed: whole(''),
  },
];

/** Header of a head, by its name in lower case. */
function headerOf(head: string, name: string): string | undefined {
  const line = head.split('\r\n').find((text) => text.toLowerCase().startsWith(`${name}:`));
  return line?.slice(name.length + 1).trim();
}

/** Decodes chunks; `rest` holds the bytes behind the last one, undefined where it did not arrive. */
function decodeChunks(text: string): {body: string; rest: string | undefined} {
  let body = '';
  let position = 0;
  for (;;) {
    const lineEnd = text.indexOf('\r\n', position);
    if (lineEnd < 0) {
      return {body, rest: undefined};
    }
    const size = Number.parseInt(text.slice(position, lineEnd), 16);
    const end = lineEnd + 2 + size + 2;
    if (size === 0 && text.length >= end) {
      return {body, rest: text.slice(end)};
    }
    body += text.slice(lineEnd + 2, lineEnd + 2 + size);
    if (text.length < end) {
      return {body, rest: undefined};
    }
    position = end;
  }
}

type ParsedResponse = Omit<SeenResponse, 'strayBytes' | 'nextBody' | 'durationMs'> & {
  readonly rest: string;
};

/** Reads the first response in a text by its framing; `isEnded` where the connection was closed in order. */
function parseResponse(text: string, method: string, isEnded: boolean): ParsedResponse {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) {
    const nothing = {status: undefined, framing: 'none', isComplete: false} as const;
    return {...nothing, body: '', head: text, rest: ''};
  }
  const head = text.slice(0, headEnd);
  const tail = text.slice(headEnd + 4);
  const status = Number(head.split(' ')[1]);
  const length = headerOf(head, 'content-length');
  if (method === 'HEAD' || status === 204 || status === 304) {
    return {status, framing: 'no body', isComplete: true, body: '', head, rest: tail};
  }
  if (headerOf(head, 'transfer-encoding') !== undefined) {
    const {body, rest} = decodeChunks(tail);
    const isComplete = rest !== undefined;
    return {status, framing: 'chunks', isComplete, body, head, rest: rest ?? ''};
  }
  if (length !== undefined) {
    const body = tail.slice(0, Number(length));
    const isComplete = body.length === Number(length);
    return {status, framing: 'length', isComplete, body, head, rest: tail.slice(Number(length))};
  }
  return {status, framing: 'close', isComplete: isEnded, body: tail, head, rest: ''};
}

async function pause(forMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, forMs));
}

/** A caller's connection, whose bytes are collected as they come. */
class CallerConnection {
  text = '';
  isEnded = false;
  isClosed = false;
  readonly #socket: Socket;

  constructor(ip: string) {
    this.#socket = connect(callerPort, ip);
    this.#socket.on('data', (chunk: Buffer) => {
      this.text += chunk.toString('latin1');
    });
    this.#socket.on('end', () => {
      this.isEnded = this.#socket.remoteAddress !== undefined;
    });
    this.#socket.on('error', () => undefined);
    this.#socket.on('close', () => {
      this.isClosed = true;
    });
  }

  request(method: string, path: string): void {
    this.#socket.write(`${method} ${path} HTTP/1.1\r\nhost: a\r\n\r\n`);
  }

  /** Waits until a response is complete or the connection is closed. */
  async waitForResponse(method: string): Promise<ParsedResponse> {
    const startedAtMs = performance.now();
    for (;;) {
      const response = parseResponse(this.text, method, this.isEnded);
      const isOver = performance.now() - startedAtMs > responseTimeoutMs;
      if (response.isComplete || this.isClosed || isOver) {
        return response;
      }
      await pause(5);
    }
  }

  close(): void {
    this.#socket.destroy();
  }
}

/** One line for the table of what callers saw. */
function describeSeen({status, framing, isComplete, body, strayBytes}: SeenResponse): string {
  const shown = body.length > 40 ? `${body.length} bytes` : JSON.stringify(body);
  const stray = strayBytes === '' ? '' : `, then ${JSON.stringify(strayBytes)}`;
  const end = isComplete ? 'complete' : 'not complete';
  return status === undefined ? 'no response' : `${status}, ${framing}, ${end}, ${shown}${stray}`;
}

describe('the framing of a response of a server', () => {
  let isCutOff = false;
  const sockets = new Set<Socket>();
  const fixture = new GossipFleetFixture(subnet, {
    hosts: 4,
    servers: 16,
    dial: (hostNumber, ip, port) => {
      const isToServer = hostNumber === entryHost && ip.startsWith(`${subnet}.2.`);
      const socket = dialTcp(ip, isToServer && isCutOff ? closedPort : port);
      if (isToServer) {
        sockets.add(socket);
        socket.once('close', () => sockets.delete(socket));
      }
      return socket;
    },
  });
  const rows: string[] = [];
  let current: FramingCase | undefined;
  let nextCase = 0;
  /** Requests that reached a server since the last one was sent. */
  let runs = 0;

  /** Writes to the socket itself, as `node:http` would correct the framing. */
  function respond({socket}: IncomingMessage): void {
    runs += 1;
    if (current === undefined) {
      socket.write(`${ok}content-length: 4\r\n\r\nnext`);
      return;
    }
    const {bytes, ending} = current;
    socket.write(bytes);
    if (ending === 'reset at once') {
      socket.resetAndDestroy();
      return;
    }
    setTimeout(() => {
      if (ending === 'close') {
        socket.end();
      } else if (ending === 'reset') {
        socket.resetAndDestroy();
      }
    }, endAfterMs);
  }

  before(async () => {
    fixture.onRequest = (_serverNumber, request) => {
      respond(request);
    };
    await fixture.start();
  });

  after(async () => {
    if (process.env.SHOW_FRAMING !== undefined) {
      process.stdout.write(`${rows.join('\n')}\n`);
    }
    await fixture.stop();
  });

  /** Sends the request of a case, and where its connection is still open another one behind it. */
  async function see(framingCase: FramingCase): Promise<SeenResponse> {
    const {method = 'GET'} = framingCase;
    const connection = new CallerConnection(fixture.hostIp(entryHost));
    const startedAtMs = performance.now();
    // Requests with the same path would be refused as ones that crash their servers.
    nextCase += 1;
    const first = await ask(connection, method, `/payment/${nextCase}`, framingCase);
    const durationMs = Math.round(performance.now() - startedAtMs);
    await pause(strayWaitMs);
    const {rest: strayBytes, ...response} = parseResponse(
      connection.text,
      method,
      connection.isEnded,
    );
    let nextBody: string | undefined;
    if (first.isComplete && strayBytes === '' && !connection.isClosed) {
      connection.text = '';
      const next = await ask(connection, 'GET', '/lookup/next', undefined);
      nextBody = next.body + next.rest;
    }
    connection.close();
    return {...response, strayBytes, nextBody, durationMs};
  }

  /** Sends a request until a server got it: the host refuses requests while it avoids servers that failed. */
  async function ask(
    connection: CallerConnection,
    method: string,
    path: string,
    framingCase: FramingCase | undefined,
  ): Promise<ParsedResponse> {
    current = framingCase;
    runs = 0;
    for (;;) {
      connection.request(method, path);
      const response = await connection.waitForResponse(method);
      if (runs > 0) {
        return response;
      }
      expect(response.body, 'no server got the request').to.include('"outcome":"not-run"');
      connection.text = '';
      await pause(refusedRetryMs);
    }
  }

  /** Cuts the host off from the servers, and waits until the other host relays its attempts. */
  async function cutOff(): Promise<void> {
    isCutOff = true;
    for (const socket of sockets) {
      socket.destroy(Object.assign(new Error('reset'), {syscall: 'read'}));
    }
    const connection = new CallerConnection(fixture.hostIp(entryHost));
    await ask(connection, 'GET', '/lookup/next', undefined);
    connection.close();
  }

  /** True where the caller was told no more than the server declared. */
  function isAllowed(seen: SeenResponse, allowed: Allowed): boolean {
    const isRefused = seen.status !== undefined && seen.status >= 500;
    const isVisiblyBroken = !seen.isComplete;
    if (isRefused || isVisiblyBroken || allowed.verdict === 'broken') {
      return isRefused || isVisiblyBroken;
    }
    const isDeclaredByHost = seen.framing === 'chunks' || seen.framing === 'length';
    const isSameEnd = allowed.verdict === 'whole' || !isDeclaredByHost;
    return isSameEnd && seen.body === allowed.body;
  }

  for (const way of ['directly', 'through another host']) {
    describe(`that a host gets ${way}`, () => {
      before(async () => {
        if (way !== 'directly') {
          await cutOff();
        }
      });

      for (const [group, cases] of Object.entries({
        'by its head': headCases,
        'that its body does not match': bodyCases,
        'without a body': bodylessCases,
      })) {
        describe(group, () => {
          for (const framingCase of cases) {
            const {name, ending, allowed, mustPass = false} = framingCase;
            // Guards against callers that take for whole what their server did not declare so.
            it(`declares no more to the caller than the server did: ${name}, then ${ending}`, async () => {
              const seen = await see(framingCase);
              const shown = describeSeen(seen);
              rows.push(`| ${way} | ${name} | ${ending} | ${shown}, ${seen.durationMs} ms |`);
              expect(isAllowed(seen, allowed), shown).to.equal(true);
              expect(mustPass && seen.status === 502, shown).to.equal(false);
              expect(seen.strayBytes).to.equal('');
              expect(seen.body, 'the request ran').to.not.include('"outcome":"not-run"');
              if (seen.status === 204) {
                expect(headerOf(seen.head, 'content-length')).to.equal(undefined);
                expect(headerOf(seen.head, 'transfer-encoding')).to.equal(undefined);
              }
              expect(seen.nextBody).to.be.oneOf(['next', undefined]);
            });
          }
        });
      }
    });
  }
});
