import type {FleetDocument} from '@godwitspring/document';
import type {FleetBounds} from '../fleet/fleetBounds.ts';
import {fleetShare} from '../fleet/fleetShare.ts';
import type {CoreTask} from '../host/coreTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {RosterChanged, ServersKnown} from '../messages/hostMessages.ts';
import type {PeerMessage, PlaceAnswer, PlaceAsk, PlaceEnded} from '../messages/peerMessages.ts';
import {BackendHome} from './backendHome.ts';
import type {Asker, Placement} from './placement.ts';

export interface PlacementHomeTaskOptions {
  readonly selfId: string;
  readonly bounds: FleetBounds;
}

const timerId = 'placement.line';
/** Interval at which waiting requests are looked at besides each end of an attempt, in ms. */
const sweepMs = 25;
/** Interval at which attempts whose end was lost are looked for, in ms. */
const forgetIntervalMs = 500;
/** Asks remembered so that a repeated ask is told the same, in ms. */
const answerMemoryMs = 3_000;

interface GivenAnswer {
  readonly answer: PlaceAnswer;
  readonly atMs: number;
}

/** Answers the hosts of the fleet that ask where a request should run; serves whoever asks. */
export class PlacementHomeTask implements CoreTask {
  readonly accepts = [
    'peerMessageReceived',
    'documentInForce',
    'serversKnown',
    'rosterChanged',
    'timerFired',
    'statusWanted',
  ] as const;

  readonly #options: PlacementHomeTaskOptions;
  readonly #homes = new Map<string, BackendHome>();
  readonly #backendByKey = new Map<string, string>();
  readonly #given = new Map<string, GivenAnswer>();
  #dataCentreByHost = new Map<string, string>();
  #document: FleetDocument | undefined;
  #servers: ServersKnown | undefined;
  #fleetShare = 1;
  #isTimerSet = false;
  #nextForgetAtMs = 0;

