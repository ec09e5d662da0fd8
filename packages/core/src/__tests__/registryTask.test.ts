import {expect} from 'chai';
import {DEFAULT_FLEET_BOUNDS} from '../fleet/fleetBounds.ts';
import type {RegistryChange} from '@godwitspring/document';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import {SeededRandom} from '../random/seededRandom.ts';
import {RegistryTask} from '../registry/registryTask.ts';

/** Moment at which the roster has settled after the start at 0, in ms. */
const settledAtMs = 300;
const hosts = ['a', 'b', 'c', 'd'];

/** Ranks hosts by name in descending order: d, c, b, a. */
function hash(text: string): number {
  return text.charCodeAt(text.lastIndexOf('@') + 1);
}

/** The first query among the messages, with the host it is sent to. */
function sentQuery(
  messages: readonly CoreMessage[],
): {toHostId: string; nonce: number} | undefined {
  for (const message of messages) {
    if (message.type === 'sendToPeer' && message.message.type === 'registryAsk') {
      return {toHostId: message.toHostId, nonce: message.message.nonce};
    }
  }
  return undefined;
}

/** The task of a host that is no registry reader: `a` comes last in the order of `rankHosts`. */
function createFollower(): RegistryTask {
  const task = new RegistryTask({
    selfId: 'a',
    dataCentre: 'dc',
    hash,
    bounds: DEFAULT_FLEET_BOUNDS,
    random: new SeededRandom(1),
  });
  const live = hosts.map((hostId) => ({hostId, dataCentre: 'dc', bornMs: 0, capacityClass: 0}));
  task.receive({type: 'timerFired', timerId: 'start'}, 0);
  task.receive({type: 'rosterChanged', live, knownCount: hosts.length}, 0);
  return task;
}

/** A reply with registry data that is 500 ms old. */
function reply(fromHostId: string, nonce: number, isFailing: boolean): CoreMessage {
  return {
    type: 'peerMessageReceived',
    fromHostId,
    message: {
      type: 'registryAnswer',
      nonce,
      ageMs: 500,
      isFailing: isFailing ? true : undefined,
      isWhole: false,
      epoch: 0,
      revision: 1,
      documentVersion: 0,
      changes: [],
    },
  };
}

