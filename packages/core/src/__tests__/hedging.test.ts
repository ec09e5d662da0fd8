import {documentSchema} from '@godwitspring/document';
import type {FleetDocument, HedgingSettings} from '@godwitspring/document';
import {expect} from 'chai';
import {DEFAULT_FLEET_BOUNDS} from '../fleet/fleetBounds.ts';
import {BackendHedging} from '../hedging/backendHedging.ts';
import {BudgetedHedging} from '../hedging/budgetedHedging.ts';
import {HedgeBudget} from '../hedging/hedgeBudget.ts';
import type {BackendLoad, DurationsByRoute} from '../hedging/hedgingPolicy.ts';
import {RetryBudgetHedging} from '../hedging/retryBudgetHedging.ts';
import {ServerPaces} from '../hedging/serverPaces.ts';
import {withDefaultHedging} from '../hedging/withDefaultHedging.ts';
import type {PlaceAsk} from '../messages/peerMessages.ts';
import {BackendHome} from '../placement/backendHome.ts';
import type {PlacementDecision} from '../placement/placementDecision.ts';
import {SeededRandom} from '../random/seededRandom.ts';

const settings: HedgingSettings = {enabled: true, maxAttemptShare: 0.1, maxBusyShare: 0.1};
/** Durations with a median of 100 ms and a 95th percentile of 400 ms, on routes with a target of 1,000 ms. */
const durations: DurationsByRoute = {
  quantileMs: (_routeId, share) => (share < 0.9 ? 100 : 400),
  targetMs: () => 1_000,
};
const idleLoad: BackendLoad = {
  retryUsedShare: 0,
  waiting: 0,
  countSlots: () => ({free: 10, usable: 20}),
};
const first = {isHedge: false, isRepeat: false};
const hedge = {isHedge: true, isRepeat: true};

function documentWith(
  hedging: Partial<HedgingSettings> | undefined,
  routeHedging?: 'off',
): FleetDocument {
  return documentSchema.parse({
    formatVersion: 1,
    version: 1,
    author: 'test',
    reason: 'test',
    madeAt: '2026-01-01T00:00:00Z',
    dataCentres: [{id: 'dc-1'}],
    customers: [],
    backends: [{id: 'b', servers: [], isDiscovered: true, hedging}],
    routes: [
      {id: 'r', pathPrefix: '/', backend: 'b', targetLatencyMs: 1_000, hedging: routeHedging},
    ],
  });
}

/** Records first attempts that ran for 100 ms each and ended. */
function recordFirsts(budget: HedgeBudget, count: number, nowMs: number): void {
  for (let number = 0; number < count; number += 1) {
    const key = `first ${nowMs}/${number}`;
    budget.recordStart(key, {...first, requestKey: key}, nowMs);
    budget.recordEnd(key, false, 100, nowMs);
  }
}

