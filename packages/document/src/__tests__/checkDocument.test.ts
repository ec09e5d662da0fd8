import {readFileSync, readdirSync} from 'node:fs';
import {createHash} from 'node:crypto';
import {expect} from 'chai';
import type {FleetDocument} from '../documentSchema.ts';
import {checkDocument} from '../checkDocument.ts';
import {formatFault} from '../fault.ts';
import {joinDocument} from '../joinDocument.ts';
import {parseSettings} from '../parseSettings.ts';
import {splitDocument} from '../splitDocument.ts';

const folder = 'examples';

function example(): FleetDocument {
  const text = readFileSync(`${folder}/tasas.document.json`, 'utf8');
  return checkDocument(JSON.parse(text))._unsafeUnwrap();
}

function faultsOf(edit: (document: FleetDocument) => void): string {
  const document = example();
  edit(document);
  const checked = checkDocument(document);
  return checked.isErr() ? checked.error.map(formatFault).join('\n') : '';
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

describe('checks of the document', () => {
  it('accepts every example', () => {
    for (const file of readdirSync(folder)) {
      const text = readFileSync(`${folder}/${file}`, 'utf8');
      if (file.endsWith('.document.json')) {
        expect(checkDocument(JSON.parse(text)).isOk(), file).to.equal(true);
      }
      if (file.endsWith('.toml')) {
        expect(parseSettings(text).isOk(), file).to.equal(true);
      }
    }
  });

  it('names path, mend and value of a broken reference', () => {
    const faults = faultsOf(({routes}) => Object.assign(routes[0] ?? {}, {backend: 'nobody'}));
    expect(faults).to.equal(
      'routes.0.backend: backend "nobody" does not exist; add it to backends or correct the name (found "nobody")',
    );
  });

  it('refuses a floor above the servers', () => {
    const faults = faultsOf(({backends}) =>
      Object.assign(backends[1]?.floor ?? {}, {totalServers: 7}),
    );
    expect(faults).to.include('floor is above the 6 servers of backend "legajos"');
  });

  it('refuses a key used twice', () => {
    const faults = faultsOf(({customers}) => {
      customers[1]?.keyDigests.push(customers[0]?.keyDigests[0] ?? '');
    });
    expect(faults).to.include('the key already belongs to customer "estudio-belgrano"');
  });

  it('refuses unknown fields and lists every fault', () => {
    const faults = faultsOf((document) => {
      Object.assign(document, {extra: 1, version: 0});
    });
    expect(faults.split('\n')).to.have.length(2);
  });
});

describe('parts of the document', () => {
  function large(): FleetDocument {
    const document = example();
    const [route] = document.routes;
    for (let index = 0; index < 1_000; index += 1) {
      const ratePerSecond = 1 + (index % 7);
      const keyDigests = [sha256(`key-${index}`)];
      document.customers.push({id: `c-${index}`, ratePerSecond, burstRequests: 10, keyDigests});
      if (route !== undefined) {
        document.routes.push({...route, id: `r-${index}`, pathPrefix: `/r/${index}`});
      }
    }
    return document;
  }

  it('come together again to the same document', () => {
    const document = large();
    const {manifest, texts} = splitDocument(document, sha256);
    const joined = joinDocument(manifest, texts)._unsafeUnwrap();
    const byId = (one: {id: string}, other: {id: string}): number => (one.id < other.id ? -1 : 1);
    expect(joined.customers.sort(byId)).to.deep.equal(document.customers.sort(byId));
    expect(joined.routes.sort(byId)).to.deep.equal(document.routes.sort(byId));
  });

  it('change by one customer and the head when one customer changes', () => {
    const document = large();
    const before = splitDocument(document, sha256);
    document.version += 1;
    Object.assign(document.customers[500] ?? {}, {ratePerSecond: 99});
    const after = splitDocument(document, sha256);
    const fresh = after.manifest.parts.filter(({sha256: digest}) => !before.texts.has(digest));
    expect(fresh.map(({kind}) => kind)).to.deep.equal(['head', 'customers']);
  });

  it('are refused whole when one is missing', () => {
    const {manifest, texts} = splitDocument(large(), sha256);
    const some = new Map([...texts].slice(1));
    expect(joinDocument(manifest, some).isErr()).to.equal(true);
  });
});

describe('settings', () => {
  it('name the bad value and the mend', () => {
    const parsed = parseSettings('[host]\nid = "h"\ndataCentre = "d"\n[listen]\ncallers = "x:1"\n');
    const faults = parsed.isErr() ? parsed.error.map(formatFault).join('\n') : '';
    expect(faults).to.include(
      'listen.callers: must be IP:port such as "10.0.0.1:8080" (found "x:1")',
    );
    expect(faults).to.include('platform');
  });

  it('tell where the text is not TOML', () => {
    const parsed = parseSettings('[host');
    expect(parsed.isErr() ? parsed.error[0]?.message : '').to.include('is not TOML');
  });
});
