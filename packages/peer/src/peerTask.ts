import {timingSafeEqual} from 'node:crypto';
import {createServer} from 'node:http';
import type {IncomingMessage, Server} from 'node:http';
import type {Socket} from 'node:net';
import {IncompleteMessages} from '@godwitspring/core';
import type {PeerMessage} from '@godwitspring/core';
import {WebSocket, WebSocketServer} from 'ws';
import {PeerCodec} from './peerCodec.ts';

/** What the task reports to its owner. */
export type PeerReport =
  /** A valid message arrived. */
  | {
      readonly type: 'received';
      readonly fromHostId: string;
      readonly message: PeerMessage;
    }
  /** A connection or message was refused, or a link was given up because the peer did not respond. */
  | {readonly type: 'refused'; readonly fromHostId: string; readonly reason: string}
  /** The host's address refused the connection: no process listens there. */
  | {readonly type: 'absent'; readonly hostId: string}
  /** Bytes of a message that was received from a host or sent to it. */
  | {
      readonly type: 'bytes';
      readonly direction: 'in' | 'out';
      readonly count: number;
      readonly hostId: string;
      /** Type of the message; undefined for one that cannot be read. */
      readonly messageType: PeerMessage['type'] | undefined;
    };

/** Addresses, authentication and limits of the connections to peers. */
export interface PeerTaskOptions {
  readonly selfId: string;
  /** IP address on which peers connect. */
  readonly listenHost: string;
  readonly listenPort: number;
  /** Secret that is sent to every peer and required of every peer. Default: none. */
  readonly sharedSecret: string | undefined;
  /** Largest message accepted, in bytes. Default: 2,097,152. */
  readonly maxMessageBytes: number;
  /**
   * Bytes of incomplete messages over all connections; beyond half of it, connections are read one at a time, so that
   * any message of at most `maxMessageBytes` can still arrive. Default: 67,108,864.
   */
  readonly maxIncompleteBytes: number;
  /** Most messages queued for a link while it is being opened. Default: 64. */
  readonly maxQueuedMessages: number;
  /** True if a host's id is its address, so that hosts missing from the list can be reached. Default: false. */
  readonly areHostIdsAddresses: boolean;
  /** Wait before a broken link is reopened, in ms. Default: 500. */
  readonly reconnectMs: number;
  /** Called with the HTTP server before it listens, to bound its connections. Default: no bounds. */
  readonly guard: (server: Server) => void;
  /** Receives what the task reports. */
  readonly report: (report: PeerReport) => void;
}

/** Defaults of the optional fields of `PeerTaskOptions`. */
export const DEFAULT_PEER_OPTIONS = {
  sharedSecret: undefined,
  maxMessageBytes: 2_097_152,
  maxIncompleteBytes: 67_108_864,
  maxQueuedMessages: 64,
  areHostIdsAddresses: false,
  reconnectMs: 500,
  guard: (): void => undefined,
} as const;

type RequiredPeerOptions = Pick<PeerTaskOptions, 'selfId' | 'listenHost' | 'listenPort' | 'report'>;

/** Request header that carries the id of the connecting host. */
const hostHeader = 'x-fleet-host';
/** Request header that carries the shared secret. */
const secretHeader = 'x-fleet-secret';
/** Longest wait for the WebSocket handshake of a new connection, in ms. */
const handshakeTimeoutMs = 2_000;

/** Time without a sign of life after which a link is pinged before it is used again, in ms. */
const pingAfterIdleMs = 700;
/** Longest wait for a pong before a link counts as dead, in ms: some hundred round trips. */
const pongTimeoutMs = 600;

/** Time without a byte after which a connection is closed that others wait for, in ms: some hundred round trips. */
const incompleteStallMs = 1_000;

