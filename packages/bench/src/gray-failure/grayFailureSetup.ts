import {createHash} from 'node:crypto';
import {SeededRandom} from '@godwitspring/core';
import type {HashFunction} from '@godwitspring/core';
import {documentSchema} from '@godwitspring/document';
import type {FleetDocument} from '@godwitspring/document';
import {GrayFailureFleet} from './grayFailureFleet.ts';
import type {GrayFailureFleetOptions, RequestResult, SimulatedRoute} from './grayFailureFleet.ts';
import type {FailureMode} from './grayFailureServer.ts';

const customers = ['large', 'medium', 'small'];
/** Number of distinct values of a random fraction. */
const randomResolution = 1_000_000;

/** Routes of the test document, with the service times that the servers simulate. */
export const grayFailureRoutes: readonly SimulatedRoute[] = [
  {id: 'lookup', backendId: 'core', isIdempotent: true, meanMs: 220, logDeviation: 0.6},
  {id: 'payment', backendId: 'core', isIdempotent: false, meanMs: 290, logDeviation: 0.6},
  {id: 'upload', backendId: 'media', isIdempotent: false, meanMs: 260, logDeviation: 0.3},
  {
    id: 'check',
    backendId: 'core',
    isIdempotent: true,
    meanMs: 3,
    logDeviation: 0.3,
    isTrivial: true,
  },
];

/** SHA-256 digest of the API key of a customer, in hex. */
export function keyDigestOf(customerId: string): string {
  return createHash('sha256').update(`key-${customerId}`).digest('hex');
}

/** A document with two backends, four routes and three customers; its servers register themselves. */
export function grayFailureDocument(version = 1): FleetDocument {
  const idempotent = (route: SimulatedRoute): string => (route.isIdempotent ? 'yes' : 'no');
  return documentSchema.parse({
    formatVersion: 1,
    version,
    author: 'test',
    reason: `version ${version}`,
    madeAt: '2026-01-01T00:00:00Z',
    dataCentres: ['dc-1', 'dc-2', 'dc-3'].map((id) => ({id})),
    customers: customers.map((id) => ({
      id,
      ratePerSecond: 60,
      burstRequests: 60,
      keyDigests: [keyDigestOf(id)],
    })),
    backends: ['core', 'media'].map((id) => ({
      id,
      servers: [],
      isDiscovered: true,
      coldRequestsPerSecond: 4,
    })),
    routes: grayFailureRoutes.map((route) => ({
      id: route.id,
      pathPrefix: `/${route.id}/`,
      backend: route.backendId,
      idempotent: idempotent(route),
      maxAttempts: 2,
      targetLatencyMs: 800,
      timeoutMs: 1_500,
      priority: route.isIdempotent ? 2 : 1,
    })),
  });
}

/** A fleet that serves the test document with 32 servers for `core` and 6 for `media`. */
export function createGrayFailureFleet(
  hash: HashFunction,
  options: Partial<GrayFailureFleetOptions> = {},
): GrayFailureFleet {
  return new GrayFailureFleet({
    hash,
    document: grayFailureDocument(),
    routes: grayFailureRoutes,
    backends: [
      {id: 'core', servers: 32},
      {id: 'media', servers: 6},
    ],
    ...options,
  });
}

/** A load of random requests over routes and customers. */
export interface RandomLoadOptions {
  readonly perSecond: number;
  readonly forMs: number;
  readonly seed: number;
  /** Relative frequency of each route. */
  readonly mix: Readonly<Record<string, number>>;
  /** Relative frequency of each customer. */
  readonly customers: Readonly<Record<string, number>>;
}

/** Defaults of the options that a test may leave out. */
export const DEFAULT_RANDOM_LOAD: RandomLoadOptions = {
  perSecond: 70,
  forMs: 20_000,
  seed: 5,
  mix: {lookup: 20, payment: 46, upload: 4},
  customers: {large: 5, medium: 3, small: 2},
};

/** Draws a name at random, with the given relative frequencies. */
function drawWeighted(weights: Readonly<Record<string, number>>, random: SeededRandom): string {
  const total = Object.values(weights).reduce((sum, weight) => sum + weight, 0);
  let remaining = (random.nextInt(randomResolution) / randomResolution) * total;
  for (const [name, weight] of Object.entries(weights)) {
    if (remaining < weight) {
      return name;
    }
    remaining -= weight;
  }
  return '';
}

