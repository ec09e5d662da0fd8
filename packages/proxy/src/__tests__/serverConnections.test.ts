import {expect} from 'chai';
import {ServerConnections} from '../backends/serverConnections.ts';

describe('connections to one server', () => {
  const options = {origin: 'http://127.0.0.1:9', connectTimeoutMs: 100, idleMs: 1_000, maxIdle: 4};

  it('are used again, but for work that asks for a new one', async () => {
    const connections = new ServerConnections(options);
    const first = connections.acquire();
    connections.release(first);
    const fresh = connections.acquire({isNew: true});
    expect(fresh).to.not.equal(first);
    expect(connections.acquire()).to.equal(first);
    await connections.destroy();
  });
});
