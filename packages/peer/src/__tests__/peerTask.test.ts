import type {PeerMessage} from '@godwitspring/core';
import {expect} from 'chai';
import {PeerTask} from '../peerTask.ts';
import type {PeerReport} from '../peerTask.ts';

const clientId = '127.53.0.1:7000';
const serverId = '127.53.0.2:7000';
const message: PeerMessage = {type: 'leaving'};

/** A task that listens at the address that is its host id. */
function createTask(selfId: string, report: (report: PeerReport) => void): PeerTask {
  const [listenHost = '', listenPort = ''] = selfId.split(':');
  return new PeerTask({
    selfId,
    listenHost,
    listenPort: Number(listenPort),
    areHostIdsAddresses: true,
    report,
  });
}

describe('PeerTask with host ids that are addresses', () => {
  it('replies to a host that is not in the host list', async () => {
    const senderId = new Promise<string>((resolve) => {
      const server = createTask(serverId, (report) => {
        if (report.type === 'received') {
          server.send(report.fromHostId, message);
        }
      });
      const client = createTask(clientId, (report) => {
        if (report.type === 'received') {
          resolve(report.fromHostId);
          void client.stop();
          void server.stop();
        }
      });
      void Promise.all([client.start(), server.start()]).then(() => {
        client.send(serverId, message);
      });
    });
    expect(await senderId).to.equal(serverId);
  });

  // Guards against a process that does not end, as it reports cut requests to other hosts on new connections.
  it('opens no connection once it is stopped', async () => {
    let received = 0;
    const server = createTask(serverId, () => {
      received += 1;
    });
    const client = createTask(clientId, () => undefined);
    await Promise.all([client.start(), server.start()]);
    await client.stop();
    client.send(serverId, message);
    await new Promise((resolve) => setTimeout(resolve, 200));
    await server.stop();
    expect(received).to.equal(0);
  });

  it('reports that no process listens at an address', async () => {
    const absentHostId = await new Promise<string>((resolve) => {
      const client = createTask(clientId, (report) => {
        if (report.type === 'absent') {
          resolve(report.hostId);
        }
      });
      client.send(serverId, message);
    });
    expect(absentHostId).to.equal(serverId);
  });
});
