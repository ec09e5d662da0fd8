import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {LiveHost} from '../messages/hostMessages.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import type {RandomSource} from '../random/randomSource.ts';
import {RosterTable} from './rosterTable.ts';
import type {RosterTableIdentity, RosterTableOptions} from './rosterTable.ts';

/** Settings of the gossip about the members of the fleet. */
export interface RosterTaskOptions extends RosterTableIdentity {
  /** Peer addresses of some hosts of the fleet, by which the others are found; they may be stale or down. */
  readonly seedIds: readonly string[];
  readonly random: RandomSource;
  /** Interval between rounds of gossip, in ms. Default: 800. */
  readonly roundMs: number;
  /** Interval between rounds of gossip in the startup phase, in ms. Default: 200. */
  readonly startupRoundMs: number;
  /** Length of the startup phase of a host, in ms. Default: 3,000. */
  readonly startupMs: number;
  /** Number of rounds of which one goes to another data centre. Default: 4. */
  readonly remoteEveryRounds: number;
  /** Settings of the member list. */
  readonly tableOptions: Partial<RosterTableOptions>;
}

/** Defaults of {@link RosterTaskOptions}. */
export const DEFAULT_ROSTER_OPTIONS = {
  roundMs: 800,
  startupRoundMs: 200,
  startupMs: 3_000,
  remoteEveryRounds: 4,
  tableOptions: {},
} as const;

type RequiredRosterOptions = Pick<RosterTaskOptions, 'seedIds' | 'random'> & RosterTableIdentity;

const timerId = 'roster.round';

/**
 * Maintains the roster, a gossip-based member list, in a fleet whose hosts are not published by a platform.
 *
 * In each round a host increments its own heartbeat counter and sends its list to one peer, mostly in its
 * own data centre. A host whose counter stops growing counts as dead. A host's id is the address of its
 * peer port.
 */
export class RosterTask implements CoreTask {
  readonly accepts = [
    'peerMessageReceived',
    'peerAbsent',
    'seedsChanged',
    'timerFired',
    'shutdownAnnounced',
    'statusWanted',
  ] as const;

  readonly #options: RosterTaskOptions;
  readonly #table: RosterTable;
  #startedAtMs: number | undefined;
  #round = 0;
  #lastReported = '';
  #live: readonly LiveHost[] = [];
  #seedIds: readonly string[];

  constructor(options: Partial<RosterTaskOptions> & RequiredRosterOptions) {
    this.#options = {...DEFAULT_ROSTER_OPTIONS, ...options};
    this.#seedIds = options.seedIds;
    this.#table = new RosterTable(options, this.#options.tableOptions);
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'timerFired':
        return this.#onTimer(message.timerId, nowMs);
      case 'peerMessageReceived':
        return this.#onPeerMessage(message.fromHostId, message.message, nowMs);
      case 'peerAbsent':
        this.#table.markDead(message.hostId);
        return this.#reportChange(nowMs);
      case 'seedsChanged':
        this.#seedIds = message.seedIds;
        return [this.#linkPeers(this.#live)];
      case 'shutdownAnnounced':
        this.#table.markLeaving();
        return [...this.#gossipToAll(nowMs), ...this.#reportChange(nowMs)];
      case 'statusWanted': {
        const value = {
          live: this.#live.map(({hostId}) => hostId),
          known: this.#table.knownCount(nowMs),
        };
        return [{type: 'statusReported', askId: message.askId, section: 'roster', value}];
      }
      default:
        return [];
    }
  }

  #onTimer(firedId: string, nowMs: number): readonly CoreMessage[] {
    if (firedId !== timerId && firedId !== 'start') {
      return [];
    }
    this.#startedAtMs ??= nowMs;
    this.#table.incrementHeartbeat(nowMs);
    const {roundMs, startupRoundMs, startupMs} = this.#options;
    const isStarting = nowMs - this.#startedAtMs < startupMs;
    const atMs = nowMs + (isStarting ? startupRoundMs : roundMs);
    const change = this.#reportChange(nowMs);
    return [{type: 'timerWanted', timerId, atMs}, ...change, ...this.#gossip(isStarting, nowMs)];
  }

  #onPeerMessage(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    if (message.type !== 'rosterNews') {
      return [];
    }
    this.#table.merge(message, nowMs);
    const change = this.#reportChange(nowMs);
    if (!message.isAnswerWanted) {
      return change;
    }
    return [...change, this.#send(fromHostId, this.#table.buildGossipMessage(false, nowMs))];
  }

