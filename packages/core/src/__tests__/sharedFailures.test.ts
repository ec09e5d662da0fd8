import type {DiscoveredServer} from '@godwitspring/document';
import {expect} from 'chai';
import {DEFAULT_FLEET_BOUNDS} from '../fleet/fleetBounds.ts';
import type {CoreMessage} from '../messages/coreMessage.ts';
import type {PeerMessage} from '../messages/peerMessages.ts';
import {PlacementHomeTask} from '../placement/placementHomeTask.ts';

const hostIds = ['home', 'other-1', 'other-2'];
const servers: DiscoveredServer[] = Array.from({length: 5}, (_, index) => ({
  id: `s-${index}`,
  backendId: 'b',
  origin: `http://s-${index}`,
  dataCentre: 'dc',
  slots: 4,
  state: 'in-service',
  coldForMs: 0,
  revision: 1,
}));
/** Interval between two requests, in ms: on average, three of the 20 slots are taken. */
const intervalMs = 10;
const runMs = 30;
const requests = 1_000;
/** One request of so many is lost. */
const lostEvery = 5;
/** Window in which every server has to be used, in ms. */
const windowMs = 2_000;

describe('a home whose servers all lose a fifth of their requests', () => {
  function run(isRepeatable: boolean): {refused: number; grantsByWindow: Set<string>[]} {
    const task = new PlacementHomeTask({
      selfId: 'home',
      bounds: DEFAULT_FLEET_BOUNDS,
      hash: () => 1,
    });
    const live = hostIds.map((hostId) => ({
      hostId,
      dataCentre: 'dc',
      bornMs: hostId === 'home' ? 0 : 1,
      capacityClass: 0,
    }));
    task.receive(
      {type: 'registeredServersChanged', servers, lapsedServerIds: [], outOfService: []},
      0,
    );
    task.receive({type: 'rosterChanged', live, knownCount: live.length}, 0);
    const events: {atMs: number; message: CoreMessage}[] = [];
    for (let askId = 1; askId <= requests; askId += 1) {
      const fromHostId = hostIds[askId % hostIds.length] ?? '';
      const receive = (message: PeerMessage, atMs: number): void => {
        events.push({atMs, message: {type: 'peerMessageReceived', fromHostId, message}});
      };
      const atMs = askId * intervalMs;
      receive(
        {
          type: 'placeAsk',
          askId,
          backendId: 'b',
          routeId: 'r',
          customerId: 'c',
          isRepeat: false,
          isRepeatable,
          priority: 0,
          leftMs: 2_000,
          connectedIds: [],
          avoidedIds: [],
          bodyBytes: 0,
          requestName: `${askId}`,
        },
        atMs,
      );
      const outcome = askId % lostEvery === 0 ? 'lost' : 'ok';
      receive({type: 'placeEnded', askId, outcome, ranForMs: runMs}, atMs + runMs);
    }
    events.sort((one, other) => one.atMs - other.atMs);
    let refused = 0;
    const grantsByWindow: Set<string>[] = [];
    for (const {atMs, message} of events) {
      for (const sent of task.receive(message, atMs)) {
        if (sent.type !== 'sendToPeer' || sent.message.type !== 'placeAnswer') {
          continue;
        }
        const {state, serverId = ''} = sent.message;
        refused += state === 'refused' ? 1 : 0;
        if (state === 'granted') {
          (grantsByWindow[Math.floor(atMs / windowMs)] ??= new Set()).add(serverId);
        }
      }
    }
    return {refused, grantsByWindow};
  }

  for (const isRepeatable of [false, true]) {
    // Guards against failures with a common cause that make every server look unusable.
    it(`uses all of them and refuses nothing, ${isRepeatable ? 'retryable' : 'one-time'} requests`, () => {
      const {refused, grantsByWindow} = run(isRepeatable);
      const used = grantsByWindow.slice(0, -1).map(({size}) => size);
      expect({refused, used}).to.deep.equal({refused: 0, used: used.map(() => servers.length)});
    });
  }
});
