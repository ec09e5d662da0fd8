import {connect} from 'node:net';

/**
 * How a response ended for its caller: `declared` by a length that was reached, the last chunk or the lack of a body,
 * `closed` by an orderly close where nothing else marks the end, `broken` otherwise.
 */
export type ReceivedEnd = 'declared' | 'closed' | 'broken';

/** A response as it arrived on the caller's connection. */
export interface RawResponse {
  /** Undefined where the connection ended before a complete head. */
  readonly status: number | undefined;
  /** Header fields by name, in lower case. */
  readonly headers: ReadonlyMap<string, string>;
  readonly body: Buffer;
  readonly end: ReceivedEnd;
}

/** Request and behaviour of a caller. */
export interface RawCallOptions {
  readonly host: string;
  readonly port: number;
  readonly path: string;
  /** Default: `GET`. */
  readonly method?: string;
  /** Default: `1.1`. */
  readonly httpVersion?: '1.0' | '1.1';
  readonly headers?: Readonly<Record<string, string>>;
  /** Time after the first byte of the response for which nothing is read, in ms. Default: 0. */
  readonly pauseMs?: number;
}

const headEnd = '\r\n\r\n';

/** Decodes a body in chunks as far as it arrived. */
function decodeChunks(bytes: Buffer): {body: Buffer; isEnded: boolean} {
  const parts: Buffer[] = [];
  let position = 0;
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', position);
    if (lineEnd < 0) {
      return {body: Buffer.concat(parts), isEnded: false};
    }
    const sizeBytes = Number.parseInt(bytes.toString('latin1', position, lineEnd), 16);
    const start = lineEnd + 2;
    if (sizeBytes === 0) {
      return {body: Buffer.concat(parts), isEnded: bytes.length >= start + 2};
    }
    parts.push(bytes.subarray(start, start + sizeBytes));
    position = start + sizeBytes + 2;
    if (position > bytes.length) {
      return {body: Buffer.concat(parts), isEnded: false};
    }
  }
}

/** Interprets all bytes that arrived until the connection ended. */
function interpret(bytes: Buffer, wasReset: boolean, method: string): RawResponse {
  const headBytes = bytes.indexOf(headEnd);
  const headers = new Map<string, string>();
  if (headBytes < 0) {
    return {status: undefined, headers, body: Buffer.alloc(0), end: 'broken'};
  }
  const [statusLine = '', ...lines] = bytes.toString('latin1', 0, headBytes).split('\r\n');
  for (const line of lines) {
    const colon = line.indexOf(':');
    headers.set(line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim());
  }
  const status = Number(statusLine.split(' ')[1]);
  const rest = bytes.subarray(headBytes + headEnd.length);
  if (method === 'HEAD' || status === 204 || status === 304) {
    return {status, headers, body: rest, end: 'declared'};
  }
  if (headers.get('transfer-encoding') === 'chunked') {
    const {body, isEnded} = decodeChunks(rest);
    return {status, headers, body, end: isEnded ? 'declared' : 'broken'};
  }
  const length = headers.get('content-length');
  if (length !== undefined) {
    return {
      status,
      headers,
      body: rest,
      end: rest.length >= Number(length) ? 'declared' : 'broken',
    };
  }
  return {status, headers, body: rest, end: wasReset ? 'broken' : 'closed'};
}

/** Sends one request on a connection of its own and reads until the connection ends. */
export async function callRaw(options: RawCallOptions): Promise<RawResponse> {
  const {
    host,
    port,
    path,
    method = 'GET',
    httpVersion = '1.1',
    headers = {},
    pauseMs = 0,
  } = options;
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let wasReset = false;
    const socket = connect({host, port});
    const fields = Object.entries({host, connection: 'close', ...headers});
    const lines = fields.map(([name, value]) => `${name}: ${value}\r\n`).join('');
    socket.write(`${method} ${path} HTTP/${httpVersion}\r\n${lines}\r\n`);
    socket.on('data', (chunk: Buffer) => {
      if (pauseMs > 0 && chunks.length === 0) {
        socket.pause();
        setTimeout(() => socket.resume(), pauseMs);
      }
      chunks.push(chunk);
    });
    socket.on('error', () => {
      wasReset = true;
    });
    socket.on('end', () => {
      // A reset that is read together with the last bytes is reported as an end; only the address of the peer is gone.
      wasReset ||= socket.remoteAddress === undefined;
    });
    socket.on('close', () => {
      resolve(interpret(Buffer.concat(chunks), wasReset, method));
    });
  });
}