/** Sends requests through random hosts, as a Poisson process at a constant mean rate. */
export function sendRandomLoad(
  fleet: GrayFailureFleet,
  options: Partial<RandomLoadOptions> = {},
): void {
  const {perSecond, forMs, seed, mix, customers: weights} = {...DEFAULT_RANDOM_LOAD, ...options};
  const random = new SeededRandom(seed);
  const endAtMs = fleet.queue.nowMs + forMs;
  const sendNext = (): void => {
    if (fleet.queue.nowMs > endAtMs) {
      return;
    }
    const customerId = drawWeighted(weights, random);
    fleet.request(drawWeighted(mix, random), customerId, keyDigestOf(customerId));
    fleet.after(
      (-Math.log((random.nextInt(randomResolution) + 1) / randomResolution) * 1_000) / perSecond,
      sendNext,
    );
  };
  sendNext();
}

/**
 * Makes each server enter a failure mode and recover, over and over: at any time about the given share of
 * the servers is in the mode.
 *
 * Every cycle a server is in the mode for that share of `cycleMs`; each server starts its first cycle at a
 * random moment.
 */
export function scheduleFailureCycles(
  fleet: GrayFailureFleet,
  {mode, share, cycleMs, seed}: {mode: FailureMode; share: number; cycleMs: number; seed: number},
): void {
  const random = new SeededRandom(seed);
  for (const server of fleet.servers.values()) {
    const startCycle = (): void => {
      server.mode = mode;
      fleet.after(share * cycleMs, () => {
        server.mode = 'healthy';
        fleet.after((1 - share) * cycleMs, startCycle);
      });
    };
    fleet.after(random.nextInt(cycleMs), startCycle);
  }
}

/** Outcomes of a set of requests, as shares of their number. */
export interface OutcomeSummary {
  /** Number of requests. */
  readonly requestCount: number;
  /** Responses with status 200. */
  readonly servedShare: number;
  /** Responses with status 200 within the target latency. */
  readonly inTargetShare: number;
  /** Refusals which report that the request did not run. */
  readonly refusedShare: number;
  /** Refusals that leave open whether the request ran, and responses with status 504. */
  readonly unknownOutcomeShare: number;
  /** All other responses, such as status 500. */
  readonly failedShare: number;
}

/** Classifies the outcomes of requests and returns the share of each class. */
export function summariseOutcomes(
  outcomes: readonly RequestResult[],
  targetMs = 800,
): OutcomeSummary {
  const requestCount = outcomes.length;
  let served = 0;
  let inTarget = 0;
  let refused = 0;
  let unknownOutcomes = 0;
  let failed = 0;
  for (const {status, refusal, outcome, durationMs} of outcomes) {
    if (status === 200) {
      served += 1;
      inTarget += durationMs <= targetMs ? 1 : 0;
    } else if (refusal !== undefined && outcome === 'not-run') {
      refused += 1;
    } else if (refusal !== undefined || status === 504) {
      unknownOutcomes += 1;
    } else {
      failed += 1;
    }
  }
  const share = (count: number): number =>
    Math.round((count / Math.max(1, requestCount)) * 10_000) / 10_000;
  return {
    requestCount,
    servedShare: share(served),
    inTargetShare: share(inTarget),
    refusedShare: share(refused),
    unknownOutcomeShare: share(unknownOutcomes),
    failedShare: share(failed),
  };
}

/** Classifies the outcomes of the requests of one route. */
export function summariseRoute(fleet: GrayFailureFleet, routeId: string): OutcomeSummary {
  return summariseOutcomes(fleet.outcomes.filter((outcome) => outcome.routeId === routeId));
}

/** Time in which the hosts of a simulated fleet find each other and the servers, in ms. */
const startupMs = 8_000;
/** Time for which a fleet works under load before a test begins, in ms. */
const loadedMs = 6_000;

/** Starts a fleet in front of 21 servers, under a load of lookups and payments for 30 s, and lets it settle. */
export function startLoadedFleet(hash: HashFunction, seed: number): GrayFailureFleet {
  const fleet = createGrayFailureFleet(hash, {seed, backends: [{id: 'core', servers: 21}]});
  fleet.queue.runUntil(startupMs);
  sendRandomLoad(fleet, {forMs: 30_000, seed, perSecond: 79, mix: {lookup: 22, payment: 57}});
  fleet.queue.runUntil(startupMs + loadedMs);
  return fleet;
}
