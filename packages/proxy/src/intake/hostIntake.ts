import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {
  DEFAULT_INTAKE_OPTIONS,
  LongestStall,
  MemoryBudget,
  PipelineWindow,
  maxConnections,
} from '@godwitspring/core';
import type {
  EvictionPolicy,
  IntakeAddress,
  IntakeOptions,
  Reservation,
  ScarceResource,
} from '@godwitspring/core';
import {breakOff, isCloseDelimited} from '../callers/breakOff.ts';
import type {TimerHandle, TimerService} from '../timer/timerService.ts';
import {GuardedConnection} from './guardedConnection.ts';
import type {GuardedRequest} from './guardedConnection.ts';

/** Settings and collaborators of the intake of a host. */
export interface HostIntakeOptions {
  readonly limits: IntakeOptions;
  /** Chooses the connections to close. Default: those that have gone longest without progress. */
  readonly evictionPolicy: EvictionPolicy;
  readonly timers: TimerService;
  readonly count: (name: string, tags: Record<string, string>, by?: number) => void;
  /** Logs a warning. */
  readonly warn: (event: string, fields: Readonly<Record<string, unknown>>) => void;
}

type RequiredHostIntakeOptions = Pick<HostIntakeOptions, 'timers' | 'count' | 'warn'>;

/** Serves one request. */
export type RequestListener = (incoming: IncomingMessage, outgoing: ServerResponse) => void;

/** Fields that the host which relays an attempt adds to those of the caller, at most. */
const relayedAttemptFields = 32;
/** Interval between two checks of all connections, in ms. */
const sweepMs = 1_000;
/** Interval between two checks while more memory is held than the limit, in ms. */
const exceededSweepMs = 100;
/** Shortest time between two searches for connections to close, in ms: a search visits every connection. */
const searchMs = 20;
/** Shortest time between two log lines, in ms; each names all that was closed or refused since the last one. */
const logMs = 1_000;

/** Connections that may be closed, the first one first. */
interface Search {
  readonly atMs: number;
  readonly found: GuardedConnection[];
}

/**
 * Bounds what a process holds for its callers: connections, bodies, unread responses and pipelined requests, over all
 * its addresses. The decisions are those of the core; this class counts, closes sockets and delays requests.
 */
export class HostIntake {
  readonly #limits: IntakeOptions;
  readonly #options: RequiredHostIntakeOptions;
  readonly #budget: MemoryBudget;
  readonly #policy: EvictionPolicy;
  readonly #window: PipelineWindow;
  readonly #connections = new Map<Socket, GuardedConnection>();
  readonly #openByAddress = new Map<IntakeAddress, number>();
  readonly #requests = new WeakMap<ServerResponse, GuardedRequest>();
  readonly #searches = new Map<string, Search>();
  readonly #unlogged = new Map<string, number>();
  #loggedAtMs = Number.NEGATIVE_INFINITY;
  #sweep: TimerHandle | undefined;

  constructor(options: Partial<HostIntakeOptions> & RequiredHostIntakeOptions) {
    this.#limits = options.limits ?? DEFAULT_INTAKE_OPTIONS;
    this.#options = options;
    this.#budget = new MemoryBudget(this.#limits);
    this.#policy = options.evictionPolicy ?? new LongestStall(this.#limits);
    this.#window = new PipelineWindow(this.#limits);
  }

