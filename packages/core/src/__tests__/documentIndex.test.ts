import {documentSchema} from '@godwitspring/document';
import {expect} from 'chai';
import fc from 'fast-check';
import {DocumentIndex} from '../routing/documentIndex.ts';

const seed = 20_261_205;

/** An index of routes whose ids are their prefixes, with fields by prefix. */
function indexOf(prefixes: readonly string[], fields: Record<string, object> = {}): DocumentIndex {
  return new DocumentIndex(
    documentSchema.parse({
      formatVersion: 1,
      version: 1,
      author: 'a',
      reason: 'r',
      madeAt: '2026-01-01T00:00:00Z',
      dataCentres: [{id: 'dc'}],
      customers: [],
      backends: [],
      routes: prefixes.map((prefix) => ({
        id: prefix,
        host: 'a.example',
        pathPrefix: prefix,
        backend: 'b',
        ...fields[prefix],
      })),
    }),
  );
}

/** Prefix of the route that is found; the kind of the refusal if there is none. */
function findPrefix(index: DocumentIndex, path: string, method = 'GET'): string {
  const match = index.findRoute('a.example', path, method);
  return match.kind === 'found' ? match.route.id : match.kind;
}

describe('DocumentIndex', () => {
  // Guards against requests that a service runs although no prefix of it begins their path.
  it('matches no path that lacks the last slash of a prefix', () => {
    const index = indexOf(['/tasas/', '/tasas/recibos/']);
    expect(findPrefix(index, '/tasas/recibos')).to.equal('/tasas/');
    expect(findPrefix(index, '/tasas/recibos-2026')).to.equal('/tasas/');
    expect(findPrefix(index, '/tasas/recibos/')).to.equal('/tasas/recibos/');
    expect(findPrefix(index, '/tasas/recibos/17')).to.equal('/tasas/recibos/');
    expect(findPrefix(index, '/tasas')).to.equal('no-route');
  });

  // Guards against requests that run without a key on a path beside that of an open route.
  it('does not open a path that lacks the last slash of an open prefix', () => {
    const index = indexOf(['/', '/status/'], {'/status/': {openToAll: true}});
    for (const [path, openToAll] of [
      ['/status', false],
      ['/status/', true],
      ['/status/x', true],
      ['/statusx', false],
    ] as const) {
      const match = index.findRoute('a.example', path, 'GET');
      expect(match.kind === 'found' && match.route.openToAll, path).to.equal(openToAll);
    }
  });

  it('matches the path of a prefix without a last slash and those below it', () => {
    const index = indexOf(['/', '/pagos', '/pagos/alta/']);
    expect(findPrefix(index, '/pagos')).to.equal('/pagos');
    expect(findPrefix(index, '/pagos/')).to.equal('/pagos');
    expect(findPrefix(index, '/pagos/alta')).to.equal('/pagos');
    expect(findPrefix(index, '/pagos/alta/1')).to.equal('/pagos/alta/');
    expect(findPrefix(index, '/pagosx')).to.equal('/');
  });

  it('finds the longest prefix that begins the path, where all end with a slash', () => {
    const segments = fc.array(fc.constantFrom('a', 'b', '/', 'ab'), {maxLength: 6});
    const path = segments.map((parts) => `/${parts.join('')}`);
    const prefix = path.map((text) => (text.endsWith('/') ? text : `${text}/`));
    fc.assert(
      fc.property(
        fc.uniqueArray(prefix, {minLength: 1, maxLength: 6}),
        path,
        (prefixes, target) => {
          const beginning = prefixes.filter((candidate) => target.startsWith(candidate));
          beginning.sort((one, other) => other.length - one.length);
          expect(findPrefix(indexOf(prefixes), target)).to.equal(beginning[0] ?? 'no-route');
        },
      ),
      {seed, numRuns: 2_000},
    );
  });

  it('finds the route of a path of a hundred thousand segments at once', () => {
    const index = indexOf(['/', '/pagos/']);
    const startedAtMs = performance.now();
    expect(findPrefix(index, '/a'.repeat(100_000))).to.equal('/');
    expect(performance.now() - startedAtMs).to.be.below(100);
  });
});
