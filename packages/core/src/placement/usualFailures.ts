import type {AttemptOutcome} from '../messages/attemptOutcome.ts';
import {RecentFigure} from './recentFigure.ts';

/** Time constant with which outcomes lose weight, in ms. */
const decayMs = 10_000;
/** Servers from which on their share is used. */
const minServers = 3;
/** Failed or silent share of a server from which on it counts as faulty, 0 to 1. */
const faultyFromShare = 1 / 3;
/** Failed share that is assumed of healthy servers at least, 0 to 1. */
export const minFailedShare = 1 / 80;
/** Failed or silent attempts, with their weights, that a server may have beyond that share: few attempts say little. */
const toleratedAttempts = 1;
/** Time for which a share is used again, in ms. */
const validityMs = 200;

interface ServerFigures {
  failed: number;
  silent: number;
  ended: number;
  atMs: number;
}

/**
 * Shares of the attempts that fail, or reach their timeout, on the servers of a backend that work: what happens to an
 * attempt is evidence against its server only as far as it is rarer on those. Servers that fail often don't count, so
 * that they don't excuse each other.
 *
 * Load pattern: every server fails a part of its requests, or takes many times as long for them, for a cause that they
 * share, such as one kind of request.
 */
export class UsualFailures {
  readonly #figuresByServer = new Map<string, ServerFigures>();
  readonly #failedShare = new RecentFigure(validityMs, (nowMs) =>
    this.#share(({failed}) => failed, nowMs),
  );
  readonly #silentShare = new RecentFigure(validityMs, (nowMs) =>
    this.#share(({silent}) => silent, nowMs),
  );

  /** Records how an attempt ended; those that did not run to their end do not count. */
  record(serverId: string, outcome: AttemptOutcome, nowMs: number): void {
    const isFailure = outcome === 'error' || outcome === 'lost';
    const isSilence = outcome === 'timeout';
    if (!isFailure && !isSilence && outcome !== 'ok') {
      return;
    }
    const figures = this.#figuresByServer.get(serverId) ?? {
      failed: 0,
      silent: 0,
      ended: 0,
      atMs: nowMs,
    };
    this.#decay(figures, nowMs);
    figures.failed += isFailure ? 1 : 0;
    figures.silent += isSilence ? 1 : 0;
    figures.ended += 1;
    this.#figuresByServer.set(serverId, figures);
  }

  /** Removes the figures of servers that no longer exist. */
  retainServers(serverIds: ReadonlySet<string>): void {
    for (const serverId of this.#figuresByServer.keys()) {
      if (!serverIds.has(serverId)) {
        this.#figuresByServer.delete(serverId);
      }
    }
  }

  /** Share of the attempts that fail on a server that works, above 0. */
  failedShare(nowMs: number): number {
    return Math.max(minFailedShare, this.#failedShare.at(nowMs));
  }

  /** Share of the attempts that reach their timeout on a server that works, 0 to 1. */
  silentShare(nowMs: number): number {
    return this.#silentShare.at(nowMs);
  }

  #share(countOf: (figures: ServerFigures) => number, nowMs: number): number {
    let servers = 0;
    let count = 0;
    let ended = 0;
    for (const figures of this.#figuresByServer.values()) {
      this.#decay(figures, nowMs);
      if (countOf(figures) < toleratedAttempts + figures.ended * faultyFromShare) {
        servers += 1;
        count += countOf(figures);
        ended += figures.ended;
      }
    }
    return servers < minServers || ended === 0 ? 0 : count / ended;
  }

  #decay(figures: ServerFigures, nowMs: number): void {
    const retained = Math.exp(-(nowMs - figures.atMs) / decayMs);
    figures.failed *= retained;
    figures.silent *= retained;
    figures.ended *= retained;
    figures.atMs = nowMs;
  }
}
