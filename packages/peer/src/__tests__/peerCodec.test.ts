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

describe('PeerCodec', () => {
  it('decodes a sequence of encoded messages', () => {
    const sender = new PeerCodec();
    const receiver = new PeerCodec();
    for (let round = 0; round < 3; round += 1) {
      const decoded = receiver.decode(sender.encode(heartbeat))._unsafeUnwrap();
      expect(decoded).to.deep.include({type: 'heartbeatAnswer', nonce: 483_646_000_000_001});
      expect([...(decoded.type === 'heartbeatAnswer' ? decoded.ages : [])]).to.have.length(48);
    }
  });

  it('sends field names only once per connection', () => {
    const sender = new PeerCodec();
    const first = sender.encode(heartbeat).length;
    const second = sender.encode(heartbeat).length;
    expect(second).to.be.below(first - 80);
  });

  it('rejects bytes that are not a valid message', () => {
    const receiver = new PeerCodec();
    expect(receiver.decode(new Uint8Array([0xc1])).isErr()).to.equal(true);
    const valid = new PeerCodec().encode({type: 'leaving'});
    expect(receiver.decode(valid).isOk()).to.equal(true);
    const unknownType = new PeerCodec().encode({type: 'nonsense'} as unknown as PeerMessage);
    expect(new PeerCodec().decode(unknownType).isErr()).to.equal(true);
  });
});
