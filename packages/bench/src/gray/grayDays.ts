import {createHash} from 'node:crypto';
import {SeededRandom} from '@godwitspring/core';
import type {HashFunction} from '@godwitspring/core';
import {documentSchema} from '@godwitspring/document';
import type {FleetDocument} from '@godwitspring/document';
import {GrayFleet} from './grayFleet.ts';
import type {GrayFleetOptions, GrayOutcome, GrayRoute} from './grayFleet.ts';
import type {GrayMode} from './grayServer.ts';

const customers = ['large', 'medium', 'small'];
const steps = 1_000_000;

export const grayRoutes: readonly GrayRoute[] = [
  {id: 'lookup', backendId: 'core', isIdempotent: true, meanMs: 220, spread: 0.6},
  {id: 'payment', backendId: 'core', isIdempotent: false, meanMs: 290, spread: 0.6},
  {id: 'upload', backendId: 'media', isIdempotent: false, meanMs: 260, spread: 0.3},
  {id: 'check', backendId: 'core', isIdempotent: true, meanMs: 3, spread: 0.3, isTrivial: true},
];

export function grayKey(customerId: string): string {
  return createHash('sha256').update(`key-${customerId}`).digest('hex');
}

/** A document with two backends, three routes and three customers, whose servers register themselves. */
export function grayDocument(version = 1): FleetDocument {
  const idempotent = (route: GrayRoute): string => (route.isIdempotent ? 'yes' : 'no');
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
      keyDigests: [grayKey(id)],
    })),
    backends: ['core', 'media'].map((id) => ({
      id,
      servers: [],
      isDiscovered: true,
      coldRequestsPerSecond: 4,
    })),
    routes: grayRoutes.map((route) => ({
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

export function grayFleet(hash: HashFunction, options: Partial<GrayFleetOptions> = {}): GrayFleet {
  return new GrayFleet({
    hash,
    document: grayDocument(),
    routes: grayRoutes,
    backends: [
      {id: 'core', servers: 32},
      {id: 'media', servers: 6},
    ],
    ...options,
  });
}

export interface GrayLoadOptions {
  readonly perSecond: number;
  readonly forMs: number;
  readonly seed: number;
  /** Weight of each route in the mix. */
  readonly mix: Readonly<Record<string, number>>;
  /** Weight of each customer in the mix. */
  readonly customers: Readonly<Record<string, number>>;
}

export const DEFAULT_GRAY_LOAD: GrayLoadOptions = {
  perSecond: 70,
  forMs: 20_000,
  seed: 5,
  mix: {lookup: 20, payment: 46, upload: 4},
  customers: {large: 5, medium: 3, small: 2},
};

function draw(weights: Readonly<Record<string, number>>, random: SeededRandom): string {
  const total = Object.values(weights).reduce((sum, weight) => sum + weight, 0);
  let drawn = (random.below(steps) / steps) * total;
  for (const [name, weight] of Object.entries(weights)) {
    if (drawn < weight) {
      return name;
    }
    drawn -= weight;
  }
  return '';
}

/** Sends requests at random moments through random hosts. */
export function grayLoad(fleet: GrayFleet, options: Partial<GrayLoadOptions> = {}): void {
  const {perSecond, forMs, seed, mix, customers: weights} = {...DEFAULT_GRAY_LOAD, ...options};
  const random = new SeededRandom(seed);
  const endsAtMs = fleet.queue.nowMs + forMs;
  const next = (): void => {
    if (fleet.queue.nowMs > endsAtMs) {
      return;
    }
    const customerId = draw(weights, random);
    fleet.request(draw(mix, random), customerId, grayKey(customerId));
    fleet.after((-Math.log((random.below(steps) + 1) / steps) * 1_000) / perSecond, next);
  };
  next();
}

/**
 * Makes each server fall into a mode and recover by turns, a share of them at any time.
 *
 * Each server has a phase of its own in a cycle, and is in the mode for the given share of it.
 */
export function grayTurns(
  fleet: GrayFleet,
  {mode, share, cycleMs, seed}: {mode: GrayMode; share: number; cycleMs: number; seed: number},
): void {
  const random = new SeededRandom(seed);
  for (const server of fleet.servers.values()) {
    const turn = (): void => {
      server.mode = mode;
      fleet.after(share * cycleMs, () => {
        server.mode = 'well';
        fleet.after((1 - share) * cycleMs, turn);
      });
    };
    fleet.after(random.below(cycleMs), turn);
  }
}

export interface GraySummary {
  readonly asked: number;
  readonly servedShare: number;
  readonly inTargetShare: number;
  readonly refusedShare: number;
  readonly doubtfulShare: number;
  readonly failedShare: number;
}

/** What became of the requests, as shares of those asked. */
export function summarise(outcomes: readonly GrayOutcome[], targetMs = 800): GraySummary {
  const asked = outcomes.length;
  let served = 0;
  let inTarget = 0;
  let refused = 0;
  let doubtful = 0;
  let failed = 0;
  for (const {status, refusal, outcome, tookMs} of outcomes) {
    if (status === 200) {
      served += 1;
      inTarget += tookMs <= targetMs ? 1 : 0;
    } else if (refusal !== undefined && outcome === 'not-run') {
      refused += 1;
    } else if (refusal !== undefined || status === 504) {
      doubtful += 1;
    } else {
      failed += 1;
    }
  }
  const share = (count: number): number =>
    Math.round((count / Math.max(1, asked)) * 10_000) / 10_000;
  return {
    asked,
    servedShare: share(served),
    inTargetShare: share(inTarget),
    refusedShare: share(refused),
    doubtfulShare: share(doubtful),
    failedShare: share(failed),
  };
}

/** What became of the requests of one route. */
export function summariseRoute(fleet: GrayFleet, routeId: string): GraySummary {
  return summarise(fleet.outcomes.filter((outcome) => outcome.routeId === routeId));
}