  /** Sends the list to the peer of this round and requests the peer's list. */
  #gossip(isStarting: boolean, nowMs: number): readonly CoreMessage[] {
    this.#round += 1;
    const target = this.#pickTarget(isStarting);
    return target === undefined
      ? []
      : [this.#send(target, this.#table.buildGossipMessage(true, nowMs))];
  }

  /**
   * Selects the peer of a round at random: a seed, if there is any, in every other round of the startup
   * phase and while no other host is known to be alive, else a live host.
   */
  #pickTarget(isStarting: boolean): string | undefined {
    const {selfId, dataCentre, random, remoteEveryRounds} = this.#options;
    const seeds = this.#seedIds.filter((id) => id !== selfId);
    const others = this.#live.filter(({hostId}) => hostId !== selfId);
    const usesSeed = others.length === 0 || (isStarting && this.#round % 2 === 1);
    if (usesSeed && seeds.length > 0) {
      return seeds[random.nextInt(seeds.length)];
    }
    const isRemote = this.#round % remoteEveryRounds === 0;
    const preferred = others.filter((host) => (host.dataCentre === dataCentre) !== isRemote);
    const candidates = preferred.length > 0 ? preferred : others;
    return candidates.length === 0
      ? undefined
      : candidates[random.nextInt(candidates.length)]?.hostId;
  }

  /** Sends the list to every live host at once, when this host shuts down. */
  #gossipToAll(nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    const message = this.#table.buildGossipMessage(false, nowMs);
    for (const {hostId} of this.#live) {
      if (hostId !== this.#options.selfId) {
        messages.push(this.#send(hostId, message));
      }
    }
    return messages;
  }

  /** Publishes the live hosts to the other tasks and logs the difference, if they changed. */
  #reportChange(nowMs: number): readonly CoreMessage[] {
    const live = this.#table.liveHosts(nowMs);
    const knownCount = this.#table.knownCount(nowMs);
    const summary = `${knownCount} ${live.map(({hostId, bornMs}) => `${hostId}#${bornMs}`).join(' ')}`;
    if (summary === this.#lastReported) {
      return [];
    }
    const logs = this.#logChanges(live);
    this.#lastReported = summary;
    this.#live = live;
    return [{type: 'rosterChanged', live, knownCount}, ...logs, this.#linkPeers(live)];
  }

  #logChanges(live: readonly LiveHost[]): readonly CoreMessage[] {
    const previous = new Map(this.#live.map((host) => [host.hostId, host.bornMs]));
    const current = new Map(live.map((host) => [host.hostId, host.bornMs]));
    const found = live.filter(({hostId, bornMs}) => previous.get(hostId) !== bornMs);
    const lost = this.#live.filter(({hostId}) => !current.has(hostId));
    const fields = {
      found: found.map(({hostId}) => hostId),
      lost: lost.map(({hostId}) => hostId),
      live: live.length,
    };
    return [{type: 'log', level: 'info', event: 'roster.changed', fields}];
  }

  /** Requests connections to all live hosts and to the seeds. */
  #linkPeers(live: readonly LiveHost[]): CoreMessage {
    const ids = new Set([...live.map(({hostId}) => hostId), ...this.#seedIds]);
    const hosts = [...ids].map((id) => ({
      id,
      dataCentre: '',
      peerAddress: id,
      state: 'live' as const,
    }));
    return {type: 'linkPeers', list: {version: 0, asOfMs: 0, hosts}};
  }

  #send(toHostId: string, message: PeerMessage): CoreMessage {
    return {type: 'sendToPeer', toHostId, message};
  }
}
