import {Socket} from 'node:net';
import {expect} from 'chai';
import {ServerConnections} from '../backends/serverConnections.ts';
import {VirtualTimers} from './__fixtures__/virtualTimers.ts';

describe('connections to one server', () => {
  const options = {
    origin: 'http://127.0.0.1:9',
    connectTimeoutMs: 120,
    idleMs: 1_000,
    maxIdle: 4,
    timers: new VirtualTimers(),
  };

  it('are used again, but for work that asks for a new one', async () => {
    const connections = new ServerConnections(options);
    const first = connections.acquire();
    connections.release(first);
    const fresh = connections.acquire({isNew: true});
    expect(fresh).to.not.equal(first);
    expect(connections.acquire()).to.equal(first);
    await connections.destroy();
  });

  it('are given up in time where nothing answers', async () => {
    const timers = new VirtualTimers();
    const dial = (): Socket => new Socket();
    const connections = new ServerConnections({...options, timers, dial});
    const connection = connections.acquire();
    let failedAtMs = 0;
    const request = connection.client
      .request({method: 'GET', path: '/'})
      .catch((error: unknown) => {
        failedAtMs = timers.nowMs();
        return error;
      });
    await timers.runUntil(200);
    expect(failedAtMs).to.be.within(120, 130);
    expect(await request).to.have.property('message', 'no connection within 120 ms');
    expect(connection.hasConnected).to.equal(false);
    await connections.destroy();
  });
});