describe('HedgeBudget', () => {
  it('allows only its slack before any first attempt: a home that takes over must not exceed the limit', () => {
    const budget = new HedgeBudget();
    let started = 0;
    while (budget.hasRoom(settings, `r${started}`, 100, 0) && started < 100) {
      budget.recordStart(`h${started}`, {...hedge, requestKey: `r${started}`}, 0);
      budget.recordEnd(`h${started}`, true, 100, 0);
      started += 1;
    }
    expect(started).to.equal(4);
  });

  it('allows the share of the first attempts in the window and no more after they have left it', () => {
    const budget = new HedgeBudget();
    recordFirsts(budget, 100, 0);
    for (let number = 0; number < 14; number += 1) {
      expect(budget.hasRoom({...settings, maxBusyShare: 1}, 'r', 100, 100)).to.equal(true);
      budget.recordStart(`h${number}`, {...hedge, requestKey: `${number}`}, 100);
      budget.recordEnd(`h${number}`, true, 10, 100);
    }
    expect(budget.hasRoom({...settings, maxBusyShare: 1}, 'r', 100, 100)).to.equal(false);
    expect(budget.usage(9_000)).to.include({firsts: 100, hedges: 14});
    expect(budget.usage(10_600)).to.include({firsts: 0, hedges: 0});
  });

  it('takes back a hedged attempt that never ran: it would use up the budget without any work', () => {
    const budget = new HedgeBudget();
    budget.recordStart('h', {...hedge, requestKey: 'r'}, 0);
    budget.cancelStart('h');
    expect(budget.usage(0)).to.deep.equal({firsts: 0, hedges: 0, busyMs: 0, hedgedBusyMs: 0});
  });

  it('counts the busy time of a cancelled hedged attempt', () => {
    const budget = new HedgeBudget();
    budget.recordStart('f', {...first, requestKey: 'r'}, 0);
    budget.recordStart('h', {...hedge, requestKey: 'r'}, 400);
    budget.recordEnd('h', true, 50, 450);
    budget.recordEnd('f', false, 450, 450);
    expect(budget.usage(450)).to.include({busyMs: 500, hedgedBusyMs: 50});
  });

  it('counts the busy time of a first attempt that a hedged one made useless', () => {
    const budget = new HedgeBudget();
    budget.recordStart('f', {...first, requestKey: 'r'}, 0);
    budget.recordStart('h', {...hedge, requestKey: 'r'}, 400);
    budget.recordEnd('f', true, 500, 500);
    budget.recordEnd('h', false, 110, 510);
    expect(budget.usage(510)).to.include({busyMs: 610, hedgedBusyMs: 610});
  });

  it('does not count a cancelled first attempt of another request', () => {
    const budget = new HedgeBudget();
    budget.recordStart('f', {...first, requestKey: 'other'}, 0);
    budget.recordStart('h', {...hedge, requestKey: 'r'}, 400);
    budget.recordEnd('f', true, 500, 500);
    expect(budget.usage(500)).to.include({busyMs: 500, hedgedBusyMs: 0});
  });

  it('withholds by busy time where hedged attempts are few but long', () => {
    const budget = new HedgeBudget();
    recordFirsts(budget, 200, 0);
    for (let number = 0; number < 4; number += 1) {
      budget.recordStart(`h${number}`, {...hedge, requestKey: `${number}`}, 0);
      budget.recordEnd(`h${number}`, false, 700, 0);
    }
    expect(budget.hasRoom(settings, 'r', 100, 0)).to.equal(false);
    expect(budget.hasRoom({...settings, maxBusyShare: 0.5}, 'r', 100, 0)).to.equal(true);
  });

  it('counts running hedged attempts in advance: many that start at once would exceed the share', () => {
    const budget = new HedgeBudget();
    recordFirsts(budget, 200, 0);
    let started = 0;
    while (budget.hasRoom(settings, `r${started}`, 100, 0) && started < 100) {
      budget.recordStart(`h${started}`, {...hedge, requestKey: `r${started}`}, 0);
      started += 1;
    }
    // 20 s of busy time allow 2 s, which is 20 hedged attempts of a typical duration.
    expect(started).to.equal(20);
  });

  it('counts attempts whose end was never reported as busy until they were dropped', () => {
    const budget = new HedgeBudget();
    budget.recordStart('h', {...hedge, requestKey: 'r'}, 0);
    budget.recordLost('h', 2_000);
    expect(budget.usage(2_000)).to.include({hedges: 1, hedgedBusyMs: 2_000});
  });

  it('stays within both shares in every window that ends with a hedged attempt, under a random load', () => {
    const random = new SeededRandom(21);
    const budget = new HedgeBudget();
    const starts: {atMs: number; isHedge: boolean}[] = [];
    const ends: {atMs: number; run: () => void}[] = [];
    for (let nowMs = 0; nowMs < 40_000; nowMs += 10) {
      while ((ends[0]?.atMs ?? Number.POSITIVE_INFINITY) <= nowMs) {
        ends.shift()?.run();
      }
      // The load drops to a tenth after half of the time, while hedged attempts are still wanted.
      if (random.nextInt(10) < (nowMs < 20_000 ? 8 : 1)) {
        const key = `f${nowMs}`;
        budget.recordStart(key, {...first, requestKey: key}, nowMs);
        starts.push({atMs: nowMs, isHedge: false});
        const ranForMs = 50 + random.nextInt(100);
        ends.push({
          atMs: nowMs + ranForMs,
          run: () => {
            budget.recordEnd(key, false, ranForMs, nowMs + ranForMs);
          },
        });
      }
      if (random.nextInt(4) === 0 && budget.hasRoom(settings, `r${nowMs}`, 100, nowMs)) {
        const key = `h${nowMs}`;
        budget.recordStart(key, {...hedge, requestKey: `r${nowMs}`}, nowMs);
        starts.push({atMs: nowMs, isHedge: true});
        ends.push({
          atMs: nowMs + 100,
          run: () => {
            budget.recordEnd(key, true, 100, nowMs + 100);
          },
        });
      }
      ends.sort((one, other) => one.atMs - other.atMs);
      const last = starts.at(-1);
      if (last?.isHedge === true && last.atMs === nowMs) {
        const {busyMs, hedgedBusyMs} = budget.usage(nowMs);
        expect(hedgedBusyMs, `busy at ${nowMs}`).to.be.at.most(Math.max(busyMs * 0.1 + 20, 800));
        const inWindow = starts.filter(({atMs}) => atMs > nowMs - 10_000);
        const hedges = inWindow.filter(({isHedge}) => isHedge).length;
        expect(hedges, `at ${nowMs}`).to.be.at.most((inWindow.length - hedges) * 0.1 + 4 + 1e-9);
      }
    }
    expect(starts.filter(({isHedge}) => isHedge).length).to.be.above(150);
  });
});

