import {expect} from 'chai';
import {SuspectPaths} from '../placement/suspectPaths.ts';

const silentAttempt = {hostId: 'cut', startedAtMs: 1_000};

/** Paths after a server was silent to the host `cut` and then answered some hosts. */
function suspectPaths(answeredHosts: readonly string[]): SuspectPaths {
  const paths = new SuspectPaths();
  paths.recordSilence('s-1', silentAttempt, 1_800);
  for (const [index, hostId] of answeredHosts.entries()) {
    paths.recordSuccess('s-1', {hostId, startedAtMs: 1_100 + index}, 1_900);
  }
  return paths;
}

describe('network paths of a host to servers', () => {
  it('become suspect once a server that was silent to the host answers two other hosts', () => {
    const paths = suspectPaths(['one', 'two']);
    expect(paths.isSuspect('cut', 's-1', 2_000)).to.equal(true);
    expect(paths.isSuspect('cut', 's-2', 2_000)).to.equal(true);
    expect(paths.isSuspect('one', 's-1', 2_000)).to.equal(false);
  });

  it('are not suspect while the server may be silent to every host', () => {
    expect(suspectPaths(['one']).isSuspect('cut', 's-1', 2_000)).to.equal(false);
    expect(suspectPaths(['cut', 'cut']).isSuspect('cut', 's-1', 2_000)).to.equal(false);
  });

  it('stop being suspect one by one as servers answer, and all of them with time', () => {
    const paths = suspectPaths(['one', 'two']);
    paths.recordSuccess('s-2', {hostId: 'cut', startedAtMs: 2_000}, 2_200);
    expect(paths.isSuspect('cut', 's-2', 2_300)).to.equal(false);
    expect(paths.isSuspect('cut', 's-3', 2_300)).to.equal(true);
    expect(paths.isSuspect('cut', 's-3', 12_000)).to.equal(false);
  });

  it('drop the records of servers that no longer exist', () => {
    const paths = new SuspectPaths();
    paths.recordSilence('s-1', silentAttempt, 1_800);
    paths.retainServers(new Set(['s-2']));
    paths.recordSuccess('s-1', {hostId: 'one', startedAtMs: 1_100}, 1_900);
    paths.recordSuccess('s-1', {hostId: 'two', startedAtMs: 1_101}, 1_900);
    expect(paths.isSuspect('cut', 's-1', 2_000)).to.equal(false);
  });
});
