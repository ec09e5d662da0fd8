import {timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import type {PeerMessage} from '@godwitspring/core';
import {WebSocket, WebSocketServer} from 'ws';
import {PeerCodec} from './peerCodec.ts';

/** What the task tells its owner. */
export type PeerReport =
  | {
      readonly type: 'received';
      readonly fromHostId: string;
      readonly message: PeerMessage;
    }
  | {readonly type: 'refused'; readonly fromHostId: string; readonly reason: string}
  /** Nobody listens at the host's address. */
  | {readonly type: 'absent'; readonly hostId: string}
  | {readonly type: 'bytes'; readonly direction: 'in' | 'out'; readonly count: number};

export interface PeerTaskOptions {
  readonly selfId: string;
  /** IP number on which peers connect. */
  readonly listenHost: string;
  readonly listenPort: number;
  /** Secret shown to and asked of every peer. Default: none. */
  readonly sharedSecret: string | undefined;
  /** Largest message taken, in bytes. Default: 2,097,152. */
  readonly maxMessageBytes: number;
  /** Messages kept for a link that is being opened. Default: 64. */
  readonly maxQueuedMessages: number;
  /** True where a host's id is its address, so that hosts that are not listed can be answered. Default: false. */
  readonly areIdsAddresses: boolean;
  /** Wait before a broken link is opened again, in ms. Default: 500. */
  readonly reconnectMs: number;
  readonly report: (report: PeerReport) => void;
}

export const DEFAULT_PEER_OPTIONS = {
  sharedSecret: undefined,
  maxMessageBytes: 2_097_152,
  maxQueuedMessages: 64,
  areIdsAddresses: false,
  reconnectMs: 500,
} as const;

type RequiredPeerOptions = Pick<PeerTaskOptions, 'selfId' | 'listenHost' | 'listenPort' | 'report'>;

const hostHeader = 'x-fleet-host';
const secretHeader = 'x-fleet-secret';
const openTimeoutMs = 2_000;

/** Age of the last sign of life from which a link is asked for one, in ms. */
const quietMs = 700;
/** Longest wait for a sign of life before a link counts as dead, in ms: some hundred round trips. */
const signOfLifeTimeoutMs = 600;

interface Link {
  readonly address: string;
  readonly socket: WebSocket;
  readonly codec: PeerCodec;
  readonly queued: PeerMessage[];
  /** When the peer last showed that the link carries bytes both ways, in ms. */
  aliveAtMs: number;
  /** When a sign of life was asked for; undefined where none is awaited, in ms. */
  askedAtMs: number | undefined;
}

function isSameSecret(shown: string, asked: string): boolean {
  const one = Buffer.from(shown);
  const other = Buffer.from(asked);
  return one.length === other.length && timingSafeEqual(one, other);
}

/** Owns the sockets to and from the other hosts; each direction has its own connection. */
export class PeerTask {
  readonly #options: PeerTaskOptions;
  readonly #addresses = new Map<string, string>();
  readonly #links = new Map<string, Link>();
  readonly #closedAtMs = new Map<string, number>();
  #server: WebSocketServer | undefined;

  constructor(options: Partial<PeerTaskOptions> & RequiredPeerOptions) {
    this.#options = {...DEFAULT_PEER_OPTIONS, ...options};
  }

  async start(): Promise<void> {
    const {listenHost, listenPort, maxMessageBytes} = this.#options;
    const server = new WebSocketServer({
      host: listenHost,
      port: listenPort,
      maxPayload: maxMessageBytes,
      perMessageDeflate: false,
      verifyClient: ({req}: {req: IncomingMessage}) => this.#isAllowed(req),
    });
    this.#server = server;
    server.on('connection', (socket, request) => {
      this.#onConnection(socket, String(request.headers[hostHeader] ?? ''));
    });
    await new Promise<void>((resolve, reject) => {
      server.once('listening', resolve);
      server.once('error', reject);
    });
  }

  /** Takes the addresses of all hosts; links to others are closed. */
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

  /** Sends a message if the host is known and its link not broken lately; peers repeat what is lost. */
  send(toHostId: string, message: PeerMessage): void {
    const link = this.#links.get(toHostId) ?? this.#open(toHostId);
    if (link === undefined) {
      return;
    }
    if (link.socket.readyState === WebSocket.OPEN) {
      const usable = this.#isAlive(toHostId, link) ? link : this.#open(toHostId);
      this.#writeOrQueue(usable, message);
      return;
    }
    this.#writeOrQueue(link, message);
  }

  #writeOrQueue(link: Link | undefined, message: PeerMessage): void {
    if (link === undefined) {
      return;
    }
    if (link.socket.readyState === WebSocket.OPEN) {
      this.#write(link, message);
      return;
    }
    if (link.queued.length < this.#options.maxQueuedMessages) {
      link.queued.push(message);
    }
  }

  /** Asks a quiet link for a sign of life; gives up one that did not show any in time. */
  #isAlive(toHostId: string, link: Link): boolean {
    const nowMs = performance.now();
    if (link.askedAtMs !== undefined && nowMs - link.askedAtMs > signOfLifeTimeoutMs) {
      this.#links.delete(toHostId);
      link.socket.terminate();
      this.#options.report({type: 'refused', fromHostId: toHostId, reason: 'silent'});
      return false;
    }
    if (link.askedAtMs === undefined && nowMs - link.aliveAtMs > quietMs) {
      link.askedAtMs = nowMs;
      link.socket.ping();
    }
    return true;
  }

  async stop(): Promise<void> {
    for (const {socket} of this.#links.values()) {
      socket.close();
    }
    this.#links.clear();
    const server = this.#server;
    if (server === undefined) {
      return;
    }
    for (const socket of server.clients) {
      socket.terminate();
    }
    await new Promise<void>((resolve) => {
      server.close(() => {
        resolve();
      });
    });
  }

  #isAllowed(request: IncomingMessage): boolean {
    const {sharedSecret} = this.#options;
    const shown = String(request.headers[secretHeader] ?? '');
    if (sharedSecret === undefined || isSameSecret(shown, sharedSecret)) {
      return true;
    }
    const fromHostId = String(request.headers[hostHeader] ?? '');
    this.#options.report({type: 'refused', fromHostId, reason: 'secret'});
    return false;
  }

  #onConnection(socket: WebSocket, fromHostId: string): void {
    const codec = new PeerCodec();
    socket.on('error', () => {
      socket.terminate();
    });
    socket.on('message', (data: Buffer) => {
      this.#options.report({type: 'bytes', direction: 'in', count: data.length});
      const decoded = codec.decode(data);
      if (decoded.isErr()) {
        this.#options.report({type: 'refused', fromHostId, reason: 'message'});
        socket.terminate();
        return;
      }
      this.#options.report({type: 'received', fromHostId, message: decoded.value});
    });
  }

  #open(toHostId: string): Link | undefined {
    const {areIdsAddresses} = this.#options;
    const address = this.#addresses.get(toHostId) ?? (areIdsAddresses ? toHostId : undefined);
    const closedAtMs = this.#closedAtMs.get(toHostId) ?? Number.NEGATIVE_INFINITY;
    if (address === undefined || performance.now() - closedAtMs < this.#options.reconnectMs) {
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
      handshakeTimeout: openTimeoutMs,
    });
    const link: Link = {
      address,
      socket,
      codec: new PeerCodec(),
      queued: [],
      aliveAtMs: performance.now(),
      askedAtMs: undefined,
    };
    this.#links.set(toHostId, link);
    this.#watch(toHostId, link);
    return link;
  }

  #watch(toHostId: string, link: Link): void {
    const {socket, queued} = link;
    socket.on('pong', () => {
      link.aliveAtMs = performance.now();
      link.askedAtMs = undefined;
    });
    socket.on('open', () => {
      link.aliveAtMs = performance.now();
      for (const message of queued.splice(0)) {
        this.#write(link, message);
      }
    });
    const drop = (): void => {
      if (this.#links.get(toHostId) === link) {
        this.#closedAtMs.set(toHostId, performance.now());
        this.#links.delete(toHostId);
      }
      socket.terminate();
    };
    socket.on('close', drop);
    socket.on('error', (error: NodeJS.ErrnoException) => {
      drop();
      if (error.code === 'ECONNREFUSED') {
        this.#options.report({type: 'absent', hostId: toHostId});
      }
    });
  }

  #write({socket, codec}: Link, message: PeerMessage): void {
    const bytes = codec.encode(message);
    this.#options.report({type: 'bytes', direction: 'out', count: bytes.length});
    socket.send(bytes);
  }
}