describe('BudgetedHedging', () => {
  function createPolicy(): {policy: BudgetedHedging; budget: HedgeBudget; paces: ServerPaces} {
    const budget = new HedgeBudget();
    const paces = new ServerPaces();
    return {policy: new BudgetedHedging({settings, budget, durations, paces}), budget, paces};
  }
  const query = {routeId: 'r', leftMs: 1_000, requestKey: 'k'};

  it('names the reason for which it withholds a hedged attempt', () => {
    const {policy, budget} = createPolicy();
    const load = (changes: Partial<BackendLoad>) => ({...idleLoad, ...changes});
    expect(policy.decide(query, idleLoad, 0)).to.equal('allowed');
    expect(policy.decide({...query, leftMs: 99}, idleLoad, 0)).to.equal('deadline');
    expect(policy.decide(query, load({waiting: 1}), 0)).to.equal('queued');
    expect(policy.decide(query, load({retryUsedShare: 0.61}), 0)).to.equal('retry-budget');
    const countSlots = (): {free: number; usable: number} => ({free: 1, usable: 11});
    expect(policy.decide(query, load({countSlots}), 0)).to.equal('busy');
    for (let number = 0; number < 4; number += 1) {
      budget.recordStart(`h${number}`, {...hedge, requestKey: `${number}`}, 0);
    }
    expect(policy.decide(query, idleLoad, 0)).to.equal('budget');
  });

  it('hedges after the 95th percentile, on a trial server earlier', () => {
    const {policy} = createPolicy();
    const attempt = {routeId: 'r', serverId: 's', leftMs: 2_000};
    expect(policy.delayMs({...attempt, risk: 0.01})).to.equal(400);
    expect(policy.delayMs({...attempt, risk: 0.2})).to.equal(150);
  });

  it('does not hedge before the typical duration of a slow server, which would send each request twice', () => {
    const {policy, paces} = createPolicy();
    for (let number = 0; number < 100; number += 1) {
      paces.record('slow', 6, number);
    }
    const attempt = {routeId: 'r', serverId: 'slow', risk: 0.01, leftMs: 2_000};
    expect(policy.delayMs(attempt)).to.be.within(590, 610);
  });

  it('does not hedge where too little of the deadline would be left for a typical response', () => {
    const {policy} = createPolicy();
    const attempt = {routeId: 'r', serverId: 's', risk: 0.01};
    expect(policy.delayMs({...attempt, leftMs: 500})).to.equal(400);
    expect(policy.delayMs({...attempt, leftMs: 499})).to.equal(undefined);
  });
});

