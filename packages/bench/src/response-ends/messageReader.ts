import {createHash} from 'node:crypto';

const headEnd = Buffer.from('\r\n\r\n');
const lineEnd = Buffer.from('\r\n');
/** First bytes of a body that are kept as text. */
const keptTextBytes = 200;

/** What marks the end of a message. */
export type MessageFraming = 'length' | 'chunked' | 'close';

/** Part of a message that the next bytes belong to. */
type ReaderState = 'head' | 'body' | 'chunkSize' | 'chunk' | 'chunkEnd' | 'lastLine' | 'ended';

/** Reads one HTTP message from the bytes of a connection. It knows only what the project's own hosts and servers send. */
export class MessageReader {
  readonly #isRequest: boolean;
  readonly #hash = createHash('sha256');
  #state: ReaderState = 'head';
  #pending: Buffer = Buffer.alloc(0);
  /** Bytes that are still to come of the body or of the current chunk. */
  #leftBytes = 0;
  #bodyBytes = 0;
  #text = '';
  #firstLine = '';
  #headers = new Map<string, string>();
  #framing: MessageFraming = 'close';
  #digest: string | undefined;

  constructor(kind: 'request' | 'response') {
    this.#isRequest = kind === 'request';
  }

  get hasHead(): boolean {
    return this.#state !== 'head';
  }

  /** True once the declared end was reached; never for a message that the close ends. */
  get isEnded(): boolean {
    return this.#state === 'ended';
  }

  /** Words of the first line of the head. */
  get words(): string[] {
    return this.#firstLine.split(' ');
  }

  get framing(): MessageFraming {
    return this.#framing;
  }

  get bodyBytes(): number {
    return this.#bodyBytes;
  }

  /** Start of the body. */
  get text(): string {
    return this.#text;
  }

  /** Digest of the body; no bytes may be added afterwards. */
  get digest(): string {
    this.#digest ??= this.#hash.digest('hex');
    return this.#digest;
  }

  /** Bytes that follow the message. */
  get rest(): Buffer {
    return this.isEnded ? this.#pending : Buffer.alloc(0);
  }

  header(name: string): string | undefined {
    return this.#headers.get(name);
  }

  push(bytes: Buffer): void {
    this.#pending = this.#pending.length === 0 ? bytes : Buffer.concat([this.#pending, bytes]);
    while (this.#advance()) {
      // Each call reads one part of the message.
    }
  }

  /** Reads the next part; false where it is not there yet. */
  #advance(): boolean {
    switch (this.#state) {
      case 'head':
        return this.#readHead();
      case 'body':
        return this.#readBody('ended');
      case 'chunk':
        return this.#readBody('chunkEnd');
      case 'chunkEnd':
        return this.#takeLine() !== undefined && this.#enter('chunkSize');
      case 'lastLine':
        return this.#takeLine() !== undefined && this.#enter('ended');
      case 'chunkSize': {
        const line = this.#takeLine();
        if (line === undefined) {
          return false;
        }
        this.#leftBytes = Number.parseInt(line, 16);
        return this.#enter(this.#leftBytes === 0 ? 'lastLine' : 'chunk');
      }
      case 'ended':
        return false;
    }
  }

  #enter(state: ReaderState): true {
    this.#state = state;
    return true;
  }

  #takeLine(): string | undefined {
    const end = this.#pending.indexOf(lineEnd);
    if (end < 0) {
      return undefined;
    }
    const line = this.#pending.toString('latin1', 0, end);
    this.#pending = this.#pending.subarray(end + lineEnd.length);
    return line;
  }

  #readHead(): boolean {
    const end = this.#pending.indexOf(headEnd);
    if (end < 0) {
      return false;
    }
    const [firstLine = '', ...lines] = this.#pending.toString('latin1', 0, end).split('\r\n');
    this.#pending = this.#pending.subarray(end + headEnd.length);
    this.#firstLine = firstLine;
    for (const line of lines) {
      const colon = line.indexOf(':');
      this.#headers.set(line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim());
    }
    if (this.header('transfer-encoding') === 'chunked') {
      this.#framing = 'chunked';
      return this.#enter('chunkSize');
    }
    const length = this.header('content-length') ?? (this.#isRequest ? '0' : undefined);
    this.#framing = length === undefined ? 'close' : 'length';
    this.#leftBytes = length === undefined ? Number.POSITIVE_INFINITY : Number(length);
    return this.#enter(this.#leftBytes === 0 ? 'ended' : 'body');
  }

  #readBody(next: ReaderState): boolean {
    if (this.#pending.length === 0) {
      return false;
    }
    const bytes = this.#pending.subarray(0, Math.min(this.#pending.length, this.#leftBytes));
    this.#pending = this.#pending.subarray(bytes.length);
    this.#hash.update(bytes);
    if (this.#text.length < keptTextBytes) {
      this.#text += bytes.toString('latin1', 0, keptTextBytes);
    }
    this.#bodyBytes += bytes.length;
    this.#leftBytes -= bytes.length;
    return this.#leftBytes === 0 ? this.#enter(next) : true;
  }
}
