import type {DiscoveredServer} from '@godwitspring/document';
import {expect} from 'chai';
import type {CoreMessage} from '../messages/coreMessage.ts';
import {SeededRandom} from '../random/seededRandom.ts';
import {ReachabilityTask} from '../reachability/reachabilityTask.ts';

function server(id: string): DiscoveredServer {
  return {
    id,
    backendId: 'b',
    origin: `http://${id}`,
    dataCentre: 'dc',
    slots: 2,
    state: 'in-service',
    coldForMs: 0,
    revision: 1,
  };
}

/** The task of a host among three, with three servers. */
function createTask(): ReachabilityTask {
  const task = new ReachabilityTask({selfId: 'self', random: new SeededRandom(1)});
  const servers = ['s-1', 's-2', 's-3'].map(server);
  task.receive(
    {type: 'registeredServersChanged', servers, lapsedServerIds: [], outOfService: []},
    0,
  );
  const live = ['self', 'peer-1', 'peer-2'].map((hostId) => ({
    hostId,
    dataCentre: 'dc',
    bornMs: 0,
    capacityClass: 0,
  }));
  task.receive({type: 'rosterChanged', live, knownCount: 3}, 0);
  return task;
}

function dialed(serverId: string, isConnected: boolean): CoreMessage {
  return {type: 'serverDialed', serverId, isConnected};
}

/** Host that relays by the messages of the task; undefined where it was not announced. */
function relayIn(messages: readonly CoreMessage[]): string | undefined {
  const changed = messages.find((message) => message.type === 'relayChanged');
  return changed?.relayHostId;
}

/** Servers to which the host relays by the messages of the task; undefined where they did not change. */
function targetsIn(messages: readonly CoreMessage[]): string[] | undefined {
  const changed = messages.find((message) => message.type === 'relayTargets');
  return changed?.targets.map(({serverId}) => serverId);
}

describe('ReachabilityTask', () => {
  it('relays once connections to two servers failed and none opened, until one opens', () => {
    const task = createTask();
    expect(task.receive(dialed('s-1', false), 100)).to.deep.equal([]);
    const cutOff = task.receive(dialed('s-2', false), 200);
    expect(relayIn(cutOff)).to.be.oneOf(['peer-1', 'peer-2']);
    expect(targetsIn(cutOff)).to.deep.equal([]);
    expect(cutOff.map(({type}) => type)).to.include('dialServer');
    const reached = task.receive(dialed('s-3', true), 300);
    expect(reached).to.deep.include({type: 'relayChanged', relayHostId: undefined});
    expect(targetsIn(reached)).to.deep.equal(['s-1', 's-2', 's-3']);
  });

  it('sends attempts itself where single servers fail, or fail far apart', () => {
    const task = createTask();
    task.receive(dialed('s-1', false), 0);
    expect(task.receive(dialed('s-1', false), 100)).to.deep.equal([]);
    task.receive(dialed('s-3', true), 200);
    expect(task.receive(dialed('s-2', false), 300)).to.deep.equal([]);
    expect(task.receive(dialed('s-1', false), 5_000)).to.deep.equal([]);
  });

  it('turns to another host when one could not relay', () => {
    const task = createTask();
    task.receive(dialed('s-1', false), 100);
    const first = relayIn(task.receive(dialed('s-2', false), 200)) ?? '';
    const second = relayIn(task.receive({type: 'relayFailed', hostId: first}, 300));
    expect(['peer-1', 'peer-2'].filter((hostId) => hostId !== first)).to.deep.equal([second]);
  });

  it('relays nothing to servers that leave, or want no requests of this host, while they do', () => {
    const task = createTask();
    const noticed = {type: 'serverNoticed' as const, serverId: 's-1'};
    const paused = task.receive({...noticed, notice: {retryAfterMs: 1_000}}, 0);
    expect(targetsIn(paused)).to.deep.equal(['s-2', 's-3']);
    const timer = paused.find((message) => message.type === 'timerWanted');
    expect(timer?.atMs).to.equal(1_000);
    const over = task.receive({type: 'timerFired', timerId: timer?.timerId ?? ''}, 1_000);
    expect(targetsIn(over)).to.deep.equal(['s-1', 's-2', 's-3']);
    const left = task.receive({...noticed, notice: {isLeaving: true}}, 2_000);
    expect(targetsIn(left)).to.deep.equal(['s-2', 's-3']);
  });
});
