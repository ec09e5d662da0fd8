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