/** An outgoing connection to a peer. */
interface Link {
  readonly address: string;
  readonly socket: WebSocket;
  readonly codec: PeerCodec;
  readonly queuedMessages: PeerMessage[];
  /** When the link was last known to carry bytes in both directions, in ms. */
  lastAliveAtMs: number;
  /** When the unanswered ping was sent, in ms; undefined if no pong is awaited. */
  pingedAtMs: number | undefined;
}

/** Compares two secrets in a time that does not depend on where they differ. */
function isSameSecret(receivedSecret: string, expectedSecret: string): boolean {
  const received = Buffer.from(receivedSecret);
  const expected = Buffer.from(expectedSecret);
  return received.length === expected.length && timingSafeEqual(received, expected);
}

/**
 * Owns the WebSocket connections to and from the other hosts. Each direction of a pair of hosts has its own
 * connection: a host sends on the connections it opens and receives on those it accepts.
 */
export class PeerTask {
  readonly #options: PeerTaskOptions;
  readonly #addresses = new Map<string, string>();
  readonly #links = new Map<string, Link>();
  readonly #disconnectedAtMs = new Map<string, number>();
  readonly #incomplete = new IncompleteMessages<WebSocket>();
  /** Connections that are not read until others have completed their messages. */
  readonly #pausedSockets = new Set<WebSocket>();
  #stallCheck: NodeJS.Timeout | undefined;
  #server: WebSocketServer | undefined;
  #httpServer: Server | undefined;
  #isStopped = false;

  constructor(options: Partial<PeerTaskOptions> & RequiredPeerOptions) {
    this.#options = {...DEFAULT_PEER_OPTIONS, ...options};
  }

  /** Starts to accept connections from peers; fails if the port cannot be bound. */
  async start(): Promise<void> {
    const {listenHost, listenPort, maxMessageBytes} = this.#options;
    const httpServer = createServer(
      {headersTimeout: handshakeTimeoutMs, connectionsCheckingInterval: handshakeTimeoutMs},
      (_incoming, outgoing) => {
        outgoing.writeHead(426, {'content-length': '0', connection: 'close'}).end();
      },
    );
    this.#options.guard(httpServer);
    const server = new WebSocketServer({
      server: httpServer,
      maxPayload: maxMessageBytes,
      perMessageDeflate: false,
      verifyClient: ({req}: {req: IncomingMessage}) => this.#isAuthorized(req),
    });
    this.#server = server;
    this.#httpServer = httpServer;
    server.on('connection', (socket, request) => {
      this.#boundIncompleteMessages(socket, request.socket);
      this.#onConnection(socket, String(request.headers[hostHeader] ?? ''));
    });
    await new Promise<void>((resolve, reject) => {
      server.once('listening', resolve);
      server.once('error', reject);
      httpServer.listen(listenPort, listenHost);
    });
  }

  /** Replaces the addresses of the hosts; links to unlisted hosts or to changed addresses are closed. */
  setHosts(hosts: readonly {readonly id: string; readonly peerAddress: string}[]): void {
    this.#addresses.clear();
    for (const {id, peerAddress} of hosts) {
      this.#addresses.set(id, peerAddress);
    }
    for (const [hostId, link] of this.#links) {
      if (this.#addresses.get(hostId) !== link.address) {
        this.#links.delete(hostId);
        link.socket.terminate();
      }
    }
  }

  /**
   * Sends a message, opening a link if needed. The message is dropped if the host's address is unknown, its link
   * broke less than `reconnectMs` ago or the queue of the link is full; peers recover from lost messages by
   * sending again. A stopped task sends nothing, as a new link would keep its process alive.
   */
  send(toHostId: string, message: PeerMessage): void {
    if (this.#isStopped) {
      return;
    }
    const link = this.#links.get(toHostId) ?? this.#connect(toHostId);
    if (link === undefined) {
      return;
    }
    if (link.socket.readyState === WebSocket.OPEN) {
      const liveLink = this.#checkAlive(toHostId, link) ? link : this.#connect(toHostId);
      this.#writeOrQueue(toHostId, liveLink, message);
      return;
    }
    this.#writeOrQueue(toHostId, link, message);
  }

