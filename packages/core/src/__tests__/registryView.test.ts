import type {DiscoveredServer, RegistryChange} from '@godwitspring/document';
import {expect} from 'chai';
import {RegistryView} from '../registry/registryView.ts';

function server(
  id: string,
  revision: number,
  state: DiscoveredServer['state'] = 'in-service',
): RegistryChange {
  return {
    kind: 'server',
    server: {
      id,
      backendId: 'b',
      origin: 'http://10.0.0.1:80',
      dataCentre: 'dc',
      slots: 2,
      state,
      coldForMs: 1_000,
      revision,
    },
  };
}

describe('the view of the registry', () => {
  it('counts down the time for which a server stays cold', () => {
    const view = new RegistryView();
    view.apply({isWhole: true, revision: 1, changes: [server('s', 1)]}, 0);
    expect(view.servers(400)[0]?.coldForMs).to.equal(600);
  });

  it('keeps a server that went away without notice as a last resort for a moment', () => {
    const view = new RegistryView();
    view.apply({isWhole: true, revision: 1, changes: [server('s', 1)]}, 0);
    const gone: RegistryChange = {kind: 'serverGone', serverId: 's', revision: 2};
    view.apply({isWhole: false, revision: 2, changes: [gone]}, 100);
    expect(view.servers(100)).to.have.length(0);
    expect(view.lapsed(1_000)).to.have.length(1);
    expect(view.lapsed(2_000)).to.have.length(0);
  });

  it('drops a server that drained without a last resort', () => {
    const view = new RegistryView();
    view.apply({isWhole: true, revision: 1, changes: [server('s', 1, 'draining')]}, 0);
    const gone: RegistryChange = {kind: 'serverGone', serverId: 's', revision: 2};
    view.apply({isWhole: false, revision: 2, changes: [gone]}, 100);
    expect(view.lapsed(150)).to.have.length(0);
  });

  it('takes nothing from an older reading', () => {
    const view = new RegistryView();
    view.apply({isWhole: true, revision: 5, changes: [server('s', 5, 'draining')]}, 0);
    view.apply({isWhole: true, revision: 4, changes: [server('s', 4)]}, 10);
    expect(view.servers(10)[0]?.state).to.equal('draining');
  });

  it('drops what a whole reading does not name', () => {
    const view = new RegistryView();
    const out: RegistryChange = {kind: 'dataCentreOut', dataCentre: 'dc'};
    view.apply({isWhole: true, revision: 1, changes: [server('s', 1), out]}, 0);
    view.apply({isWhole: true, revision: 2, changes: []}, 10);
    expect(view.servers(10)).to.have.length(0);
    expect(view.outOfService).to.have.length(0);
  });

  it('tells a peer what changed since its revision, departures among it', () => {
    const view = new RegistryView();
    view.apply({isWhole: true, revision: 1, changes: [server('a', 1), server('b', 1)]}, 0);
    const gone: RegistryChange = {kind: 'serverGone', serverId: 'a', revision: 2};
    view.apply({isWhole: false, revision: 3, changes: [gone, server('c', 3)]}, 10);
    const {isWhole, changes} = view.changesSince({documentVersion: 0, revision: 1}, 20);
    expect(isWhole).to.equal(false);
    expect(changes.map(({kind}) => kind)).to.deep.equal(['server', 'serverGone']);
    expect(view.changesSince({documentVersion: 0, revision: 0}, 20).isWhole).to.equal(true);
  });
});
