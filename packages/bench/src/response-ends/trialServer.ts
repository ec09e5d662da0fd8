import {createServer} from 'node:net';
import type {Server, Socket} from 'node:net';
import {MessageReader} from './messageReader.ts';
import {planResponse} from './planResponse.ts';
import type {EarlierResponse} from './lateCopy.ts';
import {ResponseWriter} from './responseWriter.ts';
import type {RunningTrials} from './runningTrials.ts';

/** Path of the health probes. */
export const healthPath = '/health';

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
    let earlier: EarlierResponse | undefined;
    let isBusy = false;
    const advance = (): void => {
      if (!reader.isEnded || isBusy) {
        return;
      }
      isBusy = true;
      const {rest} = reader;
      const request = reader;
      reader = new MessageReader('request');
      void this.#respond(socket, request, earlier).then((sent) => {
        isBusy = false;
        earlier = sent ?? earlier;
        reader.push(rest);
        advance();
      });
    };
    socket.on('data', (bytes) => {
      reader.push(bytes);
      advance();
    });
  }

  /** Sends a response; returns what it was where the connection is kept. */
  async #respond(
    socket: Socket,
    request: MessageReader,
    earlier: EarlierResponse | undefined,
  ): Promise<EarlierResponse | undefined> {
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
    const writer = new ResponseWriter(socket, attempt, planResponse(trial, attempt, earlier));
    trials.recordAttempt(trial.id, writer.record);
    const isKept = await writer.send();
    return isKept ? started : undefined;
  }
}
