import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {LiveHost} from '../messages/hostMessages.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import type {HashFunction} from '../hash/hashFunction.ts';
import type {RandomSource} from '../random/randomSource.ts';
import {GossipTargets} from './gossipTargets.ts';
import type {Member, MemberIdentity} from './member.ts';
import {RosterTable, toNews} from './rosterTable.ts';
import type {RosterTableOptions} from './rosterTable.ts';

/** Settings of the gossip about the members of the fleet. */
export interface RosterTaskOptions extends MemberIdentity {
  /** Peer addresses of some hosts of the fleet, by which the others are found; they may be stale or down. */
  readonly seedIds: readonly string[];
  readonly random: RandomSource;
  readonly hash: HashFunction;
  /** Interval between rounds of gossip, in ms. Default: 500. */
  readonly roundMs: number;
  /** Interval between rounds of gossip in the startup phase, in ms. Default: 100. */
  readonly startupRoundMs: number;
  /** Length of the startup phase of a host, in ms. Default: 2,000. */
  readonly startupMs: number;
  /** Number of rounds of which one goes to another data centre. Default: 4. */
  readonly remoteEveryRounds: number;
  /** Number of rounds of which one goes to a host that counts as dead. Default: 5. */
  readonly lostEveryRounds: number;
  /** Number of rounds of the startup phase of which one goes to a seed. Default: 3. */
  readonly seedEveryStartupRounds: number;
  /** Settings of the member list. */
  readonly tableOptions: Partial<RosterTableOptions>;
}

/** Defaults of {@link RosterTaskOptions}. */
export const DEFAULT_ROSTER_OPTIONS = {
  roundMs: 500,
  startupRoundMs: 100,
  startupMs: 2_000,
  remoteEveryRounds: 4,
  lostEveryRounds: 5,
  seedEveryStartupRounds: 3,
  tableOptions: {},
} as const;

type RequiredRosterOptions = Pick<RosterTaskOptions, 'seedIds' | 'random' | 'hash'> &
  MemberIdentity;

const timerId = 'roster.round';

/**
 * Maintains the roster, a gossip-based member list, in a fleet whose hosts are not published by a platform.
 *
 * In each round a host increments its own heartbeat counter and exchanges digests with one peer, mostly in
 * its own data centre; where the digests differ, both send the members that differ. A host whose counter
 * stops growing counts as dead. A shutdown is passed on at once by every host that learns of it. A host's id
 * is the address of its peer port.
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
  readonly #targets: GossipTargets;
  #startedAtMs: number | undefined;
  #lastReported = '';
  #live: readonly LiveHost[] = [];
  #seedIds: readonly string[];

  constructor(options: Partial<RosterTaskOptions> & RequiredRosterOptions) {
    this.#options = {...DEFAULT_ROSTER_OPTIONS, ...options};
    this.#seedIds = options.seedIds;
    const {hostId, dataCentre, bornMs, capacityClass, hash} = options;
    const identity = {hostId, dataCentre, bornMs, capacityClass};
    this.#table = new RosterTable(identity, hash, this.#options.tableOptions);
    this.#targets = new GossipTargets({...this.#options, selfId: hostId});
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
        return [...this.#passOn([this.#table.markLeaving()]), ...this.#reportChange(nowMs)];
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
    switch (message.type) {
      case 'rosterDigest': {
        const differing = this.#table.mergeDigest(message, nowMs);
        const replies: CoreMessage[] = [];
        if (message.isAnswerWanted) {
          replies.push(this.#send(fromHostId, this.#table.buildDigest(false, nowMs)));
          if (differing.length > 0) {
            replies.push(this.#send(fromHostId, this.#table.buildNews(differing, nowMs)));
          }
        }
        return [...this.#reportChange(nowMs), ...replies];
      }
      case 'rosterNews': {
        const {unknownToSender, newlyLeaving} = this.#table.mergeNews(message, nowMs);
        const reply =
          unknownToSender.length > 0 ? [this.#send(fromHostId, toNews(unknownToSender))] : [];
        const passedOn = this.#passOn(newlyLeaving);
        return [...this.#reportChange(nowMs), ...reply, ...passedOn];
      }
      default:
        return [];
    }
  }

  /** Sends the digest to the peer of this round and requests the peer's digest. */
  #gossip(isStarting: boolean, nowMs: number): readonly CoreMessage[] {
    const liveIds = new Set(this.#live.map(({hostId}) => hostId));
    const lostSeedIds = this.#seedIds.filter((id) => !liveIds.has(id));
    const lostIds = [...new Set([...this.#table.lostHostIds(nowMs), ...lostSeedIds])];
    const target = this.#targets.next(this.#seedIds, lostIds, isStarting);
    return target === undefined ? [] : [this.#send(target, this.#table.buildDigest(true, nowMs))];
  }

  /** Sends members that shut down to the neighbours at once. */
  #passOn(leaving: readonly Member[]): readonly CoreMessage[] {
    if (leaving.length === 0) {
      return [];
    }
    const news = toNews(leaving);
    return this.#targets.neighbourIds.map((hostId) => this.#send(hostId, news));
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
    this.#targets.setLiveHosts(live);
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
