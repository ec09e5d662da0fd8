import {expect} from 'chai';
import fc from 'fast-check';
import {Packr} from 'msgpackr';
import {PeerCodec} from '../peerCodec.ts';

const seed = 20_261_204;

describe('PeerCodec fed by a faulty peer', () => {
  it('refuses arbitrary bytes without throwing', () => {
    fc.assert(
      fc.property(fc.uint8Array({maxLength: 512}), (bytes) => {
        expect(new PeerCodec().decode(bytes).isErr()).to.equal(true);
      }),
      {seed, numRuns: 500},
    );
  });

  it('refuses well-formed values that are no message without throwing', () => {
    const packr = new Packr({sequential: true, useRecords: true, moreTypes: true});
    fc.assert(
      fc.property(fc.anything({maxDepth: 3}), (value) => {
        expect(new PeerCodec().decode(packr.pack(value)).isErr()).to.equal(true);
      }),
      {seed, numRuns: 500},
    );
  });
});
