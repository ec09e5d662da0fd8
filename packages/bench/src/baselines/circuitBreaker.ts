import type {CoreMessage, CoreTask} from '@godwitspring/core';

/** Window over which calls are counted, in ms. */
const windowMs = 30_000;
/** Least number of calls in the window for the breaker to open. */
const minCalls = 20;
/** Share of failed calls above which the breaker opens. */
const failureThreshold = 0.5;
/** Time for which the breaker stays open the first time, in ms; doubled with each failed half-open phase. */
const firstCooldownMs = 10_000;
/** Longest time for which the breaker stays open, in ms. */
const maxCooldownMs = 120_000;
/** Number of trial requests in a half-open phase. */
const trialCount = 5;

/** Circuit breaker of one server on one host. */
interface BreakerState {
  readonly backendId: string;
  readonly calls: {atMs: number; isSuccess: boolean}[];
  state: 'closed' | 'open' | 'half-open';
  openedAtMs: number;
  cooldownMs: number;
  trialResults: boolean[];
}

/**
 * Baseline: circuit breakers as in the paper on circuit breakers and load shedding, one for each server on each
 * host. More than half of at least 20 calls within 30 s failing opens a breaker; after its cooldown, four
 * successes in five trial requests close it and two failures open it again.
 */
export class CircuitBreaker implements CoreTask {
  readonly accepts = ['serverReleased', 'timerFired'] as const;
  readonly #breakers = new Map<string, BreakerState>();

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    if (message.type === 'timerFired') {
      return message.timerId === 'breaker' ? this.#serverLimits(nowMs) : [];
    }
    if (message.type !== 'serverReleased' || message.outcome === 'cancelled') {
      return [];
    }
    const {serverId, backendId, outcome} = message;
    const breaker = this.#breakerOf(serverId, backendId);
    const isSuccess = outcome === 'ok' || outcome === 'shed';
    if (breaker.state === 'half-open') {
      return this.#recordTrial(breaker, isSuccess, nowMs);
    }
    breaker.calls.push({atMs: nowMs, isSuccess});
    while ((breaker.calls[0]?.atMs ?? nowMs) < nowMs - windowMs) {
      breaker.calls.shift();
    }
    const failed = breaker.calls.filter((call) => !call.isSuccess).length;
    const mustOpen =
      breaker.calls.length >= minCalls && failed / breaker.calls.length > failureThreshold;
    return breaker.state === 'closed' && mustOpen ? this.#open(serverId, breaker, nowMs) : [];
  }

  #breakerOf(serverId: string, backendId: string): BreakerState {
    let breaker = this.#breakers.get(serverId);
    if (breaker === undefined) {
      const cooldownMs = firstCooldownMs;
      breaker = {
        backendId,
        calls: [],
        state: 'closed',
        openedAtMs: 0,
        cooldownMs,
        trialResults: [],
      };
      this.#breakers.set(serverId, breaker);
    }
    return breaker;
  }

  /** Opens a closed breaker, logs the ejection and sets the timer for the trial requests. */
  #open(serverId: string, breaker: BreakerState, nowMs: number): readonly CoreMessage[] {
    breaker.state = 'open';
    breaker.openedAtMs = nowMs;
    breaker.calls.length = 0;
    const log: CoreMessage = {
      type: 'log',
      level: 'info',
      event: 'health.ejected',
      fields: {serverId},
    };
    const atMs = nowMs + breaker.cooldownMs;
    return [log, {type: 'timerWanted', timerId: 'breaker', atMs}, ...this.#serverLimits(nowMs)];
  }

  /** Records the result of a trial request and closes or reopens the breaker. */
  #recordTrial(breaker: BreakerState, isSuccess: boolean, nowMs: number): readonly CoreMessage[] {
    breaker.trialResults.push(isSuccess);
    const failures = breaker.trialResults.filter((trial) => !trial).length;
    if (failures >= 2) {
      breaker.state = 'open';
      breaker.openedAtMs = nowMs;
      breaker.cooldownMs = Math.min(breaker.cooldownMs * 2, maxCooldownMs);
      const atMs = nowMs + breaker.cooldownMs;
      return [{type: 'timerWanted', timerId: 'breaker', atMs}, ...this.#serverLimits(nowMs)];
    }
    if (breaker.trialResults.length >= trialCount) {
      breaker.state = 'closed';
      breaker.cooldownMs = firstCooldownMs;
    }
    return this.#serverLimits(nowMs);
  }

  /** Limits of all servers whose breaker is not closed; breakers whose cooldown is over become half-open. */
  #serverLimits(nowMs: number): readonly CoreMessage[] {
    const byBackend = new Map<
      string,
      {serverId: string; limit: number; weight: number; isTrial: boolean}[]
    >();
    for (const [serverId, breaker] of this.#breakers) {
      if (breaker.state === 'open' && nowMs >= breaker.openedAtMs + breaker.cooldownMs) {
        breaker.state = 'half-open';
        breaker.trialResults = [];
      }
      const servers = byBackend.get(breaker.backendId) ?? [];
      byBackend.set(breaker.backendId, servers);
      if (breaker.state !== 'closed') {
        servers.push({
          serverId,
          limit: breaker.state === 'open' ? 0 : 1,
          weight: 1,
          isTrial: false,
        });
      }
    }
    return [...byBackend].map(([backendId, servers]) => ({
      type: 'serverLimits',
      backendId,
      servers,
    }));
  }
}
