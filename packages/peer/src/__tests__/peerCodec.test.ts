import type {PeerMessage} from '@godwitspring/core';
import {expect} from 'chai';
import {PeerCodec} from '../peerCodec.ts';

const heartbeat: PeerMessage = {
  type: 'heartbeatAnswer',
  nonce: 483_646_000_000_001,
  listVersion: 3,
  documentVersion: 7,
  oldestListVersion: 3,
  isFresh: true,
  platformAgeMs: 120,
  platformNowMs: 1_000.5,
  ages: new Uint8Array(48).fill(4),
};

describe('codec of peer messages', () => {
  it('gives back what was sent, message after message', () => {
    const sender = new PeerCodec();
    const receiver = new PeerCodec();
    for (let turn = 0; turn < 3; turn += 1) {
      const decoded = receiver.decode(sender.encode(heartbeat))._unsafeUnwrap();
      expect(decoded).to.deep.include({type: 'heartbeatAnswer', nonce: 483_646_000_000_001});
      expect([...(decoded.type === 'heartbeatAnswer' ? decoded.ages : [])]).to.have.length(48);
    }
  });

  it('sends field names once a connection', () => {
    const sender = new PeerCodec();
    const first = sender.encode(heartbeat).length;
    const second = sender.encode(heartbeat).length;
    expect(second).to.be.below(first - 80);
  });

  it('refuses what is no message', () => {
    const receiver = new PeerCodec();
    expect(receiver.decode(new Uint8Array([0xc1])).isErr()).to.equal(true);
    const other = new PeerCodec().encode({type: 'leaving'});
    expect(receiver.decode(other).isOk()).to.equal(true);
    const broken = new PeerCodec().encode({type: 'nonsense'} as unknown as PeerMessage);
    expect(new PeerCodec().decode(broken).isErr()).to.equal(true);
  });
});
