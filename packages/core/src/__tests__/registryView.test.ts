import {documentSchema} from '@godwitspring/document';
import type {DiscoveredServer, RegistryChange} from '@godwitspring/document';
import {expect} from 'chai';
import {RegistryView} from '../registry/registryView.ts';

/** A change that adds or updates the entry of a server, cold for 1,000 ms. */
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

describe('RegistryView', () => {
  it('counts down the remaining cold time of a server', () => {
    const view = new RegistryView();
    view.apply({isWhole: true, epoch: 0, revision: 1, changes: [server('s', 1)]}, 0);
    expect(view.servers(400)[0]?.coldForMs).to.equal(600);
  });

  it('retains a server whose entry was removed unannounced as a last resort for a limited time', () => {
    const view = new RegistryView();
    view.apply({isWhole: true, epoch: 0, revision: 1, changes: [server('s', 1)]}, 0);
    const removal: RegistryChange = {kind: 'serverGone', serverId: 's', revision: 2};
    view.apply({isWhole: false, epoch: 0, revision: 2, changes: [removal]}, 100);
    expect(view.servers(100)).to.have.length(0);
    expect(view.lapsedServers(1_000)).to.have.length(1);
    expect(view.lapsedServers(2_000)).to.have.length(0);
  });

  it('does not retain a server that was draining as a last resort', () => {
    const view = new RegistryView();
    view.apply({isWhole: true, epoch: 0, revision: 1, changes: [server('s', 1, 'draining')]}, 0);
    const removal: RegistryChange = {kind: 'serverGone', serverId: 's', revision: 2};
    view.apply({isWhole: false, epoch: 0, revision: 2, changes: [removal]}, 100);
    expect(view.lapsedServers(150)).to.have.length(0);
  });

  // Guards against a first version 0 that never comes into force.
  it('takes the version 0 as a document, also from a peer', () => {
    const document = documentSchema.parse({
      formatVersion: 1,
      version: 0,
      author: 'a',
      reason: 'r',
      madeAt: '2026-01-01T00:00:00Z',
      dataCentres: [{id: 'dc'}],
      customers: [],
      backends: [],
      routes: [],
    });
    const view = new RegistryView();
    view.apply({isWhole: true, epoch: 0, revision: 1, changes: [{kind: 'document', document}]}, 0);
    expect(view.document?.version).to.equal(0);
    const {changes} = view.changesSince({documentVersion: 0, epoch: 0, revision: 0}, 0);
    expect(changes.map(({kind}) => kind)).to.deep.equal(['document']);
  });

  it('ignores a read of an older revision', () => {
    const view = new RegistryView();
    view.apply({isWhole: true, epoch: 0, revision: 5, changes: [server('s', 5, 'draining')]}, 0);
    view.apply({isWhole: true, epoch: 0, revision: 4, changes: [server('s', 4)]}, 10);
    expect(view.servers(10)[0]?.state).to.equal('draining');
  });

  it('removes servers and outages that a read of the whole registry does not list', () => {
    const view = new RegistryView();
    const outage: RegistryChange = {kind: 'dataCentreOut', dataCentre: 'dc'};
    view.apply({isWhole: true, epoch: 0, revision: 1, changes: [server('s', 1), outage]}, 0);
    view.apply({isWhole: true, epoch: 0, revision: 2, changes: []}, 10);
    expect(view.servers(10)).to.have.length(0);
    expect(view.outOfService).to.have.length(0);
  });

  it('lists the changes since the revision of a peer, including removed servers', () => {
    const view = new RegistryView();
    view.apply(
      {isWhole: true, epoch: 0, revision: 1, changes: [server('a', 1), server('b', 1)]},
      0,
    );
    const removal: RegistryChange = {kind: 'serverGone', serverId: 'a', revision: 2};
    view.apply({isWhole: false, epoch: 0, revision: 3, changes: [removal, server('c', 3)]}, 10);
    const {isWhole, changes} = view.changesSince({documentVersion: 0, epoch: 0, revision: 1}, 20);
    expect(isWhole).to.equal(false);
    expect(changes.map(({kind}) => kind)).to.deep.equal(['server', 'serverGone']);
    expect(view.changesSince({documentVersion: 0, epoch: 0, revision: 0}, 20).isWhole).to.equal(
      true,
    );
  });

  describe('where the registry returned from a copy', () => {
    /** A change with the entry of a server that has written it a number of times since its start. */
    function written(
      id: string,
      {revision, writeCount, state}: Pick<DiscoveredServer, 'revision' | 'writeCount' | 'state'>,
    ): RegistryChange {
      const change = server(id, revision, state);
      return change.kind === 'server'
        ? {...change, server: {...change.server, writeCount}}
        : change;
    }

    it('retains what a server stated last where an older entry of it is back', () => {
      const view = new RegistryView();
      const draining = written('s', {revision: 9, writeCount: 5, state: 'draining'});
      view.apply({isWhole: true, epoch: 1, revision: 9, changes: [draining]}, 0);
      const older = written('s', {revision: 3, writeCount: 2, state: 'in-service'});
      view.apply({isWhole: true, epoch: 2, revision: 4, changes: [older]}, 10);
      expect(view.servers(10)[0]?.state).to.equal('draining');
      view.apply({isWhole: true, epoch: 2, revision: 4, changes: [older]}, 5_000);
      expect(view.servers(5_000)[0]?.state).to.equal('draining');
      const restarted = written('s', {revision: 6, writeCount: 1, state: 'in-service'});
      view.apply({isWhole: false, epoch: 2, revision: 6, changes: [restarted]}, 5_010);
      expect(view.servers(5_010)[0]?.state).to.equal('in-service');
    });

    it('does not use a server that left before, unless it registers again', () => {
      const view = new RegistryView();
      const entry = written('s', {revision: 3, writeCount: 2, state: 'in-service'});
      view.apply({isWhole: true, epoch: 1, revision: 3, changes: [entry]}, 0);
      const removal: RegistryChange = {kind: 'serverGone', serverId: 's', revision: 9};
      view.apply({isWhole: false, epoch: 1, revision: 9, changes: [removal]}, 10);
      view.apply({isWhole: true, epoch: 2, revision: 4, changes: [entry]}, 20);
      expect(view.servers(20)).to.have.length(0);
      const again = written('s', {revision: 5, writeCount: 3, state: 'in-service'});
      view.apply({isWhole: false, epoch: 2, revision: 5, changes: [again]}, 30);
      expect(view.servers(30)).to.have.length(1);
    });

    it('tells a peer of a former epoch which servers left since', () => {
      const view = new RegistryView();
      view.apply({isWhole: true, epoch: 2, revision: 4, changes: [server('s', 3)]}, 0);
      const removal: RegistryChange = {kind: 'serverGone', serverId: 's', revision: 5};
      view.apply({isWhole: false, epoch: 2, revision: 5, changes: [removal]}, 10);
      const peer = new RegistryView();
      peer.apply({isWhole: true, epoch: 1, revision: 30, changes: [server('s', 3)]}, 0);
      const reply = view.changesSince({documentVersion: 0, ...peer.position}, 20);
      peer.apply({...reply, ...view.position}, 20);
      expect(peer.servers(20)).to.have.length(0);
    });

    it('ignores updates of a former epoch, and changes of a new one before it was read as a whole', () => {
      const view = new RegistryView();
      view.apply({isWhole: true, epoch: 2, revision: 4, changes: [server('s', 3)]}, 0);
      view.apply({isWhole: true, epoch: 1, revision: 90, changes: []}, 10);
      view.apply({isWhole: false, epoch: 3, revision: 5, changes: [server('t', 5)]}, 20);
      expect(view.servers(20).map(({id}) => id)).to.deep.equal(['s']);
      expect(view.position).to.deep.equal({epoch: 2, revision: 4});
    });

    it('follows the registry again where nothing was published in time', () => {
      const view = new RegistryView();
      const out: RegistryChange = {kind: 'dataCentreOut', dataCentre: 'dc', revision: 8};
      view.apply({isWhole: true, epoch: 1, revision: 9, changes: [server('s', 7), out]}, 0);
      view.apply({isWhole: true, epoch: 2, revision: 4, changes: []}, 10);
      view.endExpired(1_500);
      expect(view.servers(1_500)).to.have.length(1);
      view.endExpired(2_100);
      expect(view.servers(2_100)).to.have.length(0);
      expect(view.outOfService).to.deep.equal(['dc']);
      view.endExpired(10_100);
      expect(view.outOfService).to.deep.equal([]);
    });
  });
});
