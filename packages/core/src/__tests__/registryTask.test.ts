import {expect} from 'chai';
import {DEFAULT_FLEET_BOUNDS} from '../fleet/fleetBounds.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import {RegistryTask} from '../registry/registryTask.ts';

const hosts = ['a', 'b', 'c', 'd'];

/** Ranks hosts by their names, the last first. */
function hash(text: string): number {
  return text.charCodeAt(text.indexOf('@dc@') + '@dc@'.length);
}

function asked(messages: readonly CoreMessage[]): {toHostId: string; nonce: number} | undefined {
  for (const message of messages) {
    if (message.type === 'sendToPeer' && message.message.type === 'registryAsk') {
      return {toHostId: message.toHostId, nonce: message.message.nonce};
    }
  }
  return undefined;
}

function follower(): RegistryTask {
  const task = new RegistryTask({
    selfId: 'a',
    dataCentre: 'dc',
    hash,
    bounds: DEFAULT_FLEET_BOUNDS,
  });
  const live = hosts.map((hostId) => ({hostId, dataCentre: 'dc', bornMs: 0}));
  task.receive({type: 'rosterChanged', live, knownCount: hosts.length}, 0);
  return task;
}

function answer(fromHostId: string, nonce: number, isFailing: boolean): CoreMessage {
  return {
    type: 'peerMessageReceived',
    fromHostId,
    message: {
      type: 'registryAnswer',
      nonce,
      ageMs: 500,
      isFailing: isFailing ? true : undefined,
      isWhole: false,
      revision: 1,
      documentVersion: 0,
      changes: [],
    },
  };
}

describe('a host that learns of the registry through others', () => {
  it('turns to the next one as soon as the first says that the registry does not answer it', () => {
    const task = follower();
    const first = asked(task.receive({type: 'timerFired', timerId: 'start'}, 0));
    expect(first?.toHostId).to.equal('d');
    const next = asked(task.receive(answer('d', first?.nonce ?? 0, true), 2));
    expect(next?.toHostId).to.equal('c');
  });

  it('stays with one that is answered', () => {
    const task = follower();
    const first = asked(task.receive({type: 'timerFired', timerId: 'start'}, 0));
    expect(asked(task.receive(answer('d', first?.nonce ?? 0, false), 2))).to.equal(undefined);
  });

  it('says itself that its source does not answer', () => {
    const task = follower();
    const first = asked(task.receive({type: 'timerFired', timerId: 'start'}, 0));
    task.receive(answer('d', first?.nonce ?? 0, true), 2);
    const ask = {type: 'registryAsk' as const, nonce: 9, documentVersion: 0, revision: 0};
    const told = task.receive({type: 'peerMessageReceived', fromHostId: 'b', message: ask}, 3);
    expect(told[0]).to.have.nested.property('message.isFailing', true);
  });
});
