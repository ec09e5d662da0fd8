import {createServer} from 'node:net';
import type {Server, Socket} from 'node:net';
import {MessageReader} from './messageReader.ts';
import {planResponse, responseHead} from './planResponse.ts';
import {ResponseWriter} from './responseWriter.ts';
import type {RunningTrials} from './runningTrials.ts';

/** Path of the health probes. */
export const healthPath = '/health';
/** Longest earlier response of which a copy is sent, in bytes. */
const maxCopyBytes = 40_000;

/** Settings of one server. */
export interface TrialServerOptions {
  readonly id: string;
  readonly ip: string;
  readonly port: number;
  /** Trials whose requests the server gets. */
  readonly trials: RunningTrials;
}

/** Backend server on a plain TCP socket, which responds to each request as its trial says. */
export class TrialServer {
  readonly #options: TrialServerOptions;
  readonly #sockets = new Set<Socket>();
  readonly #server: Server;

  constructor(options: TrialServerOptions) {
    this.#options = options;
    this.#server = createServer((socket) => {
      this.#serve(socket);
    });
  }

  async start(): Promise<void> {
    const {ip, port} = this.#options;
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, ip, resolve);
    });
  }

  stop(): void {
    this.#server.close();
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }

  #serve(socket: Socket): void {
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    // Hosts may reset their connections; the records of the attempts show what was sent.
    socket.on('error', () => undefined);
    socket.once('close', () => this.#sockets.delete(socket));
    let reader = new MessageReader('request');
    let copy: Buffer | undefined;
    let isBusy = false;
    const advance = (): void => {
      if (!reader.isEnded || isBusy) {
        return;
      }
      isBusy = true;
      const {rest} = reader;
      const request = reader;
      reader = new MessageReader('request');
      void this.#respond(socket, request, copy).then((sent) => {
        isBusy = false;
        copy = sent ?? copy;
        reader.push(rest);
        advance();
      });
    };
    socket.on('data', (bytes) => {
      reader.push(bytes);
      advance();
    });
  }

  /** Sends a response; returns a copy of it where the connection is kept. */
  async #respond(
    socket: Socket,
    request: MessageReader,
    copy: Buffer | undefined,
  ): Promise<Buffer | undefined> {
    const {id, trials} = this.#options;
    if (request.words[1] === healthPath) {
      socket.write(
        `HTTP/1.1 200 OK\r\nX-Godwitspring-Instance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
      );
      return undefined;
    }
    const started = trials.startAttempt(request.header('x-godwitspring-request-id') ?? '');
    if (started === undefined) {
      socket.resetAndDestroy();
      return undefined;
    }
    const {trial, attempt} = started;
    const writer = new ResponseWriter(socket, attempt, planResponse(trial, attempt, copy));
    trials.recordAttempt(trial.id, writer.record);
    const isKept = await writer.send();
    return isKept ? this.#copyOf(trial, writer.record.wholeDigest) : undefined;
  }

  /** Start of a response, as a server repeats it. */
  #copyOf(trial: Parameters<typeof responseHead>[0], wholeDigest: string): Buffer {
    const body = Buffer.alloc(Math.min(trial.bodyBytes, maxCopyBytes), 'c');
    return Buffer.concat([responseHead(trial, wholeDigest), body]);
  }
}