  constructor(options: PlacementHomeTaskOptions) {
    this.#options = options;
  }

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'peerMessageReceived':
        return this.#onPeer(message.fromHostId, message.message, nowMs);
      case 'documentInForce':
        return this.#onDocument(message.document);
      case 'serversKnown':
        return this.#onServers(message, nowMs);
      case 'rosterChanged':
        return this.#onRoster(message, nowMs);
      case 'timerFired':
        return message.timerId === timerId ? this.#onTimer(nowMs) : [];
      case 'statusWanted':
        return [this.#status(message.askId)];
      default:
        return [];
    }
  }

  #status(askId: number): CoreMessage {
    const value: Record<string, unknown> = {};
    for (const [backendId, home] of this.#homes) {
      value[backendId] = {
        waiting: home.admission.line.size,
        servers: home.serverCount,
        failedShare: home.failedShare,
      };
    }
    return {type: 'statusTold', askId, section: 'placement', value};
  }

  #onDocument(document: FleetDocument): readonly CoreMessage[] {
    this.#document = document;
    for (const home of this.#homes.values()) {
      home.setDocument(document);
    }
    return [];
  }

  #onServers(servers: ServersKnown, nowMs: number): readonly CoreMessage[] {
    this.#servers = servers;
    for (const home of this.#homes.values()) {
      home.setServers(servers, nowMs);
    }
    return this.#serveLines(nowMs);
  }

  #onRoster(roster: RosterChanged, nowMs: number): readonly CoreMessage[] {
    this.#dataCentreByHost = new Map(
      roster.live.map(({hostId, dataCentre}) => [hostId, dataCentre]),
    );
    this.#fleetShare = fleetShare(roster, this.#options.bounds.rateOvershoot);
    for (const home of this.#homes.values()) {
      home.setFleetShare(this.#fleetShare);
    }
    this.#forgetLost(nowMs);
    return this.#serveLines(nowMs);
  }

  #forgetLost(nowMs: number): void {
    this.#nextForgetAtMs = nowMs + forgetIntervalMs;
    for (const home of this.#homes.values()) {
      home.forgetLost((hostId) => this.#dataCentreByHost.has(hostId), nowMs);
    }
  }

  #onPeer(fromHostId: string, message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    switch (message.type) {
      case 'placeAsk':
        return this.#onAsk(fromHostId, message, nowMs);
      case 'placeEnded':
        return this.#onEnded(fromHostId, message, nowMs);
      case 'placeWithdrawn':
        return this.#onWithdrawn(`${fromHostId}/${message.askId}`, nowMs);
      case 'placeHello':
        this.#home(message.backendId, nowMs).welcome(fromHostId, message, nowMs);
        for (const {askId} of message.running) {
          this.#backendByKey.set(`${fromHostId}/${askId}`, message.backendId);
        }
        return [];
      default:
        return [];
    }
  }

  #onAsk(hostId: string, ask: PlaceAsk, nowMs: number): readonly CoreMessage[] {
    const key = `${hostId}/${ask.askId}`;
    if (nowMs >= this.#nextForgetAtMs) {
      this.#forgetLost(nowMs);
    }
    const home = this.#home(ask.backendId, nowMs);
    const given = this.#given.get(key);
    if (
      given !== undefined &&
      !(given.answer.state === 'waiting' && !home.admission.line.has(key))
    ) {
      return [{type: 'sendToPeer', toHostId: hostId, message: given.answer}];
    }
    this.#backendByKey.set(key, ask.backendId);
    const placement = home.take(key, ask, this.#asker(hostId), nowMs);
    return [...this.#tell(key, hostId, ask, placement, 0, nowMs), ...this.#armTimer(nowMs)];
  }

  #tell(
    key: string,
    hostId: string,
    ask: PlaceAsk,
    placement: Placement,
    waitedMs: number,
    nowMs: number,
  ): readonly CoreMessage[] {
    const {askId, backendId, requestName, isRepeat, isRepeatable, priority, customerId} = ask;
    const answer: PlaceAnswer = {type: 'placeAnswer', askId, state: placement.state};
    const fields: Record<string, unknown> = {
      requestName,
      hostId,
      backendId,
      isRepeat,
      isRepeatable,
      priority,
      customerId,
      ...placement,
      waitedMs,
    };
    if (placement.state === 'granted') {
      answer.serverId = placement.serverId;
      answer.secondAfterMs = placement.secondAfterMs;
      answer.needsNewConnection = placement.needsNewConnection ? true : undefined;
    }
    if (placement.state === 'refused') {
      answer.kind = placement.kind;
      answer.retryAfterMs = placement.retryAfterMs;
    }
    this.#given.set(key, {answer, atMs: nowMs});
    const home = this.#home(backendId, nowMs);
    fields.waiting = home.admission.line.size;
    fields.servers = home.serverCount;
    return [
      {type: 'sendToPeer', toHostId: hostId, message: answer},
      {type: 'log', level: 'info', event: `place.${placement.state}`, fields},
    ];
  }

  #onEnded(hostId: string, ended: PlaceEnded, nowMs: number): readonly CoreMessage[] {
    const key = `${hostId}/${ended.askId}`;
    const home = this.#homeOfKey(key);
    this.#backendByKey.delete(key);
    if (home === undefined || !home.end(key, ended.outcome, ended.ranForMs, nowMs)) {
      return [];
    }
    return this.#serveLine(home, nowMs);
  }

  #onWithdrawn(key: string, nowMs: number): readonly CoreMessage[] {
    this.#homeOfKey(key)?.admission.remove(key, nowMs);
    return [];
  }

  #homeOfKey(key: string): BackendHome | undefined {
    return this.#homes.get(this.#backendByKey.get(key) ?? '');
  }

  #serveLines(nowMs: number): readonly CoreMessage[] {
    const messages: CoreMessage[] = [];
    for (const home of this.#homes.values()) {
      messages.push(...this.#serveLine(home, nowMs));
    }
    return messages;
  }

  #serveLine(home: BackendHome, nowMs: number): readonly CoreMessage[] {
    if (home.admission.line.size === 0) {
      return [];
    }
    const messages: CoreMessage[] = [];
    for (const {key, hostId, ask, waitedMs, retryAfterMs} of home.takeUseless(nowMs)) {
      const refused = {state: 'refused', kind: 'overloaded', retryAfterMs} as const;
      messages.push(...this.#tell(key, hostId, ask, refused, waitedMs, nowMs));
    }
    for (const [key, {hostId, ask, arrivedAtMs}] of home.admission.line.inOrder(nowMs)) {
      const placement = home.tryPlace(key, ask, this.#asker(hostId), arrivedAtMs, nowMs);
      if (placement !== undefined) {
        home.admission.remove(key, nowMs);
        messages.push(...this.#tell(key, hostId, ask, placement, nowMs - arrivedAtMs, nowMs));
      }
    }
    return messages;
  }

  #armTimer(nowMs: number): readonly CoreMessage[] {
    const isWaiting = [...this.#homes.values()].some(({admission}) => admission.line.size > 0);
    if (this.#isTimerSet || !isWaiting) {
      return [];
    }
    this.#isTimerSet = true;
    return [{type: 'timerWanted', timerId, atMs: nowMs + sweepMs}];
  }

  #onTimer(nowMs: number): readonly CoreMessage[] {
    this.#isTimerSet = false;
    return [...this.#serveLines(nowMs), ...this.#armTimer(nowMs)];
  }

  #asker(hostId: string): Asker {
    return {hostId, dataCentre: this.#dataCentreByHost.get(hostId) ?? ''};
  }

  #home(backendId: string, nowMs: number): BackendHome {
    this.#forgetAnswers(nowMs);
    let home = this.#homes.get(backendId);
    if (home === undefined) {
      home = new BackendHome({backendId, bounds: this.#options.bounds});
      home.setFleetShare(this.#fleetShare);
      if (this.#document !== undefined) {
        home.setDocument(this.#document);
      }
      if (this.#servers !== undefined) {
        home.setServers(this.#servers, nowMs);
      }
      this.#homes.set(backendId, home);
    }
    return home;
  }

  #forgetAnswers(nowMs: number): void {
    for (const [key, {atMs}] of this.#given) {
      if (nowMs - atMs < answerMemoryMs) {
        return;
      }
      this.#given.delete(key);
    }
  }
}