describe('ServerPaces', () => {
  it('hardly changes when three in a hundred requests take seven times as long', () => {
    const paces = new ServerPaces();
    for (let number = 0; number < 400; number += 1) {
      paces.record('s', number % 33 === 0 ? 7 : 1, number);
    }
    expect(paces.ratio('s')).to.be.within(1, 1.15);
  });

  it('forgets servers that were not used for a long time', () => {
    const paces = new ServerPaces();
    paces.record('gone', 5, 0);
    paces.record('s', 1, 700_000);
    expect(paces.ratio('gone')).to.equal(1);
  });
});

describe('BackendHedging', () => {
  const attempt = {routeId: 'r', serverId: 's', risk: 0.01, leftMs: 5_000};
  const query = {requestName: 'n', requestDigest: 'd', routeId: 'r', leftMs: 5_000} as PlaceAsk;

  it('charges the retry budget alone without settings, with the delay as before them', () => {
    const hedging = new BackendHedging('b', durations);
    hedging.setDocument(documentWith(undefined));
    expect(hedging.delayMs(attempt)).to.equal(400);
    expect(new RetryBudgetHedging(durations).delayMs({...attempt, risk: 0.2})).to.equal(150);
    expect(hedging.mayWait('r')).to.equal(true);
    const load = {...idleLoad, waiting: 5, countSlots: () => ({free: 0, usable: 10})};
    expect(hedging.decide(query, 'h', {...load, retryUsedShare: 0.99}, 0)).to.equal('allowed');
    expect(hedging.decide(query, 'h', {...load, retryUsedShare: 1}, 0)).to.equal('retry-budget');
  });

  it('sends no hedged attempt where the backend or the route turns them off', () => {
    for (const document of [documentWith({enabled: false}), documentWith(undefined, 'off')]) {
      const hedging = new BackendHedging('b', durations);
      hedging.setDocument(document);
      expect(hedging.delayMs(attempt)).to.equal(undefined);
      expect(hedging.decide(query, 'h', idleLoad, 0)).to.equal('disabled');
    }
  });

  it('keeps its counts when a document comes into force: a change must not grant the slack again', () => {
    const hedging = new BackendHedging('b', durations);
    hedging.setDocument(documentWith({}));
    for (let number = 0; number < 4; number += 1) {
      hedging.recordStart(`${number}`, {...query, isRepeat: true, isHedge: true}, 'h', 0);
    }
    hedging.setDocument(documentWith({maxAttemptShare: 0.2}));
    expect(hedging.decide(query, 'h', idleLoad, 0)).to.equal('budget');
  });
});

describe('withDefaultHedging', () => {
  it('applies to backends without settings only', () => {
    const [own] = withDefaultHedging(documentWith({maxBusyShare: 0.3}), settings).backends;
    const [none] = withDefaultHedging(documentWith(undefined), settings).backends;
    expect(own?.hedging).to.deep.equal({enabled: true, maxAttemptShare: 0.1, maxBusyShare: 0.3});
    expect(none?.hedging).to.deep.equal(settings);
    expect(withDefaultHedging(documentWith(undefined), undefined).backends[0]?.hedging).to.equal(
      undefined,
    );
  });
});

