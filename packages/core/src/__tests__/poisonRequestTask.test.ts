import {expect} from 'chai';
import {PoisonRequestTask} from '../poison-requests/poisonRequestTask.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';

const identity = {customerId: 'c', routeId: 'r', requestDigest: 'digest'};
const suspicionLifetimeMs = 60_000;

/** Messages of the types that block a request or lift the block, as `type@untilMs`. */
function blocksIn(messages: readonly CoreMessage[]): string[] {
  return messages.flatMap((message) => {
    switch (message.type) {
      case 'poisonRequestBlocked':
        return [`blocked until ${message.untilMs}`];
      case 'poisonRequestCleared':
        return ['cleared'];
      default:
        return [];
    }
  });
}

describe('PoisonRequestTask', () => {
  let task: PoisonRequestTask;

  beforeEach(() => {
    task = new PoisonRequestTask({
      selfId: 'h-1',
      hash: () => 1,
      maxCrashes: 3,
      suspicionLifetimeMs,
    });
    const live = ['h-1', 'h-2'].map((hostId) => ({
      hostId,
      dataCentre: 'dc',
      bornMs: 1,
      capacityClass: 0,
    }));
    task.receive({type: 'rosterChanged', live, knownCount: 2}, 0);
  });

  function receive(message: PeerMessage, nowMs: number): readonly CoreMessage[] {
    return task.receive({type: 'peerMessageReceived', fromHostId: 'h-2', message}, nowMs);
  }

  function crash(serverId: string, nowMs: number, ranForMs = 50): readonly CoreMessage[] {
    return receive({type: 'crashSeen', ...identity, serverId, ranForMs}, nowMs);
  }

  it('blocks a poison request after it broke the connections of three servers', () => {
    expect(blocksIn(crash('s-1', 100))).to.deep.equal([]);
    expect(blocksIn(crash('s-2', 200))).to.deep.equal([]);
    expect(blocksIn(crash('s-3', 300))).to.deep.equal([
      `blocked until ${300 + suspicionLifetimeMs}`,
    ]);
  });

  it('counts a server once, and attempts that ran at the same time as one crash', () => {
    crash('s-1', 100);
    crash('s-2', 110);
    crash('s-3', 120);
    crash('s-1', 300);
    expect(blocksIn(crash('s-4', 310))).to.deep.equal([]);
  });

  it('does not block a request that succeeded after the first of its crashes', () => {
    crash('s-1', 100);
    task.receive({type: 'requestSucceeded', ...identity}, 150);
    const suspected = crash('s-2', 200).find(
      (message) => message.type === 'sendToPeer' && message.message.type === 'requestSuspected',
    );
    expect(suspected).to.not.equal(undefined);
    const replies = receive({type: 'requestSuspected', ...identity, sinceAgoMs: 150}, 201);
    expect(replies).to.deep.include({
      type: 'sendToPeer',
      toHostId: 'h-1',
      message: {type: 'requestCleared', ...identity},
    });
    receive({type: 'requestCleared', ...identity}, 202);
    expect(blocksIn(crash('s-3', 300))).to.deep.equal([]);
  });

  it('tells every host that a suspect request succeeded, as its home', () => {
    receive({type: 'requestSuspected', ...identity, sinceAgoMs: 0}, 200);
    const message = {type: 'requestCleared', ...identity} as const;
    expect(receive(message, 300)).to.deep.equal([{type: 'sendToPeer', toHostId: 'h-2', message}]);
    expect(receive(message, 301)).to.deep.equal([]);
  });

  it('lifts the block of a request that succeeds', () => {
    crash('s-1', 100);
    crash('s-2', 200);
    crash('s-3', 300);
    expect(blocksIn(receive({type: 'requestCleared', ...identity}, 400))).to.deep.equal([
      'cleared',
    ]);
  });

  it('tells a host that starts again of blocked requests', () => {
    crash('s-1', 100);
    crash('s-2', 200);
    crash('s-3', 300);
    const live = [
      {hostId: 'h-1', dataCentre: 'dc', bornMs: 1, capacityClass: 0},
      {hostId: 'h-2', dataCentre: 'dc', bornMs: 400, capacityClass: 0},
    ];
    const messages = task.receive({type: 'rosterChanged', live, knownCount: 2}, 500);
    expect(messages).to.deep.equal([
      {
        type: 'sendToPeer',
        toHostId: 'h-2',
        message: {type: 'requestBlocked', ...identity, forMs: suspicionLifetimeMs - 200},
      },
    ]);
  });
});
