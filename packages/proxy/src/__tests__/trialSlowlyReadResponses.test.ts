import {createServer, Socket as S} from 'node:net';
import type {Server, Socket} from 'node:net';
import type {Readable} from 'node:stream';
import {expect} from 'chai';
import {BackendTask} from '../backends/backendTask.ts';
import type {PendingResponse} from '../callers/exchange.ts';
import {DefaultDialect} from '../dialect/defaultDialect.ts';
import {SystemTimerService} from '../timer/systemTimerService.ts';

class ServerSocket extends S {
  override read(size?: number): unknown {
    const st = (this as unknown as {_readableState: {ended: boolean}})._readableState;
    return size === 0 && st.ended && this.readableLength === 0 ? null : (super.read(size) as unknown);
  }
  override _destroy(error: Error | null, cb: (e?: Error | null) => void): void {
    if (error !== null && (error as NodeJS.ErrnoException).code === 'ECONNRESET') (error as NodeJS.ErrnoException).code = 'X';
    super._destroy(error, cb);
  }
}
const serverIp = '127.83.61.1';
const serverPort = 8080;
/** Time between two pieces of a response, in ms: each is read by itself. */
const pieceIntervalMs = 5;
/** Time from the last piece to the end of the connection, in ms: the host has stopped reading by then. */
const endAfterMs = 60;
/** Time after which the caller reads the response, in ms: the server has ended it by then. */
const readAfterMs = 500;
/** Longest time for reading the rest of the response, in ms. */
const readTimeoutMs = 500;

/** How a server frames a response and ends its connection. */
interface ServerBehaviour {
  readonly header: (bodyBytes: number) => string;
  readonly frame: (piece: string) => string;
  readonly lastBytes: string;
  readonly end: (socket: Socket) => void;
}

const close = (socket: Socket): void => {
  socket.end();
};
const reset = (socket: Socket): void => {
  socket.resetAndDestroy();
};
const untouched = (piece: string): string => piece;
const chunkOf = (piece: string): string => `${piece.length.toString(16)}\r\n${piece}\r\n`;
const chunkedHeader = (): string => 'connection: close\r\ntransfer-encoding: chunked';

const behaviours: Record<string, ServerBehaviour & {readonly isWhole: boolean}> = {
  'without a length that is closed': {
    header: () => 'connection: close',
    frame: untouched,
    lastBytes: '',
    end: close,
    isWhole: true,
  },
  'without a length that is reset': {
    header: () => 'connection: close',
    frame: untouched,
    lastBytes: '',
    end: reset,
    isWhole: false,
  },
  'in chunks that is closed before the last chunk': {
    header: chunkedHeader,
    frame: chunkOf,
    lastBytes: '',
    end: close,
    isWhole: false,
  },
  'in chunks that is reset before the last chunk': {
    header: chunkedHeader,
    frame: chunkOf,
    lastBytes: '',
    end: reset,
    isWhole: false,
  },
  'with a length that is closed before its end': {
    header: (bodyBytes) => `connection: close\r\ncontent-length: ${bodyBytes + 1}`,
    frame: untouched,
    lastBytes: '',
    end: close,
    isWhole: false,
  },
};

/** How a response ended for its reader. */
type ReadResult = {readonly end: 'whole' | 'broken' | 'none'; readonly bytes: number};

/** Reads a body to its end; `none` where neither an end nor an error comes in time. */
async function readToEnd(body: Readable): Promise<ReadResult> {
  return new Promise((resolve) => {
    let bytes = 0;
    body.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
    });
    body.on('end', () => {
      resolve({end: 'whole', bytes});
    });
    body.on('error', () => {
      resolve({end: 'broken', bytes});
    });
    setTimeout(() => {
      resolve({end: 'none', bytes});
    }, readTimeoutMs);
  });
}

