import {connect} from 'node:net';
import {parseHead, readBody} from './messages.mjs';

const headEnd = Buffer.from('\r\n\r\n');

/**
 * Client of the system with one connection, which it keeps open. Every call of `send` sends one request and
 * resolves with what came back: the status and headers, the body, and how the answer ended.
 */
export class Client {
  #buffer = Buffer.alloc(0);
  #ending;
  #onChange = () => undefined;

  constructor(address) {
    const [host, port] = address.split(':');
    this.socket = connect({host, port: Number(port), noDelay: true});
    this.socket.on('data', (chunk) => {
      this.#buffer = Buffer.concat([this.#buffer, chunk]);
      this.#onChange();
    });
    this.socket.on('end', () => {
      this.#ending ??= 'closed';
      this.#onChange();
    });
    this.socket.on('error', (error) => {
      this.#ending ??= error.code ?? 'error';
      this.#onChange();
    });
    this.socket.on('close', () => {
      this.#ending ??= 'closed';
      this.#onChange();
    });
  }

  get isOpen() {
    return this.#ending === undefined;
  }

  close() {
    this.socket.destroy();
  }

  /** Sends a request; `pieces` are parts of its body, each sent `pieceGapMs` after the one before. */
  async send({method, path, headers, pieces = [], pieceGapMs = 0, waitMs}) {
    const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
    this.socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n`);
    void this.#sendPieces(pieces, pieceGapMs);
    return await this.#receive(waitMs);
  }

  async #sendPieces(pieces, gapMs) {
    for (const piece of pieces) {
      if (!this.isOpen) {
        return;
      }
      this.socket.write(piece);
      await new Promise((resolve) => setTimeout(resolve, gapMs));
    }
  }

  async #receive(waitMs) {
    return await new Promise((resolve) => {
      const end = (result) => {
        clearTimeout(timer);
        this.#onChange = () => undefined;
        resolve(result);
      };
      const timer = setTimeout(() => {
        end(this.#read('waited'));
      }, waitMs);
      this.#onChange = () => {
        const result = this.#read(this.#ending);
        if (result.isWhole || this.#ending !== undefined) {
          end(result);
        }
      };
      this.#onChange();
    });
  }

  /** What has come back so far; `ending` says how the connection ended, undefined while it is open. */
  #read(ending) {
    const end = this.#buffer.indexOf(headEnd);
    if (end < 0) {
      const body = Buffer.alloc(0);
      return {status: undefined, headers: {}, body, isWhole: false, ending};
    }
    const {words, headers} = parseHead(this.#buffer.toString('latin1', 0, end));
    const rest = this.#buffer.subarray(end + headEnd.length);
    const status = Number(words[1]);
    const {isWhole, isCloseDelimited, body, length} = readBody(headers, rest, {isRequest: false});
    // An answer without a length ends with its connection; only a reset shows that it is not complete.
    const isComplete = isWhole || (isCloseDelimited === true && ending === 'closed');
    if (isWhole) {
      this.#buffer = rest.subarray(length);
    }
    return {status, headers, body, isWhole: isComplete, ending};
  }
}
