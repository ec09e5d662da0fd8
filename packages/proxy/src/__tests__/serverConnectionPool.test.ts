import {expect} from 'chai';
import {ServerConnectionPool} from '../backends/serverConnectionPool.ts';
import {ServerSocket} from '../backends/serverSocket.ts';
import {VirtualTimers} from './__fixtures__/virtualTimers.ts';

describe('ServerConnectionPool', () => {
  const options = {
    origin: 'http://127.0.0.1:9',
    connectTimeoutMs: 120,
    idleMs: 1_000,
    maxIdle: 4,
    timers: new VirtualTimers(),
  };

  it('reuses an idle connection, unless a new one is requested', async () => {
    const pool = new ServerConnectionPool(options);
    const first = pool.acquire();
    pool.release(first);
    const second = pool.acquire({isNew: true});
    expect(second).to.not.equal(first);
    expect(pool.acquire()).to.equal(first);
    await pool.destroy();
  });

  it('gives up a connection that is not established within the timeout', async () => {
    const timers = new VirtualTimers();
    const dial = (): ServerSocket => new ServerSocket();
    const pool = new ServerConnectionPool({...options, timers, dial});
    const connection = pool.acquire();
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
    await pool.destroy();
  });
});
