import type {PeerMessage} from '@godwitspring/core';
import {expect} from 'chai';
import {PeerTask} from '../peerTask.ts';
import type {PeerReport} from '../peerTask.ts';

const one = '127.53.0.1:7000';
const other = '127.53.0.2:7000';
const message: PeerMessage = {type: 'leaving'};

function task(selfId: string, report: (report: PeerReport) => void): PeerTask {
  const [listenHost = '', listenPort = ''] = selfId.split(':');
  return new PeerTask({
    selfId,
    listenHost,
    listenPort: Number(listenPort),
    areIdsAddresses: true,
    report,
  });
}

describe('links between hosts whose ids are addresses', () => {
  it('answer a host that is not listed', async () => {
    const heard = new Promise<string>((resolve) => {
      const asked = task(other, (report) => {
        if (report.type === 'received') {
          asked.send(report.fromHostId, message);
        }
      });
      const asking = task(one, (report) => {
        if (report.type === 'received') {
          resolve(report.fromHostId);
          void asking.stop();
          void asked.stop();
        }
      });
      void Promise.all([asking.start(), asked.start()]).then(() => {
        asking.send(other, message);
      });
    });
    expect(await heard).to.equal(other);
  });

  it('tell that nobody listens at an address', async () => {
    const absent = await new Promise<string>((resolve) => {
      const alone = task(one, (report) => {
        if (report.type === 'absent') {
          resolve(report.hostId);
        }
      });
      alone.send(other, message);
    });
    expect(absent).to.equal(other);
  });
});
