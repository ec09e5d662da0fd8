import {expect} from 'chai';
import {PathDoubts} from '../placement/pathDoubts.ts';

const silent = {hostId: 'cut', startedAtMs: 1_000};

function doubts(answeringHosts: readonly string[]): PathDoubts {
  const paths = new PathDoubts();
  paths.noteSilence('s-1', silent, 1_800);
  for (const [index, hostId] of answeringHosts.entries()) {
    paths.noteAnswer('s-1', {hostId, startedAtMs: 1_100 + index}, 1_900);
  }
  return paths;
}

describe('the ways of a host to servers', () => {
  it('are in doubt once two other hosts were answered by a server that was silent to it', () => {
    const paths = doubts(['one', 'two']);
    expect(paths.isInDoubt('cut', 's-1', 2_000)).to.equal(true);
    expect(paths.isInDoubt('cut', 's-2', 2_000)).to.equal(true);
    expect(paths.isInDoubt('one', 's-1', 2_000)).to.equal(false);
  });

  it('are not in doubt while the server may be silent to all', () => {
    expect(doubts(['one']).isInDoubt('cut', 's-1', 2_000)).to.equal(false);
    expect(doubts(['cut', 'cut']).isInDoubt('cut', 's-1', 2_000)).to.equal(false);
  });

  it('come out of doubt one by one as servers answer, and all of them with time', () => {
    const paths = doubts(['one', 'two']);
    paths.noteAnswer('s-2', {hostId: 'cut', startedAtMs: 2_000}, 2_200);
    expect(paths.isInDoubt('cut', 's-2', 2_300)).to.equal(false);
    expect(paths.isInDoubt('cut', 's-3', 2_300)).to.equal(true);
    expect(paths.isInDoubt('cut', 's-3', 12_000)).to.equal(false);
  });

  it('forget servers that are gone', () => {
    const paths = new PathDoubts();
    paths.noteSilence('s-1', silent, 1_800);
    paths.keepOnly(new Set(['s-2']));
    paths.noteAnswer('s-1', {hostId: 'one', startedAtMs: 1_100}, 1_900);
    paths.noteAnswer('s-1', {hostId: 'two', startedAtMs: 1_101}, 1_900);
    expect(paths.isInDoubt('cut', 's-1', 2_000)).to.equal(false);
  });
});