describe('BackendHome: hedged attempts', () => {
  const entryHost = {hostId: 'h', dataCentre: 'dc-1'};

  function createHome(hedging: Partial<HedgingSettings> | undefined, servers = 4): BackendHome {
    const home = new BackendHome({backendId: 'b', bounds: DEFAULT_FLEET_BOUNDS});
    home.setDocument(documentWith(hedging));
    home.setServers(
      {
        type: 'registeredServersChanged',
        servers: Array.from({length: servers}, (_, number) => ({
          id: `s-${number}`,
          backendId: 'b',
          origin: `http://s-${number}`,
          dataCentre: 'dc-1',
          slots: 2,
          state: 'in-service' as const,
          coldForMs: 0,
          revision: 1,
        })),
        lapsedServerIds: [],
        outOfService: [],
      },
      0,
    );
    return home;
  }

  function queryOf(askId: number, fields: Partial<PlaceAsk> = {}): PlaceAsk {
    return {
      type: 'placeAsk',
      askId,
      backendId: 'b',
      routeId: 'r',
      customerId: 'c',
      isRepeatable: true,
      isRepeat: false,
      priority: 0,
      avoidedIds: [],
      connectedIds: [],
      leftMs: 10_000,
      requestDigest: '',
      requestName: `${askId}`,
      bodyBytes: 0,
      ...fields,
    };
  }

  function place(home: BackendHome, query: PlaceAsk, nowMs: number): PlacementDecision {
    return home.handleQuery(`h/${query.askId}`, query, entryHost, nowMs);
  }

  const hedgeFields = {isRepeat: true, isHedge: true};

  it('does not queue a hedged attempt: it would take a slot that a first attempt waits for', () => {
    for (const [hedging, state] of [
      [{}, 'refused'],
      [undefined, 'waiting'],
    ] as const) {
      const home = createHome(hedging, 1);
      expect(place(home, queryOf(1), 0).state).to.equal('granted');
      expect(place(home, queryOf(2), 1).state).to.equal('granted');
      const decision = place(home, queryOf(3, {...hedgeFields, requestName: '1'}), 2);
      expect(decision.state).to.equal(state);
      expect(home.admission.queue.size).to.equal(state === 'waiting' ? 1 : 0);
    }
  });

  it('withholds hedged attempts while the servers are nearly full', () => {
    const home = createHome({});
    for (let askId = 1; askId <= 8; askId += 1) {
      expect(place(home, queryOf(askId), askId).state).to.equal('granted');
    }
    const decision = place(home, queryOf(9, {...hedgeFields, requestName: '1'}), 9);
    expect(decision).to.include({state: 'refused', withheld: 'busy'});
  });

  it('states the limit in a refusal, and that no hedged attempt is to be sent where they are off', () => {
    const home = createHome({enabled: false});
    expect(place(home, queryOf(1), 0)).to.include({state: 'granted', secondAfterMs: undefined});
    const decision = place(home, queryOf(2, {...hedgeFields, requestName: '1'}), 1);
    expect(decision).to.include({state: 'refused', withheld: 'disabled'});
  });

  it('charges hedged attempts to the retry budget as well, and leaves part of it to failed requests', () => {
    const home = createHome({maxAttemptShare: 1, maxBusyShare: 1}, 100);
    let askId = 0;
    const placeAndEnd = (fields: Partial<PlaceAsk>): PlacementDecision => {
      askId += 1;
      const requestName = `r${askId}`;
      const decision = place(home, queryOf(askId, {...fields, requestName}), askId * 10);
      const ended = {type: 'placeEnded', askId, outcome: 'ok', ranForMs: 8} as const;
      home.finishAttempt(`h/${askId}`, ended, askId * 10 + 8);
      return decision;
    };
    for (let number = 0; number < 100; number += 1) {
      placeAndEnd({});
    }
    const decisions = Array.from({length: 60}, () => placeAndEnd(hedgeFields));
    // A home saves up to a quarter of the slack of 50: 12.5 retries, of which 0.6 are 7.5.
    expect(decisions.filter(({state}) => state === 'granted').length).to.equal(8);
    expect(decisions.at(-1)).to.include({withheld: 'retry-budget'});
    expect(placeAndEnd({isRepeat: true}).state).to.equal('granted');
  });
});
