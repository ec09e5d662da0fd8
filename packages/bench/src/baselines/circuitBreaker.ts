import type {CoreMessage, CoreTask} from '@godwitspring/core';

const windowMs = 30_000;
const minCalls = 20;
const threshold = 0.5;
const firstCooldownMs = 10_000;
const maxCooldownMs = 120_000;
const probes = 5;

interface Breaker {
  readonly backendId: string;
  readonly calls: {atMs: number; isGood: boolean}[];
  state: 'closed' | 'open' | 'half-open';
  openedAtMs: number;
  cooldownMs: number;
  trials: boolean[];
}

/**
 * Baseline: the breaker of the paper on circuit breakers and load shedding, one for each server on each
 * host: half of at least 20 calls failed within 30 s opens it, four of five trials close it.
 */
export class CircuitBreaker implements CoreTask {
  readonly accepts = ['serverReleased', 'timerFired'] as const;
  readonly #breakers = new Map<string, Breaker>();

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    if (message.type === 'timerFired') {
      return message.timerId === 'breaker' ? this.#tell(nowMs) : [];
    }
    if (message.type !== 'serverReleased' || message.outcome === 'cancelled') {
      return [];
    }
    const {serverId, backendId, outcome} = message;
    const breaker = this.#breakerOf(serverId, backendId);
    const isGood = outcome === 'ok' || outcome === 'shed';
    if (breaker.state === 'half-open') {
      return this.#onTrial(breaker, isGood, nowMs);
    }
    breaker.calls.push({atMs: nowMs, isGood});
    while ((breaker.calls[0]?.atMs ?? nowMs) < nowMs - windowMs) {
      breaker.calls.shift();
    }
    const failed = breaker.calls.filter((call) => !call.isGood).length;
    const mustOpen = breaker.calls.length >= minCalls && failed / breaker.calls.length > threshold;
    return breaker.state === 'closed' && mustOpen ? this.#open(serverId, breaker, nowMs) : [];
  }

  #breakerOf(serverId: string, backendId: string): Breaker {
    let breaker = this.#breakers.get(serverId);
    if (breaker === undefined) {
      const cooldownMs = firstCooldownMs;
      breaker = {backendId, calls: [], state: 'closed', openedAtMs: 0, cooldownMs, trials: []};
      this.#breakers.set(serverId, breaker);
    }
    return breaker;
  }

  #open(serverId: string, breaker: Breaker, nowMs: number): readonly CoreMessage[] {
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
    return [log, {type: 'timerWanted', timerId: 'breaker', atMs}, ...this.#tell(nowMs)];
  }

  #onTrial(breaker: Breaker, isGood: boolean, nowMs: number): readonly CoreMessage[] {
    breaker.trials.push(isGood);
    const bad = breaker.trials.filter((trial) => !trial).length;
    if (bad >= 2) {
      breaker.state = 'open';
      breaker.openedAtMs = nowMs;
      breaker.cooldownMs = Math.min(breaker.cooldownMs * 2, maxCooldownMs);
      const atMs = nowMs + breaker.cooldownMs;
      return [{type: 'timerWanted', timerId: 'breaker', atMs}, ...this.#tell(nowMs)];
    }
    if (breaker.trials.length >= probes) {
      breaker.state = 'closed';
      breaker.cooldownMs = firstCooldownMs;
    }
    return this.#tell(nowMs);
  }

  #tell(nowMs: number): readonly CoreMessage[] {
    const byBackend = new Map<
      string,
      {serverId: string; limit: number; weight: number; isTrial: boolean}[]
    >();
    for (const [serverId, breaker] of this.#breakers) {
      if (breaker.state === 'open' && nowMs >= breaker.openedAtMs + breaker.cooldownMs) {
        breaker.state = 'half-open';
        breaker.trials = [];
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
