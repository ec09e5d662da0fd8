import {expect} from 'chai';
import {readRequestTarget} from '../callers/requestTarget.ts';

describe('readRequestTarget', () => {
  // Guards against requests that a route without a key takes to a path of a route with one.
  it('routes encoded characters by the path that a server may decode', () => {
    const target = readRequestTarget('/%61dmin/%7Eana?x=%61', 'a.example', {isPathOpaque: false});
    expect(target._unsafeUnwrap()).to.deep.equal({
      host: 'a.example',
      path: '/admin/~ana',
      pathAndQuery: '/%61dmin/%7Eana?x=%61',
    });
  });

  it('rejects paths that a server may read as another path', () => {
    for (const path of [
      '/a/../b',
      '/a/%2e%2E/b',
      '/a/./b',
      '/a//b',
      '/a%2fb',
      '/a\\b',
      '/admin#x',
    ]) {
      const target = readRequestTarget(path, 'a.example', {isPathOpaque: false});
      expect(target.isErr(), path).to.equal(true);
    }
  });

  it('takes opaque paths literally', () => {
    for (const path of ['/a/../b', '/%61dmin', '/a//b']) {
      const target = readRequestTarget(path, 'a.example', {isPathOpaque: true});
      expect(target._unsafeUnwrap().path).to.equal(path);
    }
  });
});