// Guards against an exception within the HTTP client, which ends the process or leaves the request without an end: its
// parser is paused, as the caller reads slowly, when the server's connection ends.
describe('a response that its caller reads after the server has ended it', () => {
  const timers = new SystemTimerService();
  const pending = new Map<number, (result: Promise<ReadResult>) => void>();
  const unexpectedErrors: unknown[] = [];
  const listeners = process.listeners('uncaughtException');
  let server: Server;
  let behaviour: ServerBehaviour | undefined;
  let nextRequestId = 1;
  const backends = new BackendTask({
    dialect: new DefaultDialect({keyHeader: 'x-api-key'}),
    timers,
    postToCore: (event) => {
      if (event.type === 'attemptFailed') {
        pending.get(event.requestId)?.(Promise.resolve({end: 'broken', bytes: 0}));
      }
    },
    answer: (requestId: number, {body}: PendingResponse) => {
      body.on('error', () => undefined);
      setTimeout(() => {
        const result: Promise<ReadResult> = body.errored
          ? Promise.resolve({end: 'broken', bytes: 0})
          : readToEnd(body);
        pending.get(requestId)?.(result);
      }, readAfterMs);
    },
    count: () => undefined,
    warn: () => undefined,
    dial: (host, port) => { const s = new ServerSocket(); s.setNoDelay(true); s.connect(port, host); return s; },
  });

  before(async () => {
    process.removeAllListeners('uncaughtException');
    process.on('uncaughtException', (error) => unexpectedErrors.push(error));
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', (head: Buffer) => {
        const [, pieces = '', pieceBytes = ''] = /\/(\d+)x(\d+)/.exec(head.toString()) ?? [];
        respond(socket, Number(pieces), Number(pieceBytes));
      });
    });
    await new Promise<void>((resolve) => server.listen(serverPort, serverIp, resolve));
  });

  after(async () => {
    process.removeAllListeners('uncaughtException');
    for (const listener of listeners) {
      process.on('uncaughtException', listener);
    }
    server.close();
    timers.stop();
    await Promise.race([backends.stop(), new Promise((resolve) => setTimeout(resolve, 1_000))]);
  });

  function respond(socket: Socket, pieces: number, pieceBytes: number): void {
    const {header, frame, lastBytes, end} = behaviour!;
    const piece = frame('x'.repeat(pieceBytes));
    socket.write(`HTTP/1.1 200 OK\r\n${header(pieces * pieceBytes)}\r\n\r\n`);
    let sent = 0;
    const timer = setInterval(() => {
      socket.write(piece);
      sent += 1;
      if (sent === pieces) {
        clearInterval(timer);
        socket.write(lastBytes);
        setTimeout(() => {
          end(socket);
        }, endAfterMs);
      }
    }, pieceIntervalMs);
  }

  async function run(path: string): Promise<ReadResult> {
    const requestId = nextRequestId;
    nextRequestId += 1;
    return new Promise((resolve) => {
      pending.set(requestId, resolve);
      backends.post({
        type: 'run',
        requestId,
        attempt: 1,
        attemptName: `a-${requestId}.1`,
        serverId: 's-1',
        origin: `http://${serverIp}:${serverPort}`,
        method: 'GET',
        pathAndQuery: path,
        headers: {},
        body: undefined,
        timeoutMs: 10_000,
        notRunHeader: 'x-not-run',
        mustEchoName: false,
        needsNewConnection: false,
        relayHostId: undefined,
      });
    });
  }

  for (const [name, {isWhole, ...rest}] of Object.entries(behaviours)) {
    for (const pieceBytes of [20_000, 50_000]) {
      it(`raises no exception and ends ${isWhole ? 'whole' : 'visibly broken'}: ${name}, in pieces of ${pieceBytes} bytes`, async () => {
        behaviour = rest;
        unexpectedErrors.length = 0;
        const counts = Array.from({length: 12}, (_, index) => index + 1);
        const results = await Promise.all(counts.map((count) => run(`/${count}x${pieceBytes}`)));
        expect(unexpectedErrors.map(String)).to.deep.equal([]);
        const expected = counts.map((count) =>
          isWhole ? `${count}: whole, ${count * pieceBytes} bytes` : `${count}: broken`,
        );
        const seen = results.map(({end, bytes}, index) =>
          end === 'broken' ? `${index + 1}: broken` : `${index + 1}: ${end}, ${bytes} bytes`,
        );
        expect(seen).to.deep.equal(expected);
      });
    }
  }
});
