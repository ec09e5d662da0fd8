import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {LiveHost} from '../messages/hostMessages.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import type {RandomSource} from '../time/randomSource.ts';
import {RosterTable} from './rosterTable.ts';
import type {RosterTableIdentity, RosterTableOptions} from './rosterTable.ts';

export interface RosterTaskOptions extends RosterTableIdentity {
  /** Addresses at which some hosts of the fleet may be found; they may be stale or down. */
  readonly seedIds: readonly string[];
  readonly random: RandomSource;
  /** Interval between rounds of gossip, in ms. Default: 800. */
  readonly roundMs: number;
  /** Interval between rounds while the host is new, in ms. Default: 200. */
  readonly firstRoundMs: number;
  /** Time for which a host counts as new, in ms. Default: 3,000. */
  readonly newForMs: number;
  /** One round in so many goes to another data centre. Default: 4. */
  readonly remoteEvery: number;
  readonly table: Partial<RosterTableOptions>;
}

export const DEFAULT_ROSTER_OPTIONS = {
  roundMs: 800,
  firstRoundMs: 200,
  newForMs: 3_000,
  remoteEvery: 4,
  table: {},
} as const;

type RequiredRosterOptions = Pick<RosterTaskOptions, 'seedIds' | 'random'> & RosterTableIdentity;

const timerId = 'roster.round';

/**
 * Finds the other hosts where nobody publishes a list of them.
 *
 * Each host counts its own rounds and tells what it heard to one peer a round, mostly in its own data
 * centre; a host whose count stands still is dead. The host's id is the address of its peer port.
 */
export class RosterTask implements CoreTask {
  readonly accepts = [
    'peerMessageReceived',
    'peerAbsent',
    'seedsChanged',
    'timerFired',
    'leavingSoon',
    'statusWanted',
  ] as const;

  readonly #options: RosterTaskOptions;
  readonly #table: RosterTable;
  #startedAtMs: number | undefined;
  #round = 0;
  #lastTold = '';
  #live: readonly LiveHost[] = [];
  #seedIds: readonly string[];

  constructor(options: Partial<RosterTaskOptions> & RequiredRosterOptions) {
    this.#options = {...DEFAULT_ROSTER_OPTIONS, ...options};
    this.#seedIds = options.seedIds;
    this.#table = new RosterTable(options, this.#options.table);
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'timerFired':
        return this.#onTimer(message.timerId, nowMs);
      case 'peerMessageReceived':
        return this.#onPeer(message.fromHostId, message.message, nowMs);
      case 'peerAbsent':
        this.#table.noteAbsent(message.hostId);
        return this.#tellChange(nowMs);
      case 'seedsChanged':
        this.#seedIds = message.seedIds;
        return [this.#link(this.#live)];
      case 'leavingSoon':
        this.#table.leave();
        return [...this.#tellAll(nowMs), ...this.#tellChange(nowMs)];
      case 'statusWanted': {
        const value = {
          live: this.#live.map(({hostId}) => hostId),
          known: this.#table.knownCount(nowMs),
        };
        return [{type: 'statusTold', askId: message.askId, section: 'roster', value}];
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
    this.#table.beat(nowMs);
    const {roundMs, firstRoundMs, newForMs} = this.#options;
    const isNew = nowMs - this.#startedAtMs < newForMs;
    const atMs = nowMs + (isNew ? firstRoundMs : roundMs);
    const change = this.#tellChange(nowMs);
    return [{type: 'timerWanted', timerId, atMs}, ...change, ...this.#gossip(isNew, nowMs)];
  }

  #onPeer(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    if (message.type !== 'rosterNews') {
      return [];
    }
    this.#table.merge(message, nowMs);
    const change = this.#tellChange(nowMs);
    if (!message.isAnswerWanted) {
      return change;
    }
    return [...change, this.#send(fromHostId, this.#table.news(false, nowMs))];
  }

  #gossip(isNew: boolean, nowMs: number): readonly CoreMessage[] {
    this.#round += 1;
    const target = this.#target(isNew);
    return target === undefined ? [] : [this.#send(target, this.#table.news(true, nowMs))];
  }

  /** A seed while the host is new or knows nobody, else a random host that lives. */
  #target(isNew: boolean): string | undefined {
    const {selfId, dataCentre, random, remoteEvery} = this.#options;
    const seeds = this.#seedIds.filter((id) => id !== selfId);
    const others = this.#live.filter(({hostId}) => hostId !== selfId);
    const asksSeed = others.length === 0 || (isNew && this.#round % 2 === 1);
    if (asksSeed && seeds.length > 0) {
      return seeds[random.below(seeds.length)];
    }
    const isRemote = this.#round % remoteEvery === 0;
    const wanted = others.filter((host) => (host.dataCentre === dataCentre) !== isRemote);
    const pool = wanted.length > 0 ? wanted : others;
    return pool.length === 0 ? undefined : pool[random.below(pool.length)]?.hostId;
  }

  #tellAll(nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    const news = this.#table.news(false, nowMs);
    for (const {hostId} of this.#live) {
      if (hostId !== this.#options.selfId) {
        messages.push(this.#send(hostId, news));
      }
    }
    return messages;
  }

  #tellChange(nowMs: number): readonly CoreMessage[] {
    const live = this.#table.live(nowMs);
    const knownCount = this.#table.knownCount(nowMs);
    const told = `${knownCount} ${live.map(({hostId, bornMs}) => `${hostId}#${bornMs}`).join(' ')}`;
    if (told === this.#lastTold) {
      return [];
    }
    const logs = this.#logChanges(live);
    this.#lastTold = told;
    this.#live = live;
    return [{type: 'rosterChanged', live, knownCount}, ...logs, this.#link(live)];
  }

  #logChanges(live: readonly LiveHost[]): readonly CoreMessage[] {
    const before = new Map(this.#live.map((host) => [host.hostId, host.bornMs]));
    const now = new Map(live.map((host) => [host.hostId, host.bornMs]));
    const found = live.filter(({hostId, bornMs}) => before.get(hostId) !== bornMs);
    const lost = this.#live.filter(({hostId}) => !now.has(hostId));
    const fields = {
      found: found.map(({hostId}) => hostId),
      lost: lost.map(({hostId}) => hostId),
      live: live.length,
    };
    return [{type: 'log', level: 'info', event: 'roster.changed', fields}];
  }

  /** Keeps links to hosts that live and to seeds. */
  #link(live: readonly LiveHost[]): CoreMessage {
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
