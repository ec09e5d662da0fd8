import type {CoreMessage, CoreTask} from '@godwitspring/core';

/** Number of failures in a row that eject a server. */
const failuresToEject = 5;
/** Time for which a server stays ejected, in ms. */
const ejectionMs = 30_000;

/**
 * Baseline: outlier ejection on each host by itself. Five failures in a row eject a server for 30 s; no
 * floor, a least number of servers in service, limits the ejections.
 */
export class ConsecutiveFailures implements CoreTask {
  readonly accepts = ['serverReleased', 'timerFired'] as const;
  readonly #failures = new Map<string, number>();
  readonly #ejected = new Map<string, {backendId: string; untilMs: number}>();

  receive(message: CoreMessage, nowMs: number): readonly CoreMessage[] {
    if (message.type === 'timerFired') {
      return message.timerId === 'consecutive' ? this.#serverLimits(nowMs) : [];
    }
    if (message.type !== 'serverReleased') {
      return [];
    }
    const {serverId, backendId, outcome} = message;
    const isFailure = outcome !== 'ok' && outcome !== 'cancelled' && outcome !== 'shed';
    const failures = isFailure ? (this.#failures.get(serverId) ?? 0) + 1 : 0;
    this.#failures.set(serverId, failures);
    if (failures < failuresToEject || this.#ejected.has(serverId)) {
      return [];
    }
    this.#failures.delete(serverId);
    this.#ejected.set(serverId, {backendId, untilMs: nowMs + ejectionMs});
    const log: CoreMessage = {
      type: 'log',
      level: 'info',
      event: 'health.ejected',
      fields: {serverId},
    };
    const timer: CoreMessage = {
      type: 'timerWanted',
      timerId: 'consecutive',
      atMs: nowMs + ejectionMs,
    };
    return [log, timer, ...this.#serverLimits(nowMs)];
  }

  /** Limits of all ejected servers, after it has returned those whose ejection is over. */
  #serverLimits(nowMs: number): readonly CoreMessage[] {
    const byBackend = new Map<
      string,
      {serverId: string; limit: number; weight: number; isTrial: boolean}[]
    >();
    for (const [serverId, {backendId, untilMs}] of this.#ejected) {
      const servers = byBackend.get(backendId) ?? [];
      byBackend.set(backendId, servers);
      if (nowMs >= untilMs) {
        this.#ejected.delete(serverId);
        continue;
      }
      servers.push({serverId, limit: 0, weight: 1, isTrial: false});
    }
    return [...byBackend].map(([backendId, servers]) => ({
      type: 'serverLimits',
      backendId,
      servers,
    }));
  }
}