  /**
   * Guards a server: its connections, the heads it accepts and the order in which its listeners get requests. Called
   * after the listeners are set and before the server listens. `refuse` answers a head that is not accepted.
   */
  attach(server: Server, address: IntakeAddress, refuse = writePlainRefusal): void {
    // One more than allowed, as further fields are dropped without a sign.
    server.maxHeadersCount = this.#limits.maxHeadFields + 1;
    const maxHeadFields =
      this.#limits.maxHeadFields + (address === 'relay' ? relayedAttemptFields : 0);
    const listeners = server.listeners('request') as RequestListener[];
    server.removeAllListeners('request');
    server.on('request', (incoming, outgoing) => {
      const isAccepted = incoming.rawHeaders.length / 2 <= maxHeadFields;
      this.#onRequest({incoming, outgoing, reservations: [], onTooSlow: undefined}, () => {
        if (!isAccepted) {
          this.countRefused('head-fields');
          refuse(incoming, outgoing);
          return;
        }
        for (const listener of listeners) {
          listener(incoming, outgoing);
        }
      });
    });
    server.on('connection', (socket: Socket) => {
      this.#onConnection(socket, address);
    });
    if (address !== 'peers') {
      // With a listener, node:http leaves requests that offer an upgrade, such as to HTTP/2, without a response.
      return;
    }
    server.prependListener('upgrade', (_incoming: IncomingMessage, socket: Socket) => {
      const connection = this.#connections.get(socket);
      if (connection !== undefined) {
        connection.isUpgraded = true;
      }
    });
  }

  /** True where a request of the connection is in progress, so that its next bytes are the response to that one. */
  hasRequests(socket: Socket): boolean {
    return (this.#connections.get(socket)?.inProgress.size ?? 0) > 0;
  }

  /**
   * Reserves memory for a request until its response is complete or its connection closes. Closes connections without
   * progress where too little is free; false where that is not enough.
   */
  tryHold(outgoing: ServerResponse, bytes: number, customerId?: string): boolean {
    const request = this.#requests.get(outgoing);
    const own = this.#connectionOf(request);
    if (request === undefined || own === undefined) {
      return true;
    }
    let reservation = this.#budget.tryReserve(bytes, customerId);
    while (reservation === undefined && !this.#budget.exceedsShare(bytes, customerId)) {
      const victim = this.#nextVictim('memory', own);
      if (victim === undefined) {
        break;
      }
      this.#close(victim, 'memory');
      reservation = this.#budget.tryReserve(bytes, customerId);
    }
    if (reservation === undefined) {
      return false;
    }
    this.#add(own, request, reservation);
    return true;
  }

  /** Reserves the memory for the streams of a request whose body is not buffered. */
  tryHoldStream(outgoing: ServerResponse): boolean {
    return this.tryHold(outgoing, this.#limits.streamedBodyBytes);
  }

  /** Counts memory that is held for a response, as it arrived already. */
  hold(outgoing: ServerResponse, bytes: number): void {
    const request = this.#requests.get(outgoing);
    const connection = this.#connectionOf(request);
    if (request === undefined || connection === undefined) {
      return;
    }
    this.#add(connection, request, this.#budget.reserve(bytes));
    if (this.#budget.isExceeded) {
      this.#relieve();
    }
  }

  /** Sets what ends a request whose caller sends its body too slowly. */
  onTooSlow(outgoing: ServerResponse, end: (() => void) | undefined): void {
    const request = this.#requests.get(outgoing);
    if (request !== undefined) {
      request.onTooSlow = end;
    }
  }

  /** Counts a request that is refused for a limit on callers. */
  countRefused(reason: string): void {
    this.#options.count('intake.refused', {reason});
    this.#log(`refused.${reason}`);
  }

  /** Closes a connection at once; resets it where a response is being sent whose end a close would mark. */
  close(socket: Socket): void {
    const inProgress = this.#connections.get(socket)?.inProgress ?? [];
    for (const {outgoing} of inProgress) {
      if (outgoing.socket === socket && isCloseDelimited(outgoing)) {
        socket.resetAndDestroy();
        return;
      }
    }
    socket.destroy();
  }

  /** Resets the connections on which responses are being sent whose end a close would mark. */
  breakOffResponses(): void {
    for (const {inProgress} of [...this.#connections.values()]) {
      for (const {outgoing} of inProgress) {
        if (isCloseDelimited(outgoing)) {
          breakOff(outgoing);
        }
      }
    }
  }

  /** Ends the checks; connections are closed by the servers that own them. */
  stop(): void {
    this.#sweep?.cancel();
    this.#sweep = undefined;
  }

  #onConnection(socket: Socket, address: IntakeAddress): void {
    const {timers} = this.#options;
    const open = this.#openByAddress.get(address) ?? 0;
    if (open >= maxConnections(address, this.#limits)) {
      const victim = this.#nextVictim('connections', undefined, address);
      if (victim === undefined) {
        this.#count('connections', address);
        socket.destroy();
        return;
      }
      this.#close(victim, 'connections');
    }
    const connection = new GuardedConnection(socket, address, this.#limits, timers.nowMs());
    this.#connections.set(socket, connection);
    this.#openByAddress.set(address, (this.#openByAddress.get(address) ?? 0) + 1);
    socket.once('close', () => {
      this.#forget(connection);
    });
    this.#scheduleSweep();
  }

  #onRequest(request: GuardedRequest, serve: () => void): void {
    const {outgoing, incoming} = request;
    const connection = this.#connections.get(incoming.socket);
    if (connection === undefined) {
      incoming.socket.destroy();
      return;
    }
    this.#requests.set(outgoing, request);
    const {inProgress, waiting} = connection;
    switch (this.#window.decide(inProgress.size, waiting.length)) {
      case 'serve':
        this.#serve(connection, request, serve);
        return;
      case 'serve-ahead':
        if (this.#tryServeAhead(connection, request, serve)) {
          return;
        }
        break;
      case 'wait':
        break;
      case 'close':
        this.#close(connection, 'pipelined');
        return;
    }
    const reservation = this.#budget.tryReserve(this.#limits.queuedRequestBytes);
    if (reservation === undefined) {
      this.#close(connection, 'pipelined');
      return;
    }
    this.#add(connection, request, reservation);
    waiting.push({request, serve});
    connection.socket.pause();
  }

  #serve(connection: GuardedConnection, request: GuardedRequest, serve: () => void): void {
    connection.inProgress.add(request);
    request.outgoing.once('close', () => {
      this.#onServed(connection, request);
    });
    serve();
  }

  /** Serves a request while an earlier response of its connection is not sent, if memory for its response is free. */
  #tryServeAhead(
    connection: GuardedConnection,
    request: GuardedRequest,
    serve: () => void,
  ): boolean {
    const reservation = this.#budget.tryReserve(this.#limits.aheadBytes);
    if (reservation === undefined) {
      return false;
    }
    this.#add(connection, request, reservation);
    this.#serve(connection, request, serve);
    return true;
  }

  /** Frees what a request held and serves the ones that waited for it. */
  #onServed(connection: GuardedConnection, request: GuardedRequest): void {
    connection.inProgress.delete(request);
    this.#release(connection, request);
    const {waiting, inProgress, socket} = connection;
    while (waiting[0] !== undefined && socket.writable) {
      const decision = this.#window.decide(inProgress.size, 0);
      const {request: next, serve} = waiting[0];
      if (decision === 'serve') {
        waiting.shift();
        this.#serve(connection, next, serve);
      } else if (decision === 'serve-ahead' && this.#tryServeAhead(connection, next, serve)) {
        waiting.shift();
      } else {
        return;
      }
    }
    if (socket.isPaused() && socket.writable) {
      socket.resume();
    }
  }

  #add(connection: GuardedConnection, request: GuardedRequest, reservation: Reservation): void {
    request.reservations.push(reservation);
    connection.heldBytes += reservation.bytes;
  }

  #release(connection: GuardedConnection, {reservations}: GuardedRequest): void {
    for (const reservation of reservations.splice(0)) {
      connection.heldBytes -= reservation.bytes;
      this.#budget.release(reservation);
    }
  }

  #connectionOf(request: GuardedRequest | undefined): GuardedConnection | undefined {
    return request === undefined ? undefined : this.#connections.get(request.incoming.socket);
  }

  /** The connection to close next for a resource; undefined where none may be closed. */
  #nextVictim(
    scarce: ScarceResource,
    except: GuardedConnection | undefined,
    address?: IntakeAddress,
  ): GuardedConnection | undefined {
    const nowMs = this.#options.timers.nowMs();
    const key = `${scarce} ${address ?? ''}`;
    const last = this.#searches.get(key);
    const isDue = last === undefined || nowMs - last.atMs >= searchMs;
    const search = isDue ? {atMs: nowMs, found: this.#stalled(scarce, address, nowMs)} : last;
    if (search === undefined) {
      return undefined;
    }
    this.#searches.set(key, search);
    let victim = search.found.shift();
    while (victim !== undefined) {
      victim.observe(nowMs);
      const isStalled = this.#policy.candidates([victim], scarce, nowMs).length > 0;
      if (victim !== except && isStalled && this.#connections.has(victim.socket)) {
        return victim;
      }
      victim = search.found.shift();
    }
    return undefined;
  }

  #stalled(
    scarce: ScarceResource,
    address: IntakeAddress | undefined,
    nowMs: number,
  ): GuardedConnection[] {
    const views: GuardedConnection[] = [];
    for (const connection of this.#connections.values()) {
      if (address === undefined || connection.address === address) {
        connection.observe(nowMs);
        views.push(connection);
      }
    }
    return this.#policy.candidates(views, scarce, nowMs);
  }

  /** Closes connections without progress until no more memory is held than the limit. */
  #relieve(): void {
    while (this.#budget.isExceeded) {
      const victim = this.#nextVictim('exceeded-memory', undefined);
      if (victim === undefined) {
        break;
      }
      this.#close(victim, 'memory');
    }
    if (this.#budget.isExceeded) {
      this.#scheduleSweep(exceededSweepMs);
    }
  }

  #close(connection: GuardedConnection, reason: string): void {
    this.#count(reason, connection.address);
    this.close(connection.socket);
    this.#forget(connection);
  }

  /** Frees all that a closed connection held, and reports the end of its requests. */
  #forget(connection: GuardedConnection): void {
    const {socket, address, inProgress, waiting} = connection;
    if (!this.#connections.delete(socket)) {
      return;
    }
    this.#openByAddress.set(address, (this.#openByAddress.get(address) ?? 1) - 1);
    for (const {request} of waiting.splice(0)) {
      this.#release(connection, request);
      request.outgoing.destroy();
    }
    for (const request of [...inProgress]) {
      this.#release(connection, request);
      const {outgoing} = request;
      // A response that waits behind others has no socket yet, so that `node:http` does not report its end.
      if (outgoing.socket === null) {
        outgoing.destroy();
        outgoing.emit('close');
      }
    }
  }

  #scheduleSweep(afterMs = sweepMs): void {
    const {timers} = this.#options;
    if (this.#sweep !== undefined && afterMs === sweepMs) {
      return;
    }
    this.#sweep?.cancel();
    this.#sweep = timers.at(timers.nowMs() + afterMs, () => {
      this.#sweep = undefined;
      this.#checkConnections(timers.nowMs());
    });
  }

  /** Closes the connections whose callers send or read too slowly. */
  #checkConnections(nowMs: number): void {
    for (const connection of [...this.#connections.values()]) {
      connection.observe(nowMs);
      const slow = connection.slowRequest();
      if (slow?.onTooSlow !== undefined) {
        this.countRefused('slow-body');
        slow.onTooSlow();
      } else if (slow !== undefined) {
        this.#close(connection, 'slow-body');
      } else if (connection.isReadTooSlowly) {
        this.#close(connection, 'slow-reader');
      }
    }
    if (this.#budget.isExceeded) {
      this.#relieve();
    }
    if (this.#connections.size > 0) {
      this.#scheduleSweep();
    }
  }

  #count(reason: string, address: IntakeAddress): void {
    this.#options.count('intake.closed', {reason, address});
    this.#log(`closed.${reason}.${address}`);
  }

  /** Logs at most one line a second, with the number of connections and requests by reason. */
  #log(what: string): void {
    const nowMs = this.#options.timers.nowMs();
    this.#unlogged.set(what, (this.#unlogged.get(what) ?? 0) + 1);
    if (nowMs - this.#loggedAtMs < logMs) {
      return;
    }
    this.#loggedAtMs = nowMs;
    this.#options.warn('intake.limited', {
      ...Object.fromEntries(this.#unlogged),
      heldBytes: this.#budget.usedBytes,
      connections: this.#connections.size,
    });
    this.#unlogged.clear();
  }
}

/** Refuses a request at an address that callers do not use. */
function writePlainRefusal(_incoming: IncomingMessage, outgoing: ServerResponse): void {
  outgoing.writeHead(431, {'content-length': '0', connection: 'close'});
  outgoing.end();
}