  #writeOrQueue(toHostId: string, link: Link | undefined, message: PeerMessage): void {
    if (link === undefined) {
      return;
    }
    if (link.socket.readyState === WebSocket.OPEN) {
      this.#write(toHostId, link, message);
      return;
    }
    if (link.queuedMessages.length < this.#options.maxQueuedMessages) {
      link.queuedMessages.push(message);
    }
  }

  /** Pings an idle link; closes a link that did not answer its ping in time and returns false. */
  #checkAlive(toHostId: string, link: Link): boolean {
    const nowMs = performance.now();
    if (link.pingedAtMs !== undefined && nowMs - link.pingedAtMs > pongTimeoutMs) {
      this.#links.delete(toHostId);
      link.socket.terminate();
      this.#options.report({type: 'refused', fromHostId: toHostId, reason: 'silent'});
      return false;
    }
    if (link.pingedAtMs === undefined && nowMs - link.lastAliveAtMs > pingAfterIdleMs) {
      link.pingedAtMs = nowMs;
      link.socket.ping();
    }
    return true;
  }

  /** Closes all connections and stops accepting new ones. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    for (const {socket} of this.#links.values()) {
      socket.close();
    }
    this.#links.clear();
    clearInterval(this.#stallCheck);
    const server = this.#server;
    if (server === undefined) {
      return;
    }
    for (const socket of server.clients) {
      socket.terminate();
    }
    await new Promise<void>((resolve) => {
      server.close();
      this.#httpServer?.close(() => {
        resolve();
      });
      this.#httpServer?.closeAllConnections();
    });
  }

  /** True if a connecting host sent the shared secret, or if none is required. */
  #isAuthorized(request: IncomingMessage): boolean {
    const {sharedSecret} = this.#options;
    const receivedSecret = String(request.headers[secretHeader] ?? '');
    if (sharedSecret === undefined || isSameSecret(receivedSecret, sharedSecret)) {
      return true;
    }
    const fromHostId = String(request.headers[hostHeader] ?? '');
    this.#options.report({type: 'refused', fromHostId, reason: 'secret'});
    return false;
  }

  /**
   * Counts the bytes of messages that are not complete. Where they are many, only the connection that has gone longest
   * without a complete message is read, so that one after the other can complete its message.
   */
  #boundIncompleteMessages(socket: WebSocket, connection: Socket): void {
    this.#incomplete.open(socket, performance.now());
    // Counted before the WebSocket library reads the bytes and reports the messages that they complete.
    connection.prependListener('data', (chunk: Buffer) => {
      this.#incomplete.add(socket, chunk.length, performance.now());
      if (this.#isReadingOne() && this.#incomplete.longestIncomplete() !== socket) {
        socket.pause();
        this.#pausedSockets.add(socket);
        this.#stallCheck ??= setInterval(() => {
          this.#closeStalled();
        }, incompleteStallMs);
      }
    });
    socket.on('message', () => {
      this.#incomplete.complete(socket, performance.now());
      this.#resumePaused();
    });
    socket.on('close', () => {
      this.#incomplete.close(socket);
      this.#pausedSockets.delete(socket);
      this.#resumePaused();
    });
  }

  /** True where a further large message would exceed the limit, so that connections are read one at a time. */
  #isReadingOne(): boolean {
    return this.#incomplete.totalBytes > this.#options.maxIncompleteBytes / 2;
  }

  /** Reads paused connections again: all of them where there is room, else the one whose turn it is. */
  #resumePaused(): void {
    const next = this.#isReadingOne() ? this.#incomplete.longestIncomplete() : undefined;
    for (const socket of [...this.#pausedSockets]) {
      if (next === undefined || next === socket) {
        this.#pausedSockets.delete(socket);
        // The pause was not the fault of the other host, so its time without a byte starts now.
        this.#incomplete.add(socket, 0, performance.now());
        socket.resume();
      }
    }
    if (this.#pausedSockets.size === 0) {
      clearInterval(this.#stallCheck);
      this.#stallCheck = undefined;
    }
  }

  /** Closes the connection that the paused ones wait for, if it sends nothing. */
  #closeStalled(): void {
    const holder = this.#incomplete.longestIncomplete();
    const nowMs = performance.now();
    if (holder !== undefined && this.#incomplete.isStalled(holder, incompleteStallMs, nowMs)) {
      this.#options.report({type: 'refused', fromHostId: '', reason: 'incomplete'});
      holder.terminate();
      return;
    }
    this.#resumePaused();
  }

  #onConnection(socket: WebSocket, fromHostId: string): void {
    const codec = new PeerCodec();
    socket.on('error', () => {
      socket.terminate();
    });
    socket.on('message', (data: Buffer) => {
      const decoded = codec.decode(data);
      this.#options.report({
        type: 'bytes',
        direction: 'in',
        count: data.length,
        hostId: fromHostId,
        messageType: decoded.isOk() ? decoded.value.type : undefined,
      });
      if (decoded.isErr()) {
        this.#options.report({type: 'refused', fromHostId, reason: 'message'});
        socket.terminate();
        return;
      }
      this.#options.report({type: 'received', fromHostId, message: decoded.value});
    });
  }

  /** Opens a link to a host; undefined if its address is unknown or its link broke too recently. */
  #connect(toHostId: string): Link | undefined {
    const {areHostIdsAddresses} = this.#options;
    const address = this.#addresses.get(toHostId) ?? (areHostIdsAddresses ? toHostId : undefined);
    const disconnectedAtMs = this.#disconnectedAtMs.get(toHostId) ?? Number.NEGATIVE_INFINITY;
    if (address === undefined || performance.now() - disconnectedAtMs < this.#options.reconnectMs) {
      return undefined;
    }
    const {selfId, sharedSecret, maxMessageBytes} = this.#options;
    const headers: Record<string, string> = {[hostHeader]: selfId};
    if (sharedSecret !== undefined) {
      headers[secretHeader] = sharedSecret;
    }
    const socket = new WebSocket(`ws://${address}`, {
      headers,
      perMessageDeflate: false,
      maxPayload: maxMessageBytes,
      handshakeTimeout: handshakeTimeoutMs,
    });
    const link: Link = {
      address,
      socket,
      codec: new PeerCodec(),
      queuedMessages: [],
      lastAliveAtMs: performance.now(),
      pingedAtMs: undefined,
    };
    this.#links.set(toHostId, link);
    this.#attachHandlers(toHostId, link);
    return link;
  }

  /** Sends the queued messages once the link opens, tracks its pongs, and removes it when it breaks. */
  #attachHandlers(toHostId: string, link: Link): void {
    const {socket, queuedMessages} = link;
    socket.on('pong', () => {
      link.lastAliveAtMs = performance.now();
      link.pingedAtMs = undefined;
    });
    socket.on('open', () => {
      link.lastAliveAtMs = performance.now();
      for (const message of queuedMessages.splice(0)) {
        this.#write(toHostId, link, message);
      }
    });
    const dropLink = (): void => {
      if (this.#links.get(toHostId) === link) {
        this.#disconnectedAtMs.set(toHostId, performance.now());
        this.#links.delete(toHostId);
      }
      socket.terminate();
    };
    socket.on('close', dropLink);
    socket.on('error', (error: NodeJS.ErrnoException) => {
      dropLink();
      if (error.code === 'ECONNREFUSED') {
        this.#options.report({type: 'absent', hostId: toHostId});
      }
    });
  }

  #write(hostId: string, {socket, codec}: Link, message: PeerMessage): void {
    const bytes = codec.encode(message);
    this.#options.report({
      type: 'bytes',
      direction: 'out',
      count: bytes.length,
      hostId,
      messageType: message.type,
    });
    socket.send(bytes);
  }
}