describe('RegistryTask on a host that queries its peers', () => {
  it('queries the next source as soon as the first reports that its own source is failing', () => {
    const task = createFollower();
    const first = sentQuery(
      task.receive({type: 'timerFired', timerId: 'registry.tick'}, settledAtMs),
    );
    expect(first?.toHostId).to.equal('d');
    const next = sentQuery(task.receive(reply('d', first?.nonce ?? 0, true), settledAtMs + 2));
    expect(next?.toHostId).to.equal('c');
  });

  it('retains its source while the registry replies to that source', () => {
    const task = createFollower();
    const first = sentQuery(
      task.receive({type: 'timerFired', timerId: 'registry.tick'}, settledAtMs),
    );
    expect(sentQuery(task.receive(reply('d', first?.nonce ?? 0, false), 2))).to.equal(undefined);
  });

  it('reports in its own replies that its source is failing', () => {
    const task = createFollower();
    const first = sentQuery(
      task.receive({type: 'timerFired', timerId: 'registry.tick'}, settledAtMs),
    );
    task.receive(reply('d', first?.nonce ?? 0, true), settledAtMs + 2);
    const query = {
      type: 'registryAsk' as const,
      nonce: 9,
      documentVersion: 0,
      epoch: 0,
      revision: 0,
    };
    const messages = task.receive(
      {type: 'peerMessageReceived', fromHostId: 'b', message: query},
      settledAtMs + 3,
    );
    expect(messages[0]).to.have.nested.property('message.isFailing', true);
  });

  // Guards against changes that come into force a whole query interval late.
  it('queries again at once where its source announces a change while a query is under way', () => {
    const task = createFollower();
    const first = sentQuery(
      task.receive({type: 'timerFired', timerId: 'registry.tick'}, settledAtMs),
    );
    const changed = {type: 'registryChanged' as const, epoch: 0, revision: 2};
    const announced = {type: 'peerMessageReceived', fromHostId: 'd', message: changed} as const;
    expect(sentQuery(task.receive(announced, settledAtMs + 1))).to.equal(undefined);
    const next = sentQuery(task.receive(reply('d', first?.nonce ?? 0, false), settledAtMs + 2));
    expect(next?.toHostId).to.equal('d');
    const later = sentQuery(task.receive(reply('d', next?.nonce ?? 0, false), settledAtMs + 4));
    expect(later).to.equal(undefined);
  });

  // Guards against a change that is missed until the next query in turn because one reply was lost.
  it('queries the host that announced a change again where the reply to the query under way is lost', () => {
    const task = createFollower();
    task.receive({type: 'timerFired', timerId: 'registry.tick'}, settledAtMs);
    const changed = {type: 'registryChanged' as const, epoch: 0, revision: 2};
    task.receive(
      {type: 'peerMessageReceived', fromHostId: 'd', message: changed},
      settledAtMs + 10,
    );
    const isQueried = [110, 310, 360].some((afterMs) => {
      const tick = {type: 'timerFired', timerId: 'registry.tick'} as const;
      const messages = task.receive(tick, settledAtMs + afterMs);
      return messages.some((message) => sentQuery([message])?.toHostId === 'd');
    });
    expect(isQueried).to.equal(true);
  });

  it('queries another host that announced the same change where the first does not reply', () => {
    const task = createFollower();
    const changed = {type: 'registryChanged' as const, epoch: 0, revision: 2};
    const queriedIds: (string | undefined)[] = [];
    for (const fromHostId of ['b', 'c']) {
      const messages = task.receive(
        {type: 'peerMessageReceived', fromHostId, message: changed},
        settledAtMs,
      );
      queriedIds.push(sentQuery(messages)?.toHostId);
    }
    const tick = {type: 'timerFired', timerId: 'registry.tick'} as const;
    const later = task.receive(tick, settledAtMs + 310).map((message) => sentQuery([message]));
    expect(queriedIds).to.deep.equal(['b', undefined]);
    expect(later.map((query) => query?.toHostId)).to.include('c');
  });

  // Guards against a new process that believes a registry that returned from a copy.
  it('believes an older process rather than the copy that it read itself', () => {
    const entry = (state: 'in-service' | 'draining', writeCount: number): RegistryChange => ({
      kind: 'server',
      server: {
        id: 's-1',
        backendId: 'b',
        origin: 'http://10.0.0.1:80',
        dataCentre: 'dc',
        slots: 2,
        state,
        coldForMs: 0,
        writeCount,
        revision: 3,
      },
    });
    const read = (
      task: RegistryTask,
      changes: RegistryChange[],
      epoch: number,
      nowMs: number,
    ): void => {
      task.receive(
        {type: 'registryRead', isWhole: true, epoch, revision: 4, changes, asOfMs: nowMs},
        nowMs,
      );
    };
    const old = createFollower();
    read(
      old,
      [entry('draining', 5), {kind: 'dataCentreOut', dataCentre: 'dc-2', revision: 4}],
      1,
      1_000,
    );
    read(old, [entry('in-service', 1)], 2, 9_000);
    const young = createFollower();
    read(young, [entry('in-service', 1)], 2, 9_000);
    const query = {
      type: 'registryAsk' as const,
      nonce: 1,
      documentVersion: 0,
      epoch: 2,
      revision: 4,
      knownForMs: 0,
    };
    const [reply] = old.receive(
      {type: 'peerMessageReceived', fromHostId: 'a', message: query},
      9_010,
    );
    const sent = young
      .receive({type: 'timerFired', timerId: 'registry.tick'}, 9_020)
      .find((message) => message.type === 'sendToPeer');
    if (reply?.type !== 'sendToPeer' || sent?.type !== 'sendToPeer') {
      throw new Error('no query or no reply');
    }
    const nonce = sent.message.type === 'registryAsk' ? sent.message.nonce : 0;
    const message = {...reply.message, nonce} as PeerMessage;
    const announced = young
      .receive({type: 'peerMessageReceived', fromHostId: sent.toHostId, message}, 9_030)
      .find(({type}) => type === 'registeredServersChanged');
    expect(announced).to.deep.include({outOfService: ['dc-2']});
    expect(announced).to.have.nested.property('servers[0].state', 'draining');
  });
});
