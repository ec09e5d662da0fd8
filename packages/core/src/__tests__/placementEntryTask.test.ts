import type {DiscoveredServer} from '@godwitspring/document';
import {expect} from 'chai';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import {PlacementEntryTask} from '../placement/placementEntryTask.ts';
import {SeededRandom} from '../time/seededRandom.ts';

function server(id: string, state: DiscoveredServer['state']): DiscoveredServer {
  return {
    id,
    backendId: 'b',
    origin: `http://${id}`,
    dataCentre: 'dc',
    slots: 2,
    state,
    coldForMs: 0,
    revision: 1,
  };
}

function sentTo(messages: readonly CoreMessage[]): PeerMessage[] {
  const sent: PeerMessage[] = [];
  for (const message of messages) {
    if (message.type === 'sendToPeer') {
      sent.push(message.message);
    }
  }
  return sent;
}

/** A host that asks the only other one, with two servers of which one drains. */
function entry(): PlacementEntryTask {
  const task = new PlacementEntryTask({
    selfId: 'self',
    hash: () => 1,
    random: new SeededRandom(1),
    firstNonce: 1,
  });
  const servers = [server('s-1', 'draining'), server('s-2', 'in-service')];
  task.receive({type: 'serversKnown', servers, lapsedServerIds: [], outOfService: []}, 0);
  const live = [{hostId: 'home', dataCentre: 'dc', bornMs: 0}];
  task.receive({type: 'rosterChanged', live, knownCount: 1}, 0);
  return task;
}

const wanted = {
  type: 'serverWanted' as const,
  requestId: 7,
  backendId: 'b',
  isRepeatable: false,
  excludedServerIds: [],
  deadlineAtMs: 1_000,
};

function granted(askId: number, serverId: string): CoreMessage {
  const message = {type: 'placeAnswer' as const, askId, state: 'granted' as const, serverId};
  return {type: 'peerMessageReceived', fromHostId: 'home', message};
}

describe('a host that asks for a server', () => {
  it('does not use one that drains as far as it knows, whatever the home says', () => {
    const task = entry();
    const [ask] = sentTo(task.receive(wanted, 0));
    expect(ask).to.include({type: 'placeAsk', askId: 1});
    const messages = task.receive(granted(1, 's-1'), 5);
    expect(messages.some(({type}) => type === 'serverGranted')).to.equal(false);
    const [givenBack, next] = sentTo(messages);
    expect(givenBack).to.include({type: 'placeEnded', askId: 1, outcome: 'cancelled'});
    expect(next).to.deep.include({type: 'placeAsk', avoidedIds: ['s-1']});
  });

  it('tells the end of an attempt to the home that granted it and to the one that took over', () => {
    const task = entry();
    task.receive(wanted, 0);
    task.receive(granted(1, 's-2'), 5);
    const live = [{hostId: 'next', dataCentre: 'dc', bornMs: 0}];
    task.receive({type: 'rosterChanged', live, knownCount: 2}, 10);
    const ended = task.receive(
      {
        type: 'serverReleased',
        requestId: 7,
        serverId: 's-2',
        backendId: 'b',
        routeId: 'r',
        outcome: 'ok',
        latencyMs: 100,
      },
      110,
    );
    const homes = ended.map((message) => (message.type === 'sendToPeer' ? message.toHostId : ''));
    expect(homes).to.have.members(['home', 'next']);
  });
});
